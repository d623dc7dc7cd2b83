#include <godwit/standin/standin.h>

namespace godwit::standin {

namespace {

constexpr std::string_view ControlPrefix = "/_standin/";
constexpr Duration ListenRetryInterval = std::chrono::milliseconds(50);
constexpr std::uint64_t BodyLimit = 256UL * 1024 * 1024;

/// Closes the connection instead of sending the reply.
class DiscardedReply : public HttpReply
{
public:
    explicit DiscardedReply(std::shared_ptr<HttpReply> reply)
        : m_reply(std::move(reply))
    {}

    void send(HttpResponse) override { m_reply->abort(); }
    void start(int, HttpHeaders) override { m_reply->abort(); }
    std::size_t write(std::string) override { return 0; }
    void finish() override {}
    void abort() override { m_reply->abort(); }
    std::size_t queuedBytes() const override { return 0; }
    void onDrained(std::function<void()>) override {}
    void onClosed(std::function<void()> callback) override
    {
        m_reply->onClosed(std::move(callback));
    }

private:
    std::shared_ptr<HttpReply> m_reply;
};

} // namespace

Standin::Standin(boost::asio::io_context &io, StandinConfig config)
    : m_io(io)
    , m_config(std::move(config))
    , m_faults(m_config.seed)
{}

Standin::~Standin()
{
    m_alive.reset();
    for (const auto &timer : m_timers)
        timer->cancel();
}

Result<void> Standin::start()
{
    for (const Fault &fault : m_config.faults) {
        auto status = m_faults.set(fault);
        if (!status)
            return status.error();
    }
    HttpServerOptions options;
    BOOST_LEAF_ASSIGN(options.listen, parseHttpEndpoint(m_config.listen));
    options.bodyLimit = BodyLimit;
    BOOST_LEAF_ASSIGN(m_server, HttpServer::listen(m_io, options, handler()));
    m_endpoint = m_server->endpoint();
    return {};
}

Result<void> Standin::setFault(Fault fault)
{
    const Fault copy = fault;
    auto status = m_faults.set(std::move(fault));
    if (!status)
        return status.error();
    onFaultChanged(copy);
    return {};
}

std::uint64_t Standin::counterValue(std::string_view what) const
{
    const auto it = m_counts.find(what);
    return it == m_counts.end() ? 0 : it->second;
}

bool Standin::handleControl(const HttpRequest &, const ReplyPointer &)
{
    return false;
}

std::string Standin::requestKind(const HttpRequest &request) const
{
    return request.method + ' ' + std::string(request.path());
}

void Standin::runAfter(Duration delay, std::function<void()> function)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
    m_timers.insert(timer);
    timer->async_wait([this, alive = std::weak_ptr(m_alive), timer,
                       function = std::move(function)](const boost::system::error_code &ec) {
        if (ec || alive.expired())
            return;
        m_timers.erase(timer);
        function();
    });
}

void Standin::stopServer()
{
    // Destroyed later, because this function may be called from a callback of the server.
    const std::shared_ptr<HttpServer> server = std::move(m_server);
    if (server)
        runAfter(Duration(0), [server] {});
}

void Standin::restartServer()
{
    HttpServerOptions options;
    options.listen = m_endpoint;
    options.bodyLimit = BodyLimit;
    auto outcome = capture([&] { return HttpServer::listen(m_io, options, handler()); });
    if (auto *server = std::get_if<0>(&outcome))
        m_server = std::move(*server);
    else
        runAfter(ListenRetryInterval, [this] { restartServer(); });
}

void Standin::sendJson(const ReplyPointer &reply, int status, const boost::json::value &body)
{
    reply->send(HttpResponse::json(status, boost::json::serialize(body)));
}

void Standin::sendError(const ReplyPointer &reply, int status, std::string_view code,
                        std::string_view message)
{
    reply->send(errorResponse(status, code, message));
}

HttpResponse Standin::errorResponse(int status, std::string_view code, std::string_view message)
{
    const boost::json::object error{{"code", std::string(code)}, {"message", std::string(message)}};
    return HttpResponse::json(status,
                              boost::json::serialize(boost::json::object{{"error", error}}));
}

HttpServer::Handler Standin::handler()
{
    return [this](HttpRequest request, ReplyPointer reply) {
        dispatch(std::move(request), std::move(reply));
    };
}

void Standin::dispatch(HttpRequest request, ReplyPointer reply)
{
    if (request.path().starts_with(ControlPrefix)) {
        if (!dispatchControl(request, reply))
            sendError(reply, 404, "not_found", "unknown control request");
        return;
    }
    if (!isListening()) {
        reply->abort();
        return;
    }
    const std::string &target = request.target;
    incrementCounter(requestKind(request));
    const auto rate = m_faults.value("call_rate");
    if (m_faults.fires("outage", target)) {
        reply->abort();
    } else if (m_faults.fires("refuse", target)
               || (rate && !m_callLimiter.take(1, *rate, MonotonicClock::now()))) {
        sendError(reply, 429, "refused", "rate limit exceeded");
    } else if (m_faults.fires("silent", target)) {
        // The callback keeps the reply alive until the caller closes the connection.
        reply->onClosed([reply] {});
    } else {
        if (m_faults.fires("reply_lost", target))
            reply = std::make_shared<DiscardedReply>(std::move(reply));
        serve(std::move(request), reply);
    }
}

void Standin::serve(HttpRequest request, const ReplyPointer &reply)
{
    if (!m_faults.fires("slow", request.target)) {
        handle(std::move(request), reply);
        return;
    }
    const Duration delay = fromSeconds(m_faults.value("slow").value_or(0));
    runAfter(delay, [this, request = std::move(request), reply] {
        if (isListening())
            handle(request, reply);
    });
}

bool Standin::dispatchControl(const HttpRequest &request, const ReplyPointer &reply)
{
    const std::string_view what = request.path().substr(ControlPrefix.size());
    if (request.method == "GET" && what == "counts") {
        boost::json::object counts;
        for (const auto &[name, n] : m_counts)
            counts[name] = n;
        sendJson(reply, 200, counts);
    } else if (request.method == "GET" && what == "faults") {
        sendJson(reply, 200, toJson(m_faults.rows()));
    } else if (request.method == "POST" && what == "faults") {
        updateFaults(request, reply);
    } else if (request.method == "GET" && what == "ledger") {
        sendJson(reply, 200, ledger());
    } else {
        return handleControl(request, reply);
    }
    return true;
}

void Standin::updateFaults(const HttpRequest &request, const ReplyPointer &reply)
{
    const auto outcome = capture([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(faults, parseJson<std::vector<Fault>>(request.body));
        for (Fault &fault : faults)
            BOOST_LEAF_CHECK(setFault(std::move(fault)));
        return std::string();
    });
    if (const auto *error = std::get_if<Error>(&outcome))
        sendError(reply, 400, "invalid", error->detail);
    else
        sendJson(reply, 200, toJson(m_faults.rows()));
}

} // namespace godwit::standin
