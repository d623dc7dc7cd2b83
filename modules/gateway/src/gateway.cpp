#include <godwit/gateway/gateway.h>

#include "errorresponse.h"
#include "forwardedrequest.h"
#include "requestlog.h"
#include "retryafter.h"

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

namespace {

/// Retry-After while no configuration is known, or while it is too old to deny a request.
constexpr Duration UnconfiguredRetryAfter = std::chrono::milliseconds(500);
/// Retry-After in a process that shuts down; the others serve the request at once.
constexpr Duration ShutdownRetryAfter = std::chrono::milliseconds(50);
/// Number of requests after which the longest client timeout of a route has decayed to 37%. Without
/// decay, clients that switch to a shorter timeout would be taken for clients that retry.
constexpr int ClientTimeoutDecayRequests = 300;

void logCrash(const CrashReport &report, CrashPhase phase)
{
    boost::json::array suspects;
    for (const ContentKey &it : report.suspects)
        suspects.emplace_back(it.value());
    boost::json::array requests;
    for (const RequestContent &it : report.requests)
        requests.emplace_back(it.whole.value());
    logStateChange("backend_crash_suspected",
                   {{"backend", report.instance.id.value()},
                    {"born_ms", report.instance.startTimeMs},
                    {"weights_version", report.weightsVersion},
                    {"suspects", std::move(suspects)},
                    {"requests", std::move(requests)},
                    {"answer_begun", phase == CrashPhase::DuringAnswer}});
}

} // namespace

Gateway::Gateway(const GatewayOptions &options, Environment environment, Random random)
    : m_options(options)
    , m_environment(std::move(environment))
    , m_random(random)
    , m_backends(options.zone, Random(random()), ZonePlacement(options.zoneRegions),
                 WarmupLimiter(options.warmup, m_environment.scheduler.now()))
    , m_retryBudget(options.retryBudget)
{
    m_backends.setRanksCallers(options.ranksCallers);
    m_backends.setLearnsSpeed(options.learnsSpeed);
}

Gateway::~Gateway() = default;

void Gateway::setConfiguration(std::shared_ptr<const RouteTable> table)
{
    if (m_routeTable && table->version() <= m_routeTable->version())
        return;
    logStateChange("configuration_in_force",
                   {{"version", table->version()},
                    {"previous", m_routeTable ? m_routeTable->version() : 0},
                    {"routes", table->configuration().routes.size()},
                    {"customers", table->configuration().customers.size()}});
    m_backends.setServices(table->configuration().services);
    m_backends.warmup().setServices(table->configuration().services, m_environment.scheduler.now());
    m_backends.setEventGapLimits(table->configuration().routes);
    m_routeTable = std::move(table);
}

void Gateway::onConfigurationConfirmed(TimePoint requestedAt)
{
    m_configurationConfirmedAt =
            std::max(m_configurationConfirmedAt.value_or(requestedAt), requestedAt);
}

void Gateway::requireVersion(const ModelId &model, std::uint64_t version, TimePoint deadline)
{
    m_backends.requireVersion(model, version, deadline);
    for (const auto &it : m_requests)
        it->limitStart();
}

void Gateway::setEvacuated(const ZoneId &zone, bool evacuated)
{
    if (!m_backends.placement().setEvacuated(zone, evacuated))
        return;
    if (!evacuated)
        m_backends.onZoneReturned(zone, m_environment.scheduler.now());
    m_environment.metrics.recordEvacuations(evacuated ? 1 : -1);
    logStateChange(evacuated ? "zone_evacuated" : "zone_evacuation_ended",
                   {{"zone", zone.value()}, {"requests", m_requests.size()}});
}

void Gateway::recordHoldChanges()
{
    for (const HoldChange &it : m_backends.takeHoldChanges()) {
        m_environment.metrics.recordHold(it.isHeld);
        logRequest(it.isHeld ? RequestLogKind::BackendHeld : RequestLogKind::BackendReleased,
                   {{"backend", it.id.value()}, {"comfortable_slots", it.comfortableSlots}},
                   m_environment.scheduler.now());
    }
}

void Gateway::beginShutdown(const ShutdownTimes &times)
{
    m_shutdown = times;
    for (const auto &it : m_requests)
        it->limitDeadline(times.answerBy);
}

bool Gateway::isTooLate(const ClientRequest &request, const Route &route) const
{
    const TimePoint now = m_environment.scheduler.now();
    return m_shutdown && now >= m_shutdown->lateFrom
           && now + timeout(request, route) > m_shutdown->answerBy;
}

Duration Gateway::timeout(const ClientRequest &request, const Route &route) const
{
    const Duration clientTimeout = request.clientTimeout.value_or(m_options.defaultClientTimeout);
    return route.timeout > Duration::zero() ? std::min(clientTimeout, route.timeout)
                                            : clientTimeout;
}

bool Gateway::isReady()
{
    if (!m_wasReady && m_routeTable && m_configurationConfirmedAt
        && (!m_routeTable->requiresKeys() || isRecentEnoughForKeys()))
        m_wasReady = m_backends.servesAllModels(m_environment.scheduler.now());
    return m_wasReady;
}

bool Gateway::isRecentEnoughForKeys() const
{
    return m_options.maxKeyAge <= Duration::zero() || configurationAge() <= m_options.maxKeyAge;
}

Duration Gateway::configurationAge() const
{
    return m_configurationConfirmedAt ? m_environment.scheduler.now() - *m_configurationConfirmedAt
                                      : Duration::max();
}

Duration Gateway::withJitter(Duration duration)
{
    // Prevents clients that were refused together from retrying together.
    return std::chrono::duration_cast<Duration>(duration * (1 + m_random.uniform()));
}

Duration Gateway::estimateEarlierWait(const std::string &route, const CustomerId &customer,
                                      Duration clientTimeout)
{
    Duration &longest = m_longestClientTimeouts[{route, customer}];
    longest = std::max(clientTimeout, longest - longest / ClientTimeoutDecayRequests);
    // A client that retries has waited for its Retry-After and still has most of its timeout left.
    // Any other remainder means a client that simply has a shorter timeout.
    const Duration spent = longest - clientTimeout;
    return spent >= shortestRetryAfter(longest) && spent <= longest / 2 ? spent : Duration::zero();
}

void Gateway::recordCrash(const BackendInstance &instance, const RequestContent &content,
                          CrashPhase phase, std::uint64_t weightsVersion)
{
    const auto report = m_crashSuspects.recordCrash(
            instance, content, m_environment.scheduler.now(), phase, weightsVersion);
    if (!report)
        return;
    logCrash(*report, phase);
    logSuspensions();
    if (m_environment.onCrash)
        m_environment.onCrash(*report);
}

void Gateway::logSuspensions()
{
    for (const CrashSuspects::Suspension &it : m_crashSuspects.takeSuspensions())
        logStateChange("content_suspended", {{"content", it.content.value()},
                                             {"crashes", it.crashes},
                                             {"certain", it.isCertain}});
}

void Gateway::recordStart(const RequestContent &content, std::uint64_t weightsVersion)
{
    reportCleared(m_crashSuspects.recordStart(content, weightsVersion));
}

void Gateway::recordCompletion(const RequestContent &content, std::uint64_t weightsVersion)
{
    reportCleared(m_crashSuspects.recordCompletion(content, weightsVersion));
}

void Gateway::reportCleared(const std::vector<HarmlessContent> &cleared)
{
    for (const HarmlessContent &it : cleared) {
        logStateChange("content_cleared", {{"content", it.content.value()},
                                           {"complete", it.progress == AnswerProgress::Complete}});
        if (m_environment.onHarmless)
            m_environment.onHarmless(it);
    }
}

std::vector<HarmlessContent> Gateway::mergeCrashReport(const CrashReport &report)
{
    // A process sends its earlier reports again with each new one.
    const std::uint64_t before = m_crashSuspects.suspensionCount();
    auto harmless = m_crashSuspects.merge(report, m_environment.scheduler.now());
    logSuspensions();
    if (m_crashSuspects.suspensionCount() != before)
        cancelSuspended();
    return harmless;
}

bool Gateway::reserveBuffer(const ForwardedRequest &request, std::size_t bytes)
{
    while (m_bufferedBytes + bytes > m_options.bufferedBytesLimit) {
        const auto longest = *std::ranges::max_element(
                m_requests, {}, [](const auto &it) { return it->bufferedBytes(); });
        if (longest->bufferedBytes() <= request.bufferedBytes() + bytes)
            return false;
        longest->failTooLarge();
    }
    m_bufferedBytes += bytes;
    return true;
}

void Gateway::cancelSuspended()
{
    // The end of a request changes the set.
    for (const auto &request : std::set(m_requests))
        request->cancelIfSuspended();
}

void Gateway::moveUnsent(const BackendInstance &instance)
{
    // The end of a request changes the set.
    for (const auto &request : std::set(m_requests))
        request->moveIfUnsent(instance);
}

std::optional<Error> Gateway::checkAccess(const ClientRequest &request, const Route &route,
                                          const CustomerAccess *&customer) const
{
    if (route.anonymous || !m_routeTable->requiresKeys())
        return std::nullopt;
    const CustomerAccess *access = m_routeTable->findCustomer(request.key);
    if (!access)
        return Error{ResultCode::CustomerDenied, "unknown API key"};
    if (!isRecentEnoughForKeys())
        return Error{ResultCode::ConfigurationStale,
                     "configuration too old to verify that the API key is still valid"};
    customer = access;
    return std::nullopt;
}

void Gateway::followColdBackends()
{
    const TimePoint now = m_environment.scheduler.now();
    WarmupLimiter &warmup = m_backends.warmup();
    warmup.advance(now);
    for (const WarmupChange &it : warmup.takeChanges(now))
        logStateChange(it.cold ? "backend_cold" : "backend_warm",
                       {{"backend", it.id.value()}, {"cold_for_ms", toMilliseconds(it.coldFor)}});
    m_environment.metrics.setColdBackends(warmup.hasCold() ? warmup.coldCount(now) : 0);
    m_warmupTimer.reset();
    if (warmup.hasCold())
        m_warmupTimer = m_environment.scheduler.after(WarmupLimiter::MaxStep / 2,
                                                      [this] { followColdBackends(); });
}

void Gateway::handle(HttpRequest http, std::shared_ptr<HttpReply> reply)
{
    m_environment.metrics.recordRequest();
    if (!m_warmupTimer && m_backends.warmup().hasCold())
        followColdBackends();
    auto read = capture([&] { return m_environment.protocol.readRequest(std::move(http)); });
    if (const auto *error = std::get_if<Error>(&read)) {
        refuse(*reply, {}, 400, *error, Duration::zero());
        return;
    }
    ClientRequest request = std::move(std::get<0>(read));
    if (!m_routeTable) {
        refuse(*reply, request.id, 503,
               {ResultCode::ConfigurationUnavailable, "no configuration has been received yet"},
               withJitter(UnconfiguredRetryAfter));
        return;
    }
    const bool canDeny = configurationAge() <= m_options.maxDenialAge;
    const Route *route = m_routeTable->find(request.host, request.path());
    if (!route || route->targets.empty()) {
        refuse(*reply, request.id, canDeny ? 404 : 503,
               {ResultCode::DeploymentUnknown, "no route matches " + request.host + request.target},
               withJitter(UnconfiguredRetryAfter));
        return;
    }
    ForwardedRequest::Admission admission;
    admission.table = m_routeTable;
    admission.route = route;
    admission.service = route->targets[selectTarget(*route, m_random.uniform())].service;
    const CustomerAccess *customer = nullptr;
    if (const auto error = checkAccess(request, *route, customer)) {
        const bool denied = error->code == ResultCode::CustomerDenied && canDeny;
        refuse(*reply, request.id, denied ? 401 : 503, *error, withJitter(UnconfiguredRetryAfter));
        return;
    }
    admission.customer = customer ? customer->customer : CustomerId();
    admission.priority = customer && customer->priority ? customer->priority : route->priority;
    admission.regions = commonRegions(route->allowedRegions, customer ? customer->allowedRegions
                                                                      : std::vector<RegionId>());
    if (isTooLate(request, *route)) {
        refuse(*reply, request.id, 503,
               {ResultCode::ProcessLeaving, "the process may stop before the request is complete"},
               withJitter(ShutdownRetryAfter));
        return;
    }
    m_retryBudget.recordRequest(admission.service, m_environment.scheduler.now());
    m_objectiveTrackers[admission.service].recordRequest(route->objective);
    const auto forwarded = std::make_shared<ForwardedRequest>(*this, std::move(admission),
                                                              std::move(request), std::move(reply));
    m_requests.insert(forwarded);
    forwarded->start();
}

void Gateway::refuse(HttpReply &reply, const RequestId &id, int status, const Error &error,
                     Duration retryAfter)
{
    reply.send(makeErrorResponse(status, error, retryAfter));
    m_environment.metrics.recordRefusal(error.code);
    logRequest(
            RequestLogKind::Failure,
            {{"request", id.value()},
             {"configuration", m_routeTable ? m_routeTable->version() : 0},
             {"configuration_age_ms",
              m_configurationConfirmedAt ? toMilliseconds(configurationAge()) : std::int64_t{-1}},
             {"status", status},
             {"code", static_cast<int>(error.code)},
             {"detail", error.detail},
             {"retry_after_ms", toMilliseconds(retryAfter)}},
            m_environment.scheduler.now());
}

} // namespace godwit
