#include "servicecall.h"

#include <godwit/ports/httpengine.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/sseparser.h>

#include <boost/asio/post.hpp>

namespace godwit {

namespace {

constexpr std::size_t ErrorBodyLimit = 16UL * 1024;
constexpr std::string_view RequestIdHeader = "X-Request-Id";
constexpr std::uint64_t StreamLimit = std::uint64_t(1) << 32; ///< Maximum bytes of one response.

/// Origin of an event, sent as a member of each chunk.
struct EventOrigin
{
    BackendId engine;
    AdapterId adapter;
    VersionId version;
    RequestId request;
    std::uint64_t position = 0;
};

struct OrderReply
{
    std::string load;
};

struct LoadProgress
{
    std::uint64_t received = 0;
};

} // namespace

template <>
struct JsonFields<EventOrigin>
{
    static constexpr auto table = std::tuple{
            field("engine", &EventOrigin::engine), field("adapter", &EventOrigin::adapter),
            field("version", &EventOrigin::version), field("request", &EventOrigin::request),
            field("position", &EventOrigin::position)};
};

template <>
struct JsonFields<OrderReply>
{
    static constexpr auto table = std::tuple{field("load", &OrderReply::load)};
};

template <>
struct JsonFields<LoadProgress>
{
    static constexpr auto table = std::tuple{field("received", &LoadProgress::received)};
};

namespace {

std::string stringMember(const boost::json::object &object, boost::json::string_view name)
{
    const auto *value = object.if_contains(name);
    const auto *text = value ? value->if_string() : nullptr;
    return text ? std::string(*text) : std::string();
}

std::uint64_t uint64Member(const boost::json::object &object, boost::json::string_view name)
{
    const auto *value = object.if_contains(name);
    boost::json::error_code ec;
    const auto n = value ? value->to_number<std::uint64_t>(ec) : 0;
    return ec ? 0 : n;
}

/// Reads text and finish reason of the first choice, in the format of either API.
void readChoice(const boost::json::object &chunk, EngineEvent &event)
{
    const auto *choices = chunk.if_contains("choices");
    if (!choices || !choices->is_array() || choices->get_array().empty()
        || !choices->get_array().front().is_object())
        return;
    const auto &choice = choices->get_array().front().get_object();
    event.finishReason = stringMember(choice, "finish_reason");
    const auto *delta = choice.if_contains("delta");
    event.text = delta && delta->is_object() ? stringMember(delta->get_object(), "content")
                                             : stringMember(choice, "text");
}

EngineUsage readUsage(const boost::json::object &usage)
{
    EngineUsage result{uint64Member(usage, "prompt_tokens"), 0,
                       uint64Member(usage, "completion_tokens")};
    const auto *details = usage.if_contains("prompt_tokens_details");
    if (details && details->is_object())
        result.cachedTokens = uint64Member(details->get_object(), "cached_tokens");
    return result;
}

/// Converts \a json, which was parsed from \a data. Fails with JsonMalformed or JsonFieldInvalid.
Result<EngineEvent> parseEvent(const boost::json::value &json, std::string data)
{
    if (!json.is_object())
        return fail(ResultCode::JsonFieldInvalid, "event: expected an object");
    const auto &chunk = json.get_object();
    const auto *member = chunk.if_contains("origin");
    if (!member)
        return fail(ResultCode::JsonFieldInvalid, "event has no origin member");
    BOOST_LEAF_AUTO(origin, fromJson<EventOrigin>(*member, "origin"));
    EngineEvent event;
    event.engine = origin.engine;
    event.pin = {ModelId(stringMember(chunk, "model")), origin.adapter, origin.version};
    event.request = origin.request;
    event.position = origin.position;
    event.data = std::move(data);
    readChoice(chunk, event);
    return event;
}

/// State of one streamed response.
class EngineStream : public std::enable_shared_from_this<EngineStream>
{
public:
    EngineStream(const EngineCall &call, EngineStreamHandlers handlers)
        : m_pin(call.pin)
        , m_request(call.request)
        , m_nextPosition(call.resumePosition)
        , m_handlers(std::move(handlers))
    {}

    HttpStreamHandlers handlers()
    {
        HttpStreamHandlers result;
        result.onSending = [self = shared_from_this()](std::size_t earlierCalls) {
            self->m_isFirstCall = earlierCalls == 0;
        };
        result.onHeader = [self = shared_from_this()](int status, const HttpHeaders &headers) {
            self->m_status = status;
            self->m_isIdentified = headers.value(RequestIdHeader) == self->m_request.value();
        };
        result.onData = [self = shared_from_this()](std::string_view data) { self->onData(data); };
        result.onEnd = [self = shared_from_this()](const Outcome<std::monostate> &outcome) {
            self->onEnd(outcome);
        };
        return result;
    }

    void setHandle(std::shared_ptr<CallHandle> handle)
    {
        if (m_ended)
            handle->cancel();
        else
            m_handle = std::move(handle);
    }

private:
    void onData(std::string_view data)
    {
        if (m_ended)
            return;
        if (m_status != 200) {
            m_errorBody += data.substr(0, ErrorBodyLimit - m_errorBody.size());
            return;
        }
        const bool withinLimit = m_parser.feed(data, [this](std::string event) {
            if (!m_ended && !m_doneReceived)
                onEvent(std::move(event));
        });
        if (!withinLimit)
            failStream(ResultCode::PlatformBadReply, "event exceeds the size limit");
    }

    void onEvent(std::string data)
    {
        if (data == "[DONE]") {
            m_doneReceived = true;
            return;
        }
        boost::json::error_code ec;
        const auto json = boost::json::parse(data, ec);
        if (ec) {
            failStream(ResultCode::PlatformBadReply, "event is not valid JSON");
            return;
        }
        auto outcome = capture([&] { return parseEvent(json, std::move(data)); });
        if (const auto *error = std::get_if<Error>(&outcome)) {
            failStream(ResultCode::PlatformBadReply, error->detail);
            return;
        }
        auto &event = std::get<EngineEvent>(outcome);
        const std::string mismatchText = describeMismatch(event);
        if (!mismatchText.empty()) {
            failStream(ResultCode::ReplyMixed, mismatchText);
            return;
        }
        m_engine = event.engine;
        ++m_nextPosition;
        const auto *usage = json.get_object().if_contains("usage");
        if (usage && usage->is_object())
            m_usage = readUsage(usage->get_object());
        if (m_handlers.onEvent)
            m_handlers.onEvent(std::move(event));
    }

    /// Describes why \a event cannot be the next one of this response. Empty if it can.
    std::string describeMismatch(const EngineEvent &event) const
    {
        if (event.pin != m_pin)
            return "expected " + toString(m_pin) + ", received " + toString(event.pin);
        if (event.request != m_request)
            return "event belongs to request " + event.request.value();
        if (!m_engine.empty() && event.engine != m_engine)
            return "event comes from engine " + event.engine.value();
        if (event.position != m_nextPosition)
            return "expected position " + std::to_string(m_nextPosition) + ", received "
                   + std::to_string(event.position);
        return {};
    }

    void failStream(ResultCode code, const std::string &detail)
    {
        if (const auto handle = m_handle)
            handle->cancel();
        finish(Error{code, detail});
    }

    void onEnd(const Outcome<std::monostate> &outcome)
    {
        if (const auto *error = std::get_if<Error>(&outcome))
            finish(*error);
        else if (m_status != 200 && !m_isIdentified && !m_isFirstCall)
            finish(Error{ResultCode::PlatformBadReply,
                         "HTTP status " + std::to_string(m_status)
                                 + " of a response that may belong to an earlier request"});
        else if (m_status != 200)
            finish(errorFromResponse({m_status, {}, m_errorBody})
                           .value_or(Error{ResultCode::PlatformBadReply,
                                           "HTTP status " + std::to_string(m_status)}));
        else if (!m_doneReceived)
            finish(Error{ResultCode::PlatformReplyLost, "the stream ended before [DONE]"});
        else
            finish(m_usage);
    }

    void finish(Outcome<EngineUsage> outcome)
    {
        if (std::exchange(m_ended, true))
            return;
        m_handle.reset();
        const auto handlers = std::exchange(m_handlers, {});
        if (handlers.onEnd)
            handlers.onEnd(std::move(outcome));
    }

    ModelPin m_pin;
    RequestId m_request;
    BackendId m_engine;
    std::uint64_t m_nextPosition; ///< Position expected in the next event.
    EngineStreamHandlers m_handlers;
    std::shared_ptr<CallHandle> m_handle;
    SseParser m_parser;
    EngineUsage m_usage;
    std::string m_errorBody;
    int m_status = 0;
    /// The connection has carried no request before, so that the response cannot be a copy of the
    /// response to another one. Events identify their request, error responses may not.
    bool m_isFirstCall = false;
    bool m_isIdentified = false; ///< The response states the id of the request.
    bool m_doneReceived = false; ///< The end marker [DONE] has arrived.
    bool m_ended = false;
};

/// Returns \a body with "stream" set to true, or an empty string if it is not a JSON object.
std::string withStreamEnabled(const std::string &body)
{
    boost::json::error_code ec;
    auto json = boost::json::parse(body, ec);
    if (ec || !json.is_object())
        return {};
    json.get_object()["stream"] = true;
    return boost::json::serialize(json);
}

HttpHeaders requestHeaders(const EngineCall &call)
{
    HttpHeaders headers{{"Content-Type", "application/json"},
                        {"Accept", "text/event-stream"},
                        {"X-Model", call.pin.model.value()},
                        {"X-Model-Version", call.pin.version.value()},
                        {std::string(RequestIdHeader), call.request.value()},
                        {"X-Attempt", std::to_string(call.attempt.value)},
                        {"X-Priority", std::to_string(call.priority)},
                        {"X-Resume-Position", std::to_string(call.resumePosition)}};
    if (!call.pin.adapter.empty())
        headers.add("X-Adapter", call.pin.adapter.value());
    if (!call.traceparent.empty())
        headers.add("traceparent", call.traceparent);
    return headers;
}

std::string takeBody(HttpResponse &response)
{
    return std::move(response.body);
}

} // namespace

HttpEngine::HttpEngine(HttpClient &client, ServiceOptions options)
    : m_client(client)
    , m_options(std::move(options))
{}

std::shared_ptr<CallHandle> HttpEngine::run(EngineCall engineCall, EngineStreamHandlers handlers)
{
    HttpCall call = makeServiceCall(m_options, "POST", engineCall.path);
    call.headers = requestHeaders(engineCall);
    call.body = withStreamEnabled(engineCall.body);
    call.idleTimeout = engineCall.firstTokenTimeout;
    call.stallTimeout = engineCall.stallTimeout;
    call.bodyLimit = StreamLimit;
    // Drops a late response to an earlier request whose id it states.
    call.correlation = HttpCorrelation{std::string(RequestIdHeader), engineCall.request.value()};
    const auto stream = std::make_shared<EngineStream>(engineCall, std::move(handlers));
    auto handle = m_client.stream(std::move(call), stream->handlers());
    boost::asio::post(m_client.context(), [stream, handle] { stream->setHandle(handle); });
    return handle;
}

void HttpEngine::order(const EngineOrder &order, Completion<std::string> done)
{
    HttpCall call = makeServiceCall(m_options, "POST", "/admin/orders");
    call.headers.add("Content-Type", "application/json");
    call.body = toJsonText(order);
    callJson<OrderReply>(m_client, std::move(call),
                         [done = std::move(done)](const Outcome<OrderReply> &outcome) {
                             if (const auto *error = std::get_if<Error>(&outcome))
                                 done(*error);
                             else
                                 done(std::get<OrderReply>(outcome).load);
                         });
}

std::shared_ptr<CallHandle> HttpEngine::putWeights(std::string load, std::uint64_t offset,
                                                   std::string bytes,
                                                   Completion<std::uint64_t> done)
{
    HttpCall call = makeServiceCall(m_options, "PUT",
                                    "/admin/loads/" + percentEncode(load)
                                            + "?offset=" + std::to_string(offset));
    call.headers.add("Content-Type", "application/octet-stream");
    call.body = std::move(bytes);
    call.retryable = true;
    return callJson<LoadProgress>(m_client, std::move(call),
                                  [done = std::move(done)](const Outcome<LoadProgress> &outcome) {
                                      if (const auto *error = std::get_if<Error>(&outcome))
                                          done(*error);
                                      else
                                          done(std::get<LoadProgress>(outcome).received);
                                  });
}

void HttpEngine::finishLoad(std::string load, Completion<EngineState> done)
{
    callJson<EngineState>(
            m_client,
            makeServiceCall(m_options, "POST", "/admin/loads/" + percentEncode(load) + "/finish"),
            std::move(done));
}

void HttpEngine::abandonLoad(std::string load, Completion<Done> done)
{
    callWithoutResult(m_client,
                      makeServiceCall(m_options, "DELETE", "/admin/loads/" + percentEncode(load)),
                      std::move(done));
}

void HttpEngine::readState(Completion<EngineState> done)
{
    HttpCall call = makeServiceCall(m_options, "GET", "/admin/state");
    call.retryable = true;
    callJson<EngineState>(m_client, std::move(call), std::move(done));
}

void HttpEngine::readLoad(Completion<EngineLoad> done)
{
    HttpCall call = makeServiceCall(m_options, "GET", "/admin/load");
    call.retryable = true;
    callJson<EngineLoad>(m_client, std::move(call), std::move(done));
}

void HttpEngine::readCacheEvents(std::uint64_t from, Completion<CacheEvents> done)
{
    HttpCall call =
            makeServiceCall(m_options, "GET", "/admin/cache/events?from=" + std::to_string(from));
    call.retryable = true;
    callJson<CacheEvents>(m_client, std::move(call), std::move(done));
}

std::shared_ptr<CallHandle> HttpEngine::exportCache(const ModelPin &pin, std::string block,
                                                    Completion<std::string> done)
{
    HttpCall call =
            makeServiceCall(m_options, "GET", "/admin/cache/blocks/" + percentEncode(block));
    call.headers = {{"X-Model", pin.model.value()},
                    {"X-Adapter", pin.adapter.value()},
                    {"X-Model-Version", pin.version.value()}};
    call.retryable = true;
    return callService<std::string>(
            m_client, std::move(call), std::move(done),
            [](HttpResponse &response) -> Outcome<std::string> { return takeBody(response); });
}

std::shared_ptr<CallHandle> HttpEngine::importCache(std::string bytes, Completion<Done> done)
{
    HttpCall call = makeServiceCall(m_options, "PUT", "/admin/cache/blocks");
    call.headers.add("Content-Type", "application/octet-stream");
    call.body = std::move(bytes);
    call.retryable = true;
    return callWithoutResult(m_client, std::move(call), std::move(done));
}

} // namespace godwit
