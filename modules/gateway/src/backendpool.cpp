#include <godwit/gateway/backendpool.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

/// Hold time of a request before any has completed, in seconds.
constexpr double AssumedHoldSeconds = 0.5;
/// Weight of the newest hold time, or number of tokens, in the mean.
constexpr double HoldWeight = 0.05;
/// Weight of the newest attempt in the share of failures.
constexpr double FailureWeight = 0.1;
/// Weight of the newest delay of a first event in the mean.
constexpr double StartDelayWeight = 0.03;
/// Beyond the usual delay of a service; a link that narrows or a machine that is slow adds more.
constexpr double UsualLateness = 0.1;
constexpr double LatenessWeight = 0.3;
constexpr double LargestLateness = 1.0;
/// Age at which a measured lateness has lost all but 37% of its weight, so that a backend server
/// that was late is tried again.
constexpr double LatenessTrustSeconds = 2.0;
/// Larger ones come from an unknown load, not from the pass of the engine.
constexpr double LongestStartDelay = 0.25;
/// Slots that are assumed if neither the record nor a response states them.
constexpr std::uint32_t AssumedSlots = 4;
/// Age at which a stated load has lost all but 37% of its weight.
constexpr double LoadTrustSeconds = 2.0;
/// Without any stated load for longer, what is known of the other processes fades.
constexpr double QuietNewsSeconds = 0.5;
constexpr double FadeSeconds = 1.0;
/// Price of an entirely full backend server against an idle one, in seconds. It spreads requests
/// while there are free slots; a busy engine is slower at each token.
constexpr double FullPenaltySeconds = 0.2;
/// Price of another availability zone, in seconds: delay, and traffic that costs.
constexpr double ZonePenaltySeconds = 0.03;
/// Price of a backend server whose recent attempts all failed, in seconds.
constexpr double FailurePenaltySeconds = 2.0;
/// Spread of the random part, in seconds, so that entry processes with the same view do not all
/// choose the same backend server.
constexpr double JitterSeconds = 0.005;
/// Weight of the newest pause in the mean of a backend server.
constexpr double PauseWeight = 0.03;
/// A mean pause of up to this many times the median of all is usual.
constexpr double UsualPauseRatio = 1.5;
/// Price of one more median of pause, in seconds.
constexpr double PausePenaltySeconds = 0.15;
constexpr double LargestPausePenalty = 0.4;
/// Age at which a measured pause has lost all but 37% of its weight, so that a backend server that
/// was slow is tried again.
constexpr double PauseTrustSeconds = 3.0;
constexpr Duration FirstAvoidance = std::chrono::milliseconds(300);
constexpr Duration LongestAvoidance = std::chrono::seconds(4);
/// After the first of consecutive rejections; doubles. An engine that loads weights rejects for up
/// to 2.5 s, and each try costs a part of the retry bound.
constexpr Duration FirstRejectionPause = std::chrono::milliseconds(200);
constexpr Duration LongestRejectionPause = std::chrono::milliseconds(1200);
constexpr int MostDoublings = 8;

/// An engine that loads new weights waits for its longest request with most of its slots empty. A
/// request that would still run then costs this much for each second of that wait.
constexpr double OverrunPenaltyPerSecond = 0.25;
constexpr double LargestOverrunPenalty = 0.3;
constexpr Duration LongestLoad = std::chrono::milliseconds(2500);
/// Prediction for a service without any room.
constexpr double LongestWaitSeconds = 60;

Duration avoidance(int failures)
{
    const int doublings = std::min(failures - 1, MostDoublings);
    return std::min(FirstAvoidance * (1 << doublings), LongestAvoidance);
}

Duration rejectionPause(int rejections)
{
    const int doublings = std::min(rejections - 1, MostDoublings);
    return std::min(FirstRejectionPause * (1 << doublings), LongestRejectionPause);
}

bool holdsAllLayers(const BackendRecord &record, std::uint64_t version, std::uint32_t layers)
{
    if (!record.layers)
        return true;
    const HeldLayers &held = *record.layers;
    return held.version == version && held.first == 0 && held.end >= layers;
}

} // namespace

BackendPool::BackendPool(ZoneId zone, Random random)
    : m_zone(std::move(zone))
    , m_random(random)
{}

void BackendPool::update(const BackendRecord &record, TimePoint now)
{
    Backend &backend = m_backends[record.id];
    const bool isOtherProcess =
            backend.record.bornMs != record.bornMs || backend.record.endpoint != record.endpoint;
    const bool hasLoaded = backend.record.models != record.models;
    backend.record = record;
    m_enginesChanged = true;
    if (hasLoaded && backend.rejections > 0) {
        backend.rejections = 0;
        backend.avoidUntil = now;
    }
    if (!isOtherProcess)
        return;
    backend.failures = 0;
    backend.failureShare = 0;
    backend.avoidUntil = now;
    backend.replaced = false;
    backend.loadAt.reset();
    backend.foreign = 0;
}

void BackendPool::remove(const BackendId &id)
{
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
    auto &rules = m_versions[model];
    for (const VersionRule &rule : rules) {
        if (rule.version >= version)
            return;
    }
    rules.push_back({version, deadline});
}

std::uint64_t BackendPool::requiredVersion(const ModelId &model, TimePoint now) const
{
    const auto it = m_versions.find(model);
    std::uint64_t version = 0;
    if (it == m_versions.end())
        return version;
    for (const VersionRule &rule : it->second) {
        if (now >= rule.at)
            version = std::max(version, rule.version);
    }
    return version;
}

std::optional<TimePoint> BackendPool::outdatedAt(const ModelId &model, std::uint64_t served) const
{
    const auto it = m_versions.find(model);
    std::optional<TimePoint> earliest;
    if (it == m_versions.end())
        return earliest;
    for (const VersionRule &rule : it->second) {
        if (rule.version > served)
            earliest = std::min(earliest.value_or(rule.at), rule.at);
    }
    return earliest;
}

std::optional<TimePoint> BackendPool::outdatedAt(const BackendRecord &record,
                                                 const ModelId &model) const
{
    const auto served = std::ranges::find(record.models, model, &ServedModel::model);
    return served == record.models.end() ? std::nullopt : outdatedAt(model, served->version);
}

bool BackendPool::serves(const Backend &backend, const BackendQuery &query, const Service *service,
                         TimePoint now) const
{
    const BackendRecord &record = backend.record;
    if (record.service != query.service || record.draining || backend.replaced
        || query.excluded.contains(record.id))
        return false;
    if (query.model.empty() || !service || !service->engine)
        return true;
    const auto served = std::ranges::find(record.models, query.model, &ServedModel::model);
    return served != record.models.end() && served->version >= requiredVersion(query.model, now)
           && (!query.version || served->version == *query.version)
           && holdsAllLayers(record, served->version, service->engine->layers);
}

double BackendPool::loadTrust(const Backend &backend, TimePoint now)
{
    return backend.loadAt ? std::exp(-toSeconds(now - *backend.loadAt) / LoadTrustSeconds) : 0;
}

double BackendPool::meanForeign(const std::vector<const Backend *> &backends, TimePoint now)
{
    double sum = 0;
    double weights = 0;
    std::optional<TimePoint> newest;
    for (const Backend *it : backends) {
        const double trust = loadTrust(*it, now);
        sum += trust * it->foreign;
        weights += trust;
        newest = std::max(newest, it->loadAt);
    }
    if (!newest || weights <= 0)
        return 0;
    // A process that sends nothing hears of no load, and would refuse for ever what it once knew to
    // be too much.
    const double silence = std::max(0.0, toSeconds(now - *newest) - QuietNewsSeconds);
    return sum / weights * std::exp(-silence / FadeSeconds);
}

double BackendPool::medianPause(const std::vector<const Backend *> &backends) const
{
    std::vector<double> pauses;
    for (const Backend *it : backends) {
        if (it->pauseSeconds > 0)
            pauses.push_back(it->pauseSeconds);
    }
    if (pauses.empty())
        return 0;
    const auto middle = pauses.begin() + static_cast<std::ptrdiff_t>(pauses.size() / 2);
    std::ranges::nth_element(pauses, middle);
    return *middle;
}

double BackendPool::pausePenalty(const Backend &backend, double meanPause, TimePoint now) const
{
    if (meanPause <= 0 || backend.pauseSeconds <= meanPause * UsualPauseRatio)
        return 0;
    const double trust = std::exp(-toSeconds(now - backend.pauseAt) / PauseTrustSeconds);
    const double excess = backend.pauseSeconds / meanPause - UsualPauseRatio;
    return trust * std::min(LargestPausePenalty, excess * PausePenaltySeconds);
}

void BackendPool::pauseSeen(const BackendId &id, Duration pause, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    const double seconds = toSeconds(pause);
    backend->pauseSeconds =
            backend->pauseSeconds > 0
                    ? backend->pauseSeconds + PauseWeight * (seconds - backend->pauseSeconds)
                    : seconds;
    backend->pauseAt = now;
}

double BackendPool::requests(const Backend &backend, double meanForeign, TimePoint now) const
{
    if (!backend.loadAt)
        return backend.own + meanForeign;
    const double trust = loadTrust(backend, now);
    return backend.own + trust * backend.foreign + (1 - trust) * meanForeign;
}

std::uint32_t BackendPool::slotsOf(const Backend &backend, const Service *service) const
{
    if (backend.statedSlots > 0)
        return backend.statedSlots;
    if (backend.record.slots > 0)
        return backend.record.slots;
    return service && service->engine ? service->engine->slots : AssumedSlots;
}

const BackendPool::Service *BackendPool::serviceOf(const std::string &name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : &it->second;
}

bool BackendPool::serveAllModels(TimePoint now) const
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
                return serves(entry.second, query, &service, now);
            };
            if (std::ranges::none_of(m_backends, serving))
                return false;
        }
    }
    return true;
}

void BackendPool::versionNamed(const ModelId &model, std::uint64_t version,
                               const VersionTerms &terms)
{
    m_schedules[model].named(version, terms);
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
            service && service->holdSeconds > 0 ? service->holdSeconds : AssumedHoldSeconds;
    const bool isKnown = service && service->outputTokens > 0 && query.outputTokens > 0;
    return isKnown ? hold * query.outputTokens / service->outputTokens : hold;
}

double BackendPool::loadPenalty(const BackendRecord &record, const ModelId &model, double duration,
                                TimePoint now) const
{
    const auto schedule = m_schedules.find(model);
    const auto served = std::ranges::find(record.models, model, &ServedModel::model);
    if (schedule == m_schedules.end() || served == record.models.end())
        return 0;
    const auto turn = schedule->second.turn(record.endpoint.address, served->version);
    if (!turn)
        return 0;
    const Duration left = *turn - now;
    // An engine that has not loaded long after its turn will not do so soon.
    if (left < -LongestLoad)
        return 0;
    const double overrun = std::max(0.0, duration - toSeconds(left));
    return std::min(OverrunPenaltyPerSecond * overrun, LargestOverrunPenalty);
}

std::variant<BackendChoice, NoBackend> BackendPool::choose(const BackendQuery &query, TimePoint now)
{
    updateSchedules();
    if (query.outputTokens > 0) {
        double &mean = m_services[query.service].outputTokens;
        mean = mean > 0 ? mean + HoldWeight * (query.outputTokens - mean) : query.outputTokens;
    }
    const Service *service = serviceOf(query.service);
    std::vector<const Backend *> serving;
    for (const auto &[id, backend] : m_backends) {
        if (serves(backend, query, service, now))
            serving.push_back(&backend);
    }
    if (serving.empty())
        return NoBackend{};
    double shortestWait = LongestWaitSeconds;
    if (const auto choice = cheapest(serving, query, now, shortestWait))
        return *choice;
    return NoBackend{NoBackend::Reason::AllFull, fromSeconds(shortestWait)};
}

std::optional<BackendChoice> BackendPool::cheapest(const std::vector<const Backend *> &candidates,
                                                   const BackendQuery &query, TimePoint now,
                                                   double &shortestWait)
{
    const Service *service = serviceOf(query.service);
    const bool allAvoided = std::ranges::all_of(
            candidates, [now](const Backend *it) { return it->avoidUntil > now; });
    const double hold =
            service && service->holdSeconds > 0 ? service->holdSeconds : AssumedHoldSeconds;
    const double foreign = meanForeign(candidates, now);
    const double pause = medianPause(candidates);
    const EngineProfile *engine = service && service->engine ? &*service->engine : nullptr;
    const double read = engine && engine->promptTokensPerSecond > 0
                                ? query.promptTokens / engine->promptTokensPerSecond
                                : 0;
    const double startDelay = service ? service->startDelaySeconds : 0;
    const double ownHold = expectedHold(service, query);
    std::optional<BackendChoice> best;
    double bestCost = 0;
    for (const Backend *it : candidates) {
        if (it->avoidUntil > now && !allAvoided)
            continue;
        const double slots = slotsOf(*it, service);
        const double load = requests(*it, foreign, now);
        const double wait = waitSeconds(*it, query.urgency, load, slots, hold);
        shortestWait = std::min(shortestWait, wait);
        const double start = wait + read;
        // A free slot is used whatever the delay; it could not be learned anew otherwise.
        const Duration delay = fromSeconds(wait > 0 ? wait + startDelay : 0);
        const auto beginBy = outdatedAt(it->record, query.model);
        if (delay > query.startLimit || (beginBy && now + delay > *beginBy))
            continue;
        const double cost = start + load / slots * FullPenaltySeconds
                            + (it->record.zone == m_zone ? 0 : ZonePenaltySeconds)
                            + it->failureShare * FailurePenaltySeconds
                            + pausePenalty(*it, pause, now) + expectedLateness(*it, now)
                            + loadPenalty(it->record, query.model, start + ownHold, now)
                            + m_random.uniform() * JitterSeconds;
        if (!best || cost < bestCost) {
            best = BackendChoice{it->record.id, it->record.endpoint, fromSeconds(start), wait <= 0,
                                 beginBy};
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

double BackendPool::waitSeconds(const Backend &backend, RequestUrgency urgency, double load,
                                double slots, double hold)
{
    double ahead = std::max(0.0, load - slots);
    // The other processes are taken to have as many late requests among the waiting ones.
    if (urgency == RequestUrgency::InTime && backend.waiting > 0)
        ahead *= 1 - static_cast<double>(backend.waitingLate) / backend.waiting;
    const bool isFull = load + 1 > slots;
    return isFull ? (ahead + std::min(1.0, load + 1 - slots)) * hold / slots : 0;
}

void BackendPool::started(const BackendId &id, RequestUrgency urgency)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    ++backend->own;
    ++backend->waiting;
    backend->waitingLate += urgency == RequestUrgency::Late;
}

void BackendPool::stopWaiting(Backend &backend, RequestUrgency urgency)
{
    if (backend.waiting > 0)
        --backend.waiting;
    if (urgency == RequestUrgency::Late && backend.waitingLate > 0)
        --backend.waitingLate;
}

void BackendPool::responseBegan(const BackendId &id, RequestUrgency urgency)
{
    if (Backend *backend = find(id))
        stopWaiting(*backend, urgency);
}

double BackendPool::expectedLateness(const Backend &backend, TimePoint now)
{
    const double age = toSeconds(now - backend.lateAt);
    return std::min(LargestLateness, backend.lateSeconds * std::exp(-age / LatenessTrustSeconds));
}

void BackendPool::startDelaySeen(const BackendId &id, Duration delay, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    Service &service = m_services[backend->record.service];
    const double late = std::max(0.0, toSeconds(delay) - service.startDelaySeconds - UsualLateness);
    backend->lateSeconds += LatenessWeight * (late - backend->lateSeconds);
    backend->lateAt = now;
    const double seconds = std::clamp(toSeconds(delay), 0.0, LongestStartDelay);
    service.startDelaySeconds += StartDelayWeight * (seconds - service.startDelaySeconds);
}

void BackendPool::finishedWaiting(const BackendId &id, RequestUrgency urgency)
{
    if (Backend *backend = find(id))
        stopWaiting(*backend, urgency);
}

void BackendPool::finished(const BackendId &id, AttemptEnd end, Duration held, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    if (backend->own > 0)
        --backend->own;
    switch (end) {
    case AttemptEnd::Abandoned:
        return;
    case AttemptEnd::Complete: {
        Service &service = m_services[backend->record.service];
        const double seconds = toSeconds(held) + service.startDelaySeconds;
        service.holdSeconds =
                service.holdSeconds > 0
                        ? service.holdSeconds + HoldWeight * (seconds - service.holdSeconds)
                        : seconds;
        backend->failures = 0;
        backend->rejections = 0;
        backend->failureShare *= 1 - FailureWeight;
        return;
    }
    case AttemptEnd::Failed:
        backend->failureShare += FailureWeight * (1 - backend->failureShare);
        return;
    case AttemptEnd::Rejected:
        backend->avoidUntil = now + rejectionPause(++backend->rejections);
        return;
    case AttemptEnd::OtherProcess:
        backend->replaced = true;
        return;
    case AttemptEnd::Unreachable:
    case AttemptEnd::Broken:
    case AttemptEnd::Silent:
        ++backend->failures;
        backend->failureShare += FailureWeight * (1 - backend->failureShare);
        backend->avoidUntil = now + avoidance(backend->failures);
        return;
    }
}

void BackendPool::loadStated(const BackendId &id, const BackendLoad &load, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    backend->statedSlots = load.slots;
    backend->foreign = std::max(0.0, static_cast<double>(load.running) + load.waiting
                                             - static_cast<double>(backend->own));
    backend->loadAt = now;
}

std::uint32_t BackendPool::inProgress(const BackendId &id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? 0 : it->second.own;
}

} // namespace godwit
