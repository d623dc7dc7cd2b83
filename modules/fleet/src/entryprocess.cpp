#include "entryprocess.h"

#include <godwit/observe/log.h>

#include <malloc.h>

#include <algorithm>

namespace godwit {

namespace {

/// Time reserved before the platform kills the process.
constexpr Duration ShutdownMargin = std::chrono::milliseconds(700);
/// Added to the configured idle time, because clients may reuse a connection until shortly before
/// it ends.
constexpr Duration IdleMargin = std::chrono::seconds(2);
/// Time to receive the body of a request, in addition to the time for its headers.
constexpr Duration BodyTimeout = std::chrono::seconds(20);
constexpr int ExitIncomplete = 3;
/// The request itself and the call to a backend server.
constexpr std::size_t RequestCopies = 2;
/// Allocations above this size are returned to the system as soon as they are freed. The allocator
/// would raise its threshold after the first long body otherwise, and keep the memory.
constexpr int MappedAllocationBytes = 128 * 1024;

GatewayOptions gatewayOptions(const FleetSettings &settings)
{
    const FleetBounds &bounds = settings.bounds;
    GatewayOptions options;
    options.zone = settings.zone;
    for (const ZoneSettings &it : settings.zones)
        options.zoneRegions.emplace(it.id, it.region);
    options.retryBudget = {bounds.retryBudgetRatio, bounds.retryBudgetSlack,
                           bounds.retryBudgetWindow};
    options.ranksCallers = settings.ranksCallers;
    options.learnsSpeed = settings.learnsSpeed;
    options.warmup = {bounds.coldOverage, bounds.coldSlack, bounds.entryProcesses};
    options.maxDenialAge = maxDenialAge(bounds);
    if (bounds.strictRevocation)
        options.maxKeyAge = bounds.keyRevocationLimit - RevocationMargin;
    options.bufferedBytesLimit =
            std::min<std::size_t>(options.bufferedBytesLimit, settings.limits.requestMemoryBytes);
    return options;
}

SharedWatchOptions sharedWatchOptions(const FleetBounds &bounds)
{
    const PollIntervals intervals = entryPollIntervals(bounds);
    return {intervals.longPollTimeout, intervals.batchDelay};
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
    if (limits.headerTimeout > Duration::zero())
        options.requestTimeout = limits.headerTimeout + BodyTimeout;
    if (limits.idleTimeout > Duration::zero())
        options.idleTimeout = limits.idleTimeout + IdleMargin;
}

void logBackendChange(const BackendRecord &record, StoreRevision revision)
{
    logStateChange("backend_changed", {{"backend", record.id.value()},
                                       {"service", record.service},
                                       {"endpoint", toString(record.endpoint)},
                                       {"draining", record.draining},
                                       {"born_ms", record.startTimeMs},
                                       {"models", record.models.size()},
                                       {"revision", revision.value}});
}

} // namespace

EntryProcess::EntryProcess(FleetSettings settings, std::string settingsFile,
                           const FleetPlatform &platform)
    : FleetProcessBase(std::move(settings), std::move(settingsFile), platform)
    , m_backendClient(m_io, backendClientOptions())
    , m_gatewayMetrics(m_metrics)
    , m_clientRejections(m_metrics)
    , m_gateway(gatewayOptions(m_settings),
                {m_scheduler, m_platform.callerProtocol(), m_gatewayMetrics,
                 [this](HttpCall call, HttpStreamHandlers handlers) {
                     return m_backendClient.stream(std::move(call), std::move(handlers));
                 },
                 [this](const CrashReport &report) { m_crashReports.publish(report); },
                 [this](const HarmlessContent &it) { m_crashReports.publishHarmless(it); }},
                newRandom())
    // The delay between calls is up to the shared watch.
    , m_store(openStore({entryPollIntervals(m_settings.bounds).longPollTimeout, Duration::zero()}))
    , m_sharedWatch(*m_store, m_scheduler, sharedWatchOptions(m_settings.bounds))
    , m_operatorFeed(
              m_platform, m_platform.operatorPrefix(), m_sharedWatch, m_scheduler,
              m_settings.bounds, newRandom(),
              {[this](GatewayConfiguration configuration) {
                   applyConfiguration(std::move(configuration));
               },
               [this](const WantedVersion &wanted, const std::optional<VersionWindow> &window) {
                   onVersionWanted(wanted, window);
               },
               [this](TimePoint asOf) { m_gateway.onConfigurationConfirmed(asOf); },
               [this](const ZoneId &zone, bool evacuated) {
                   m_gateway.setEvacuated(zone, evacuated);
               }})
    , m_backendFeed(m_platform, m_sharedWatch, m_scheduler, m_settings.bounds, newRandom(),
                    {[this](const BackendRecord &record, StoreRevision revision) {
                         logBackendChange(record, revision);
                         m_gateway.backends().update(record, m_scheduler.now());
                     },
                     [this](const BackendId &id) {
                         logStateChange("backend_removed", {{"backend", id.value()}});
                         m_gateway.backends().remove(id);
                     }})
    , m_crashReports(m_sharedWatch, m_scheduler, newRandom(), m_settings.listen.callers.address,
                     {[this](const CrashReport &report) { mergeCrashReport(report); },
                      [this](const HarmlessContent &it) { m_gateway.recordHarmless(it); }})
    , m_gracefulStop(m_scheduler,
                     {[this](const ShutdownTimes &times) { m_gateway.beginShutdown(times); },
                      [this] { m_clientServer->closeAfterReplies(); },
                      [this] { m_clientServer->stopAccepting(); },
                      [this] { m_clientServer->rejectIncomplete(); },
                      [this] { return m_clientServer->openConnections(); },
                      [this] { return m_gateway.inProgress(); },
                      [this](std::size_t left) { onStopped(left); }})
{}

EntryProcess::~EntryProcess() = default;

Result<void> EntryProcess::start()
{
    HttpServerOptions options;
    options.listen = toHttpEndpoint(m_settings.listen.callers);
    options.connectionLimit = m_settings.limits.clientConnections;
    options.requestMemoryLimit = m_settings.limits.requestMemoryBytes;
    options.outputMemoryLimit = m_settings.limits.requestMemoryBytes;
    options.handlerCopies = RequestCopies;
    mallopt(M_MMAP_THRESHOLD, MappedAllocationBytes);
    mallopt(M_TRIM_THRESHOLD, MappedAllocationBytes);
    BOOST_LEAF_ASSIGN(
            m_clientServer,
            HttpServer::listen(m_io, options,
                               [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                                   m_gateway.handle(std::move(request), std::move(reply));
                               }));
    m_clientServer->setOnRejected([this](ServerRejection reason) {
        m_clientRejections.record(reason, m_scheduler.now());
    });
    BOOST_LEAF_ASSIGN(m_readinessServer,
                      serveStatus(m_settings.listen.readiness, "/readyz", [this] {
                          HttpResponse response;
                          response.status = !isShuttingDown() && m_gateway.isReady() ? 200 : 503;
                          return response;
                      }));
    // Requests with keys are refused if the last confirmation is too old.
    m_operatorFeed.refreshUntilRewritten();
    m_operatorFeed.start();
    m_backendFeed.start();
    m_crashReports.start();
    return {};
}

void EntryProcess::applyConfiguration(GatewayConfiguration configuration)
{
    HttpServerOptions options;
    applyLimits(configuration.limits, options);
    m_clientServer->setOptions(options);
    m_gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(configuration)));
}

void EntryProcess::mergeCrashReport(const CrashReport &report)
{
    for (const HarmlessContent &it : m_gateway.mergeCrashReport(report))
        m_crashReports.publishHarmless(it);
}

void EntryProcess::onVersionWanted(const WantedVersion &wanted,
                                   const std::optional<VersionWindow> &window)
{
    if (window)
        m_gateway.backends().announceVersion(wanted.model, wanted.version, *window);
    m_gateway.requireVersion(wanted.model, wanted.version,
                             startDeadline(window, m_scheduler.now()));
}

void EntryProcess::beginShutdown()
{
    m_gracefulStop.start(m_settings.bounds.shutdownGracePeriod - ShutdownMargin);
}

void EntryProcess::onStopped(std::size_t requestsLeft)
{
    logStateChange("process_stopped", {{"left_requests", requestsLeft}},
                   requestsLeft == 0 ? LogLevel::Info : LogLevel::Warning);
    finish(requestsLeft == 0 ? 0 : ExitIncomplete);
}

} // namespace godwit
