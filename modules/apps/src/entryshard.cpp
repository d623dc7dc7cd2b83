#include "entryshard.h"

#include "daemonbase.h"

namespace godwit {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(50);

} // namespace

EntryShard::EntryShard(const DaemonSettings &settings, RefusalLog &refusals,
                       MetricsRegistry &metrics, Tracer &tracer, std::uint64_t seed,
                       OperatorHandler operatorHandler,
                       RequestService::PoisonPublisher publishPoison,
                       RequestService::EnginesNeeded enginesNeeded)
    : m_settings(settings)
    , m_operatorHandler(std::move(operatorHandler))
    , m_peers(std::make_unique<PeerPool>(m_thread.io()))
    , m_service(std::make_unique<RequestService>(settings, *m_peers, m_directory, refusals, metrics,
                                                 tracer, Random(seed), std::move(publishPoison),
                                                 std::move(enginesNeeded)))
    , m_timer(std::make_unique<boost::asio::steady_timer>(m_thread.io()))
{
    boost::asio::post(m_thread.io(), [this] { scheduleTick(); });
}

EntryShard::~EntryShard()
{
    runAndWait(m_thread.io(), [this] {
        m_timer.reset();
        m_server.reset();
        m_peers.reset();
        m_service.reset();
    });
}

Result<std::uint16_t> EntryShard::listen()
{
    Outcome<std::unique_ptr<HttpServer>> server;
    runAndWait(m_thread.io(), [&] {
        server = capture([&] {
            HttpServerOptions options;
            options.listen = {m_settings.listen.address, m_settings.listen.callerPort};
            options.reusePort = true;
            options.bodyLimit = m_settings.requests.bodyLimitBytes;
            return HttpServer::listen(
                    m_thread.io(), options,
                    [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                        handle(std::move(request), std::move(reply));
                    });
        });
        if (succeeded(server))
            m_server = std::move(std::get<0>(server));
    });
    if (!succeeded(server))
        return fail(std::get<1>(server));
    return m_server->boundPort();
}

void EntryShard::handle(HttpRequest request, std::shared_ptr<HttpReply> reply)
{
    if (request.path() == "/v1/commands" && request.method == "POST")
        m_operatorHandler(std::move(request.body), std::move(reply));
    else if (request.path() == "/v1/config" && request.method == "GET")
        reply->send(HttpResponse::json(200, m_directory.configuration()
                                                    ? toJsonText(*m_directory.configuration())
                                                    : std::string("null")));
    else
        m_service->handle(std::move(request), std::move(reply));
}

void EntryShard::scheduleTick()
{
    m_timer->expires_after(TickInterval);
    m_timer->async_wait([this](boost::system::error_code ec) {
        if (ec || !m_timer)
            return;
        m_service->tick(MonotonicClock::now());
        scheduleTick();
    });
}

void EntryShard::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    boost::asio::post(m_thread.io(), [this, configuration = std::move(configuration)] {
        m_directory.setConfiguration(configuration);
        m_service->directoryChanged(MonotonicClock::now());
    });
}

void EntryShard::setHosts(std::vector<HostUpdate> hostUpdates)
{
    boost::asio::post(m_thread.io(), [this, hostUpdates = std::move(hostUpdates)] {
        for (const auto &hostUpdate : hostUpdates) {
            if (hostUpdate.known)
                m_directory.setHost(hostUpdate.host, hostUpdate.endpoint, hostUpdate.zone,
                                    hostUpdate.usable, hostUpdate.subscribed);
            else
                m_directory.removeHost(hostUpdate.host);
        }
        m_service->directoryChanged(MonotonicClock::now());
    });
}

void EntryShard::applyReport(std::shared_ptr<const HostReport> report)
{
    boost::asio::post(m_thread.io(), [this, report = std::move(report)] {
        const TimePoint now = MonotonicClock::now();
        if (m_directory.applyReport(*report, now))
            m_service->onReport(*report, now);
    });
}

void EntryShard::mergePoison(std::vector<PoisonRecord> records)
{
    boost::asio::post(m_thread.io(), [this, records = std::move(records)] {
        m_service->mergePoison(records, MonotonicClock::now());
    });
}

void EntryShard::stopAccepting()
{
    runAndWait(m_thread.io(), [this] {
        m_service->stopAccepting();
        if (m_server)
            m_server->stopAccepting();
    });
}

std::vector<std::string> EntryShard::inProgress()
{
    std::vector<std::string> names;
    runAndWait(m_thread.io(), [&] { names = m_service->inProgressNames(); });
    return names;
}

} // namespace godwit
