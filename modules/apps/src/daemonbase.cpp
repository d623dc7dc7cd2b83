#include "daemonbase.h"

#include <godwit/base/rendezvous.h>

#include <chrono>
#include <future>

namespace godwit {

namespace {

constexpr Duration FlushInterval = std::chrono::seconds(1);

TracerOptions tracerOptions(const DaemonSettings &settings)
{
    TracerOptions options;
    options.serviceName = settings.host.value();
    options.sampleRatio = settings.trace.file.empty() ? 0 : settings.trace.sampleRatio;
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    options.unixTimeOffset =
            std::chrono::duration_cast<Duration>(wall) - MonotonicClock::now().time_since_epoch();
    return options;
}

std::uint64_t traceSeed(const DaemonSettings &settings)
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch().count();
    return stableHash(settings.host.value(), static_cast<std::uint64_t>(wall));
}

} // namespace

/// Appends one OTLP JSON line per export to a file.
class DaemonBase::FileSink : public SpanExporter
{
public:
    explicit FileSink(const std::string &file)
        : m_out(file, std::ios::app)
    {}

    void exportSpans(const std::string &otlpJson) override
    {
        m_out << otlpJson << '\n' << std::flush;
    }

private:
    std::ofstream m_out;
};

DaemonBase::DaemonBase(DaemonSettings settings)
    : m_settings(std::move(settings))
    , m_tracer(tracerOptions(m_settings), Random(traceSeed(m_settings)))
{
    if (!m_settings.trace.file.empty())
        m_sink = std::make_unique<FileSink>(m_settings.trace.file);
}

DaemonBase::~DaemonBase()
{
    if (!m_adminThread)
        return;
    runAndWait(m_adminThread->io(), [this] {
        m_flushTimer.reset();
        m_admin.reset();
    });
    if (m_sink)
        m_tracer.flush(*m_sink);
}

Result<void> DaemonBase::startAdmin()
{
    m_adminThread = std::make_unique<IoThread>();
    HttpServerOptions options;
    options.listen = {m_settings.listen.address, m_settings.listen.adminPort};
    BOOST_LEAF_ASSIGN(m_admin, HttpServer::listen(m_adminThread->io(), options,
                                                  [this](const HttpRequest &request,
                                                         const std::shared_ptr<HttpReply> &reply) {
                                                      handleAdmin(request, *reply);
                                                  }));
    if (m_sink) {
        m_flushTimer = std::make_unique<boost::asio::steady_timer>(m_adminThread->io());
        flushSpans();
    }
    return {};
}

void DaemonBase::handleAdmin(const HttpRequest &request, HttpReply &reply)
{
    const auto path = request.path();
    HttpResponse response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    if (path == "/healthz") {
        response.body = "ok\n";
    } else if (path == "/readyz") {
        response.status = m_ready ? 200 : 503;
        response.body = m_ready ? "ready\n" : "not ready\n";
    } else if (path == "/metrics") {
        response.body = m_metrics.text();
    } else {
        response.status = 404;
    }
    reply.send(std::move(response));
}

void DaemonBase::flushSpans()
{
    m_tracer.flush(*m_sink);
    m_flushTimer->expires_after(FlushInterval);
    m_flushTimer->async_wait([this](boost::system::error_code ec) {
        if (!ec && m_flushTimer)
            flushSpans();
    });
}

void runAndWait(boost::asio::io_context &io, const std::function<void()> &function)
{
    std::promise<void> done;
    boost::asio::post(io, [&] {
        function();
        done.set_value();
    });
    done.get_future().wait();
}

} // namespace godwit
