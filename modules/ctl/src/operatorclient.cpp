#include <godwit/ctl/operatorclient.h>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace godwit {

namespace {

/// True if the reply says that this entry process has no usable configuration; another entry may
/// have one.
bool lacksUsableConfiguration(const OperatorReply &reply)
{
    if (reply.outcome != OperatorOutcome::Refused || !reply.error)
        return false;
    const int code = reply.error->code;
    return code == static_cast<int>(ResultCode::ConfigurationUnavailable)
           || code == static_cast<int>(ResultCode::ConfigurationStale);
}

/// True unless the failure of a call proves that the entry process did not receive the request.
bool mayHaveReachedEntry(ResultCode code)
{
    return code != ResultCode::PlatformUnreachable;
}

} // namespace

/// One request and its failover between the entries. Kept alive by its pending callback.
class OperatorClient::PendingRequest : public std::enable_shared_from_this<PendingRequest>
{
public:
    PendingRequest(OperatorClient &client, OperatorRequest request,
                   std::function<void(Outcome<ClientResult>)> onDone)
        : m_options(client.m_options)
        , m_http(client.m_http)
        , m_timer(client.m_http.context())
        , m_request(std::move(request))
        , m_onDone(std::move(onDone))
    {}

    void start() { tryEntry(); }

    void cancel()
    {
        m_onDone = nullptr;
        m_timer.cancel();
    }

private:
    void tryEntry()
    {
        if (m_entry == m_options.entries.size()) {
            endPass();
            return;
        }
        HttpCall call;
        call.endpoint = m_options.entries[m_entry];
        call.method = "POST";
        call.target = "/v1/commands";
        call.headers.add("Content-Type", "application/json");
        call.body = toJsonText(m_request);
        call.connectTimeout = m_options.connectTimeout;
        call.idleTimeout = m_options.replyTimeout;
        call.retryable = true; // the operation id makes the request idempotent
        m_http.call(std::move(call), [self = shared_from_this()](Outcome<HttpResponse> outcome) {
            if (self->m_onDone)
                self->onResponse(std::move(outcome));
        });
    }

    void onResponse(Outcome<HttpResponse> outcome)
    {
        if (!succeeded(outcome)) {
            const Error &error = std::get<1>(outcome);
            m_mayHaveTakenEffect = m_mayHaveTakenEffect || mayHaveReachedEntry(error.code);
            m_lastError = Error{ResultCode::EntryUnreachable, entryPrefix() + error.detail};
            nextEntry();
            return;
        }
        const HttpResponse &response = std::get<0>(outcome);
        auto reply = capture([&] { return parseOperatorReply(response.body); });
        if (succeeded(reply)) {
            onReply(std::get<0>(std::move(reply)));
            return;
        }
        // A 4xx status without a valid reply comes from a server that did not accept the command.
        m_mayHaveTakenEffect =
                m_mayHaveTakenEffect || response.status < 400 || response.status >= 500;
        m_lastError = Error{ResultCode::EntryReplyInvalid,
                            entryPrefix() + "status " + std::to_string(response.status) + ", "
                                    + std::get<1>(reply).detail};
        nextEntry();
    }

    void onReply(OperatorReply reply)
    {
        if (reply.outcome == OperatorOutcome::Undecided) {
            m_mayHaveTakenEffect = true;
            m_lastReply = std::move(reply);
            nextEntry();
        } else if (lacksUsableConfiguration(reply)) {
            m_lastReply = std::move(reply);
            nextEntry();
        } else {
            const bool refused = reply.outcome == OperatorOutcome::Refused;
            finish(ClientResult{std::move(reply), refused && m_mayHaveTakenEffect});
        }
    }

    void nextEntry()
    {
        ++m_entry;
        tryEntry();
    }

    void endPass()
    {
        ++m_pass;
        if (!m_mayHaveTakenEffect)
            finishWithoutEffect();
        else if (m_pass >= m_options.passes)
            finishUndecided();
        else
            waitForNextPass();
    }

    void waitForNextPass()
    {
        m_timer.expires_after(m_options.passDelay);
        m_timer.async_wait([self = shared_from_this()](const auto &ec) {
            if (ec || !self->m_onDone)
                return;
            self->m_entry = 0;
            self->tryEntry();
        });
    }

    void finishWithoutEffect()
    {
        if (m_lastReply)
            finish(ClientResult{std::move(*m_lastReply), false});
        else
            finish(m_lastError.value_or(
                    Error{ResultCode::EntryUnreachable, "no entry addresses given"}));
    }

    void finishUndecided()
    {
        ClientResult result;
        if (m_lastReply)
            result.reply = std::move(*m_lastReply);
        if (result.reply.outcome != OperatorOutcome::Undecided) {
            const std::string detail = m_lastError ? m_lastError->detail : std::string("no reply");
            result.reply = errorReply(m_request.operation, result.reply.revision,
                                      {ResultCode::ConfigurationUndecided, detail});
        }
        finish(std::move(result));
    }

    void finish(Outcome<ClientResult> outcome)
    {
        std::exchange(m_onDone, nullptr)(std::move(outcome));
    }

    std::string entryPrefix() const { return toString(m_options.entries[m_entry]) + ": "; }

    const ClientOptions m_options;
    HttpClient &m_http;
    boost::asio::steady_timer m_timer;
    const OperatorRequest m_request;
    std::function<void(Outcome<ClientResult>)> m_onDone;
    std::size_t m_entry = 0;
    std::uint32_t m_pass = 0;
    /// True if any attempt may have taken or may still take effect.
    bool m_mayHaveTakenEffect = false;
    std::optional<OperatorReply> m_lastReply;
    std::optional<Error> m_lastError;
};

OperatorClient::OperatorClient(boost::asio::io_context &io, ClientOptions options)
    : m_options(std::move(options))
    , m_http(io)
{}

OperatorClient::~OperatorClient()
{
    if (m_pendingRequest)
        m_pendingRequest->cancel();
}

void OperatorClient::send(OperatorRequest request,
                          std::function<void(Outcome<ClientResult>)> onDone)
{
    m_pendingRequest =
            std::make_shared<PendingRequest>(*this, std::move(request), std::move(onDone));
    m_pendingRequest->start();
}

} // namespace godwit
