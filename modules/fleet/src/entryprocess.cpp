#include "entryprocess.h"

#include <godwit/observe/log.h>

namespace godwit {

namespace {

/// A watch confirms the configuration this often; half a second less than the time in which an
/// unconfirmed configuration may still refuse for good.
constexpr Duration OperatorWait = std::chrono::milliseconds(1000);
/// A connection that has gone silent is noticed after this time; a leaving backend server must be
/// known within 2 s.
constexpr Duration BackendWait = std::chrono::milliseconds(900);
/// Many records change together when a version is loaded.
constexpr Duration BackendPause = std::chrono::milliseconds(200);
/// Between the last confirmation that lets a request pass and the end of the revocation time.
constexpr Duration RevocationMargin = std::chrono::milliseconds(400);
/// A request may wait for its first token in an engine; it must begin before the time is over.
constexpr Duration VersionMargin = std::chrono::milliseconds(500);
/// Before the platform kills the process.
constexpr Duration LeaveMargin = std::chrono::milliseconds(700);
/// Clients may reuse a connection until shortly before the idle time of the configuration.
constexpr Duration IdleMargin = std::chrono::seconds(2);
/// For the body of a request, beyond the time for its headers.
constexpr Duration BodyTime = std::chrono::seconds(20);
constexpr int ExitIncomplete = 3;

GatewayOptions optionsFor(const FleetSettings &settings)
{
    const FleetBounds &bounds = settings.bounds;
    GatewayOptions options;
    options.zone = settings.zone;
    options.retries = {bounds.retryBudgetRatio, bounds.retryBudgetSlack, bounds.retryBudgetWindow};
    if (bounds.strictRevocation)
        options.longestKeyAge = bounds.keyRevocationLimit - RevocationMargin;
    return options;
}

HttpClientOptions backendClientOptions()
{
    HttpClientOptions options;
    options.poolTimeout = std::chrono::seconds(10);
    return options;
}

void applyLimits(const CallerLimits &limits, HttpServerOptions &options)
{
    if (limits.headerBytes > 0)
        options.headerLimit = limits.headerBytes;
    if (limits.bodyBytes > 0)
        options.bodyLimit = limits.bodyBytes;
    if (limits.headerTime > Duration::zero())
        options.requestTimeout = limits.headerTime + BodyTime;
    if (limits.idleTime > Duration::zero())
        options.idleTimeout = limits.idleTime + IdleMargin;
}

} // namespace

EntryProcess::EntryProcess(FleetSettings settings, std::string settingsFile,
                           const FleetPlatform &platform)
    : FleetProcessBase(std::move(settings), std::move(settingsFile), platform)
    , m_backendClient(m_io, backendClientOptions())
    , m_gatewayMetrics(m_metrics)
    , m_gateway(optionsFor(m_settings),
                {m_scheduler, m_platform.callerProtocol(), m_gatewayMetrics,
                 [this](HttpCall call, HttpStreamHandlers handlers) {
                     return m_backendClient.stream(std::move(call), std::move(handlers));
                 }},
                newRandom())
    , m_operatorStore(openStore(OperatorWait, Duration::zero()))
    , m_backendStore(openStore(BackendWait, BackendPause))
    , m_operator(m_platform, m_platform.operatorPrefix(), *m_operatorStore, m_scheduler,
                 m_settings.bounds, newRandom(),
                 {[this](GatewayConfiguration configuration) {
                      configurationChanged(std::move(configuration));
                  },
                  [this](const WantedVersion &wanted, const std::optional<VersionTerms> &terms) {
                      versionWanted(wanted, terms);
                  },
                  [this](TimePoint asked) { m_gateway.configurationConfirmed(asked); }})
    , m_backends(m_platform, *m_backendStore, m_scheduler, newRandom(),
                 {[this](const BackendRecord &record) {
                      m_gateway.backends().update(record, m_scheduler.now());
                  },
                  [this](const BackendId &id) { m_gateway.backends().remove(id); }})
    , m_stop(m_scheduler,
             {[this] { m_callers->closeAfterReplies(); }, [this] { m_callers->stopAccepting(); },
              [this] { return m_callers->openConnections(); },
              [this] { return m_gateway.inProgress(); },
              [this](std::size_t left) { stopped(left); }})
{}

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::start()
{
    HttpServerOptions options;
    options.listen = toHttpEndpoint(m_settings.listen.callers);
    BOOST_LEAF_ASSIGN(
            m_callers,
            HttpServer::listen(m_io, options,
                               [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                                   m_gateway.handle(std::move(request), std::move(reply));
                               }));
    BOOST_LEAF_ASSIGN(m_readiness, serveStatus(m_settings.listen.readiness, "/readyz", [this] {
                          HttpResponse response;
                          response.status = !isLeaving() && m_gateway.isReady() ? 200 : 503;
                          return response;
                      }));
    m_operator.start();
    m_backends.start();
    return {};
}

void EntryProcess::configurationChanged(GatewayConfiguration configuration)
{
    HttpServerOptions options;
    applyLimits(configuration.limits, options);
    m_callers->setOptions(options);
    m_gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(configuration)));
}

void EntryProcess::versionWanted(const WantedVersion &wanted,
                                 const std::optional<VersionTerms> &terms)
{
    const TimePoint now = m_scheduler.now();
    BackendPool &backends = m_gateway.backends();
    if (terms)
        backends.versionNamed(wanted.model, wanted.version, *terms);
    const TimePoint deadline =
            terms ? std::max(now, terms->namedAt + terms->time - VersionMargin) : now;
    backends.requireVersion(wanted.model, wanted.version, deadline);
}

void EntryProcess::leave()
{
    m_stop.start(m_settings.bounds.shutdownGracePeriod - LeaveMargin);
}

void EntryProcess::stopped(std::size_t requestsLeft)
{
    logStateChange("process_stopped", {{"left_requests", requestsLeft}},
                   requestsLeft == 0 ? LogLevel::Info : LogLevel::Warning);
    finish(requestsLeft == 0 ? 0 : ExitIncomplete);
}

} // namespace godwit
