#include <godwit/gateway/backendpool.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

/// Slot holding time assumed until a request has completed, in seconds.
constexpr double DefaultHoldSeconds = 0.5;
/// Assumed if neither the record, nor a response, nor the configuration of the service states the
/// number.
constexpr std::uint32_t DefaultSlots = 4;
/// Time constant with which the weight of a load report decays.
constexpr double LoadReportDecaySeconds = 2.0;
/// If no load has been reported for longer than this, the estimated load of the other processes
/// decays with the time constant below.
constexpr double RemoteLoadHoldSeconds = 0.5;
constexpr double RemoteLoadDecaySeconds = 1.0;
/// Penalty for a full backend server compared with an idle one, in seconds. It spreads requests
/// while there are free slots, because a busy engine generates each token more slowly.
constexpr double UtilizationPenaltySeconds = 0.2;
/// Penalty for another availability zone, in seconds: it adds latency, and the traffic is billed.
constexpr double CrossZonePenaltySeconds = 0.03;
/// Penalty for a backend server with a failure rate of 1, in seconds.
constexpr double FailurePenaltySeconds = 2.0;
/// Range of the random term of the cost, in seconds. Keeps entry processes with the same view from
/// all selecting the same backend server.
constexpr double JitterSeconds = 0.005;

/// An engine that is about to load new weights waits for its longest request with most of its slots
/// empty. A request that would still be running then is penalised by this much per second of that
/// wait.
constexpr double OverrunPenaltyPerSecond = 0.25;
constexpr double MaxOverrunPenaltySeconds = 0.3;
constexpr Duration MaxWeightLoadTime = std::chrono::milliseconds(2500);
/// A backend server that has just warmed up is given its usual load over this many times the mean
/// holding time of a slot, so that its load reports are those of a server in full use by then.
constexpr double FillHolds = 2;
/// Bounds of that time. Load reports are late by up to about a second if requests are few.
constexpr double MinFillSeconds = 1;
constexpr double MaxFillSeconds = 10;
/// Upper bound of the assumed share of attempts that overtake a waiting request, which keeps the
/// predicted wait finite.
constexpr double MaxOvertakingShare = 0.9;
/// Upper bound of the predicted wait for a slot.
constexpr double MaxWaitSeconds = 60;

BackendInstance instanceOf(const BackendRecord &record)
{
    return {record.id, record.startTimeMs};
}

/// Describes why a request cannot be sent to any backend server, given those that it could be sent
/// to but for their own statements.
NoBackend noneAvailable(std::vector<PassedOverBackend> passedOver, TimePoint now)
{
    NoBackend none;
    if (!passedOver.empty())
        none.reason = NoBackend::Reason::AllLeaving;
    for (const PassedOverBackend &it : passedOver) {
        if (!it.why.until)
            continue;
        const Duration wait = *it.why.until - now;
        none.shortestWait = none.isWaitKnown() ? std::min(none.shortestWait, wait) : wait;
        if (none.reason != NoBackend::Reason::AllCold)
            none.reason = it.why.reason == UnavailabilityReason::Cold
                                  ? NoBackend::Reason::AllCold
                                  : NoBackend::Reason::AllPaused;
    }
    none.passedOver = std::move(passedOver);
    return none;
}

} // namespace

BackendPool::BackendPool(ZoneId zone, Random random, ZonePlacement placement, WarmupLimiter warmup)
    : m_zone(std::move(zone))
    , m_random(random)
    , m_availability(Random(m_random()))
    , m_placement(std::move(placement))
    , m_warmup(std::move(warmup))
{}

void BackendPool::update(const BackendRecord &record, TimePoint now)
{
    if (!m_backends.contains(record.id))
        recordZoneReturn(record, now);
    m_warmup.recordCold(record.id, record.coldFor, now);
    Backend &backend = m_backends[record.id];
    const bool isNewProcess = backend.record.startTimeMs != record.startTimeMs
                              || backend.record.endpoint != record.endpoint;
    const bool modelsChanged = backend.record.models != record.models;
    backend.record = record;
    // Its process has written the record again, so that it listens there.
    backend.replaced = false;
    m_enginesChanged = true;
    if (modelsChanged && backend.consecutiveRejections > 0) {
        backend.consecutiveRejections = 0;
        backend.backoffUntil = now;
    }
    if (!isNewProcess)
        return;
    backend.consecutiveFailures = 0;
    backend.failureRate = 0;
    backend.backoffUntil = now;
    backend.loadReportedAt.reset();
    backend.remoteRequests = 0;
    backend.unansweredSentAt = {};
    resetSpeed(backend);
}

void BackendPool::remove(const BackendId &id)
{
    if (Backend *backend = find(id))
        resetSpeed(*backend);
    m_backends.erase(id);
    m_enginesChanged = true;
}

void BackendPool::setServices(const std::vector<ServiceDescription> &services)
{
    for (const ServiceDescription &it : services)
        m_services[it.name].engine = it.engine;
}

void BackendPool::requireVersion(const ModelId &model, std::uint64_t version, TimePoint deadline)
{
    auto &rules = m_versionRules[model];
    for (const VersionRule &rule : rules) {
        if (rule.version >= version)
            return;
    }
    rules.push_back({version, deadline});
}

std::uint64_t BackendPool::requiredVersion(const ModelId &model, TimePoint now) const
{
    const auto it = m_versionRules.find(model);
    std::uint64_t version = 0;
    if (it == m_versionRules.end())
        return version;
    for (const VersionRule &rule : it->second) {
        if (now >= rule.requiredFrom)
            version = std::max(version, rule.version);
    }
    return version;
}

std::optional<TimePoint> BackendPool::versionExpiry(const ModelId &model,
                                                    std::uint64_t served) const
{
    const auto it = m_versionRules.find(model);
    std::optional<TimePoint> earliest;
    if (it == m_versionRules.end())
        return earliest;
    for (const VersionRule &rule : it->second) {
        if (rule.version > served)
            earliest = std::min(earliest.value_or(rule.requiredFrom), rule.requiredFrom);
    }
    return earliest;
}

std::optional<std::uint64_t> BackendPool::servedVersion(const BackendRecord &record,
                                                        const ModelId &model)
{
    const auto served = std::ranges::find(record.models, model, &ServedModel::model);
    return served == record.models.end() ? std::nullopt : std::optional(served->version);
}

bool BackendPool::isEligible(const Backend &backend, const BackendQuery &query,
                             const Service *service, TimePoint now) const
{
    const BackendRecord &record = backend.record;
    if (record.service != query.service || record.draining || backend.replaced)
        return false;
    if (query.model.empty() || !service || !service->engine)
        return true;
    const auto served = std::ranges::find(record.models, query.model, &ServedModel::model);
    return served != record.models.end() && served->version >= requiredVersion(query.model, now)
           && (!query.version || served->version == *query.version)
           && holdsAllLayers(record.layers, served->version, service->engine->layers);
}

double BackendPool::loadReportWeight(const Backend &backend, TimePoint now)
{
    return backend.loadReportedAt
                   ? std::exp(-toSeconds(now - *backend.loadReportedAt) / LoadReportDecaySeconds)
                   : 0;
}

double BackendPool::meanRemoteRequests(const std::vector<const Backend *> &backends, TimePoint now)
{
    double sum = 0;
    double weights = 0;
    std::optional<TimePoint> newest;
    for (const Backend *it : backends) {
        const double weight = loadReportWeight(*it, now);
        sum += weight * it->remoteRequests;
        weights += weight;
        newest = std::max(newest, it->loadReportedAt);
    }
    if (!newest || weights <= 0)
        return 0;
    // A process that refuses every request receives no load reports. Without the decay it would go
    // on refusing because of an outdated overload.
    const double overdue = std::max(0.0, toSeconds(now - *newest) - RemoteLoadHoldSeconds);
    return sum / weights * std::exp(-overdue / RemoteLoadDecaySeconds);
}

double BackendPool::estimateRequests(const Backend &backend, double meanRemote, TimePoint now) const
{
    if (!backend.loadReportedAt)
        return backend.localRequests + meanRemote;
    const double weight = loadReportWeight(backend, now);
    return backend.localRequests + weight * backend.remoteRequests + (1 - weight) * meanRemote;
}

std::uint32_t BackendPool::slotCount(const Backend &backend, const Service *service) const
{
    if (backend.reportedSlots > 0)
        return backend.reportedSlots;
    if (backend.record.slots > 0)
        return backend.record.slots;
    return service && service->engine ? service->engine->slots : DefaultSlots;
}

const BackendPool::Service *BackendPool::findService(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

bool BackendPool::servesAllModels(TimePoint now) const
{
    if (m_backends.empty())
        return false;
    for (const auto &[name, service] : m_services) {
        if (!service.engine)
            continue;
        for (const ModelId &model : service.engine->models) {
            BackendQuery query;
            query.service = name;
            query.model = model;
            const auto serving = [&, &service = service](const auto &entry) {
                const auto why = m_availability.find(instanceOf(entry.second.record), now);
                return (!why || why->reason == UnavailabilityReason::Paused)
                       && isEligible(entry.second, query, &service, now);
            };
            if (std::ranges::none_of(m_backends, serving))
                return false;
        }
    }
    return true;
}

void BackendPool::announceVersion(const ModelId &model, std::uint64_t version,
                                  const VersionWindow &window)
{
    m_schedules[model].announceVersion(version, window);
    m_enginesChanged = true;
}

void BackendPool::updateSchedules()
{
    if (!std::exchange(m_enginesChanged, false))
        return;
    for (auto &[model, schedule] : m_schedules) {
        std::vector<std::string> addresses;
        for (const auto &[id, backend] : m_backends) {
            const BackendRecord &record = backend.record;
            const auto served = std::ranges::find(record.models, model, &ServedModel::model);
            if (served != record.models.end() && !record.draining)
                addresses.push_back(record.endpoint.address);
        }
        schedule.setEngines(addresses);
    }
}

double BackendPool::expectedHold(const Service *service, const BackendQuery &query)
{
    const double hold =
            service && service->holdSeconds > 0 ? service->holdSeconds : DefaultHoldSeconds;
    const bool isKnown = service && service->outputTokens > 0 && query.outputTokens > 0;
    return isKnown ? hold * query.outputTokens / service->outputTokens : hold;
}

double BackendPool::reloadPenalty(const BackendRecord &record, const ModelId &model,
                                  double duration, TimePoint now) const
{
    const auto schedule = m_schedules.find(model);
    const auto served = std::ranges::find(record.models, model, &ServedModel::model);
    if (schedule == m_schedules.end() || served == record.models.end())
        return 0;
    const auto loadTime = schedule->second.loadTime(record.endpoint.address, served->version);
    if (!loadTime)
        return 0;
    const Duration left = *loadTime - now;
    // An engine that is long past its load time is unlikely to load soon.
    if (left < -MaxWeightLoadTime)
        return 0;
    const double overrun = std::max(0.0, duration - toSeconds(left));
    return std::min(OverrunPenaltyPerSecond * overrun, MaxOverrunPenaltySeconds);
}

void BackendPool::onZoneReturned(const ZoneId &zone, TimePoint now)
{
    m_zoneReturns[zone] = now;
    for (const auto &[id, backend] : m_backends) {
        if (backend.record.zone == zone)
            recordZoneReturn(backend.record, now);
    }
}

void BackendPool::recordZoneReturn(const BackendRecord &record, TimePoint now)
{
    const auto returned = m_zoneReturns.find(record.zone);
    if (returned != m_zoneReturns.end())
        m_warmup.recordCold(record.id,
                            m_warmup.coldPeriod(record.service) - (now - returned->second), now);
}

void BackendPool::passOverCold(const BackendQuery &query, TimePoint now,
                               std::vector<const Backend *> &candidates,
                               std::vector<PassedOverBackend> &passedOver)
{
    m_warmup.advance(now);
    std::erase_if(candidates, [&](const Backend *it) {
        const auto until = m_warmup.limitedUntil(it->record.id, query.service, now);
        if (until)
            passedOver.push_back({it->record.id, {UnavailabilityReason::Cold, until}});
        return until.has_value();
    });
}

void BackendPool::leaveOutWarmedUp(const Service *service, TimePoint now,
                                   std::vector<const Backend *> &candidates)
{
    const double hold =
            service && service->holdSeconds > 0 ? service->holdSeconds : DefaultHoldSeconds;
    const Duration fillTime =
            fromSeconds(std::clamp(FillHolds * hold, MinFillSeconds, MaxFillSeconds));
    const auto isFilling = [&](const Backend *it) {
        const auto coldUntil = m_warmup.coldUntil(it->record.id);
        return coldUntil && *coldUntil <= now && now < *coldUntil + fillTime;
    };
    const auto others = std::ranges::count_if(candidates, [&](const Backend *it) {
        return it->backoffUntil <= now && !isFilling(it);
    });
    if (others == 0)
        return;
    const double share = 1 / (1 + static_cast<double>(others));
    std::erase_if(candidates,
                  [&](const Backend *it) { return isFilling(it) && m_random.uniform() >= share; });
}

std::variant<BackendChoice, NoBackend> BackendPool::choose(const BackendQuery &query, TimePoint now)
{
    updateSchedules();
    updateHolds(now);
    recordOutputTokens(query);
    const Service *service = findService(query.service);
    std::vector<const Backend *> serving;
    std::vector<PassedOverBackend> passedOver;
    bool anyNotPlaceable = false;
    for (const auto &[id, backend] : m_backends) {
        if (!isEligible(backend, query, service, now))
            continue;
        if (m_placement.judge(backend.record.zone, query.regions)
            != ZonePlacement::Verdict::Allowed) {
            anyNotPlaceable = true;
            continue;
        }
        if (const auto why = m_availability.find(instanceOf(backend.record), now))
            passedOver.push_back({id, *why});
        else if (!query.excluded.contains(id))
            serving.push_back(&backend);
    }
    if (m_warmup.isLimited(query.service)) {
        passOverCold(query, now, serving, passedOver);
        leaveOutWarmedUp(service, now, serving);
    }
    NoBackend none = noneAvailable(std::move(passedOver), now);
    if (none.reason == NoBackend::Reason::NoneKnown && anyNotPlaceable)
        none.reason = NoBackend::Reason::NotPlaceable;
    if (serving.empty())
        return none;
    double shortestWait = MaxWaitSeconds;
    if (auto choice = findCheapest(serving, query, now, shortestWait)) {
        choice->passedOver = std::move(none.passedOver);
        return *choice;
    }
    const Duration wait = fromSeconds(shortestWait);
    none.shortestWait = none.isWaitKnown() ? std::min(none.shortestWait, wait) : wait;
    none.reason = NoBackend::Reason::AllFull;
    return none;
}

std::optional<BackendChoice>
BackendPool::findCheapest(const std::vector<const Backend *> &candidates, const BackendQuery &query,
                          TimePoint now, double &shortestWait)
{
    const Service *service = findService(query.service);
    const bool allInBackoff = std::ranges::all_of(
            candidates, [now](const Backend *it) { return it->backoffUntil > now; });
    const double hold =
            service && service->holdSeconds > 0 ? service->holdSeconds : DefaultHoldSeconds;
    const double meanRemote = meanRemoteRequests(candidates, now);
    m_services[query.service].meanRemoteRequests = meanRemote;
    const double medianGap = m_learnsSpeed ? 0 : medianEventGap(candidates);
    const bool anyHeld =
            std::ranges::any_of(candidates, [](const Backend *it) { return it->speed.isHeld(); });
    const EngineProfile *engine = service && service->engine ? &*service->engine : nullptr;
    const double prefill = engine && engine->prefillTokensPerSecond > 0
                                   ? query.promptTokens / engine->prefillTokensPerSecond
                                   : 0;
    const double startDelay = service ? service->startDelaySeconds : 0;
    const double ownHold = expectedHold(service, query);
    std::optional<BackendChoice> best;
    double bestCost = 0;
    for (const Backend *it : candidates) {
        if (it->backoffUntil > now && !allInBackoff)
            continue;
        const double slots = slotCount(*it, service);
        const double load = estimateRequests(*it, meanRemote, now);
        const double factor = m_learnsSpeed ? currentFactor(*it, now) : 1;
        const double wait = factor * waitSeconds(*it, service, query.position(), load, slots, hold);
        shortestWait = std::min(shortestWait, wait);
        if (it->isHalfOpen() && it->queued.count() > 0)
            continue;
        const double start = wait + prefill * factor;
        // A free slot is used whatever the start delay; otherwise the delay could not be measured
        // again.
        const Duration delay = fromSeconds(wait > 0 ? wait + startDelay : 0);
        const auto served = servedVersion(it->record, query.model);
        const auto startDeadline = served ? versionExpiry(query.model, *served) : std::nullopt;
        // Unlike the objective, this limit holds for the start itself, including the prefill.
        const TimePoint firstEventAt = now + fromSeconds(start + startDelay);
        if (delay > query.maxQueueDelay || (startDeadline && firstEventAt > *startDeadline))
            continue;
        const double cost =
                start + load / slots * UtilizationPenaltySeconds
                + (it->record.zone == m_zone ? 0 : CrossZonePenaltySeconds)
                + it->failureRate * FailurePenaltySeconds
                + (m_learnsSpeed ? slownessPenalty(factor) : eventGapPenalty(*it, medianGap, now))
                + it->speed.startLateness(now)
                + (anyHeld ? discomfortPenalty(*it, load, slots, now) : 0)
                + reloadPenalty(it->record, query.model, start + ownHold * factor, now)
                + m_random.uniform() * JitterSeconds;
        if (!best || cost < bestCost) {
            best = BackendChoice{
                    it->record.id, it->record.endpoint,   fromSeconds(start), wait <= 0,
                    served,        it->record.startTimeMs};
            bestCost = cost;
        }
    }
    return best;
}

BackendPool::Backend *BackendPool::find(const BackendId &id)
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? nullptr : &it->second;
}

double BackendPool::countAhead(const Backend &backend, const Service *service,
                               QueuePosition position, double waiting)
{
    if (waiting <= 0)
        return 0;
    // Of the requests of other processes only their number is known. Their priorities are assumed
    // to be those of the own ones at all backend servers of the service, if there are any.
    const double own = std::min(1.0, backend.queued.count() / waiting);
    const bool isMixKnown = service && service->queued.count() > 0;
    const double others = isMixKnown ? service->queuedMix.shareAhead(position) : 1;
    return waiting * (own * backend.queued.shareAhead(position) + (1 - own) * others);
}

double BackendPool::unrankedWaitSeconds(const Backend &backend, RequestUrgency urgency, double load,
                                        double slots, double hold)
{
    double ahead = std::max(0.0, load - slots);
    // Assumes the same share of late requests in the queues of the other processes.
    if (urgency == RequestUrgency::OnTime && backend.queued.count() > 0)
        ahead *= 1 - static_cast<double>(backend.queued.lateCount()) / backend.queued.count();
    const bool isFull = load + 1 > slots;
    return isFull ? (ahead + std::min(1.0, load + 1 - slots)) * hold / slots : 0;
}

double BackendPool::waitSeconds(const Backend &backend, const Service *service,
                                QueuePosition position, double load, double slots,
                                double hold) const
{
    if (!m_ranksCallers)
        return unrankedWaitSeconds(backend, position.urgency, load, slots, hold);
    const double ahead = countAhead(backend, service, position, load - slots);
    const bool isFull = load + 1 > slots;
    const double wait = isFull ? (ahead + std::min(1.0, load + 1 - slots)) * hold / slots : 0;
    // While a request waits, more urgent ones arrive and take their share of the slots that become
    // free.
    const double overtaking = service ? service->attempts.shareOvertaking(position) : 0;
    return wait / (1 - std::min(overtaking, MaxOvertakingShare));
}

bool BackendPool::isCurrent(const BackendInstance &instance, const ModelId &model,
                            std::optional<std::uint64_t> version) const
{
    const auto it = m_backends.find(instance.id);
    return it != m_backends.end() && instanceOf(it->second.record) == instance
           && servedVersion(it->second.record, model) == version;
}

Duration BackendPool::startDelay(const std::string &service) const
{
    const Service *found = findService(service);
    return found ? fromSeconds(found->startDelaySeconds) : Duration::zero();
}

std::uint32_t BackendPool::inProgress(const BackendId &id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? 0 : it->second.localRequests;
}

} // namespace godwit
