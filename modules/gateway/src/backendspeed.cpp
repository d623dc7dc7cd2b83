// The part of BackendPool that takes the speed of the backend servers into account.
#include <godwit/gateway/backendpool.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace godwit {

namespace {

/// Penalty per unit of the factor above 1, in seconds.
constexpr double SlownessPenaltySeconds = 0.15;
constexpr double MaxSlownessPenaltySeconds = 0.4;
/// Average gap, in multiples of the median of all backend servers, up to which there is no penalty.
constexpr double ToleratedEventGapRatio = 1.5;
/// Time constant with which a measured gap decays, so that a backend server that was slow is tried
/// again.
constexpr double EventGapDecaySeconds = 3.0;
/// Penalty for a request beyond the comfortable slots, in seconds. It exceeds the penalties for
/// utilization and zone, so that other backend servers fill up first, and is far below the one for
/// failures.
constexpr double DiscomfortPenaltySeconds = 0.5;

} // namespace

double BackendPool::medianEventGap(const std::vector<const Backend *> &backends)
{
    std::vector<double> gaps;
    for (const Backend *it : backends) {
        if (it->eventGapSeconds > 0)
            gaps.push_back(it->eventGapSeconds);
    }
    if (gaps.empty())
        return 0;
    const auto middle = gaps.begin() + static_cast<std::ptrdiff_t>(gaps.size() / 2);
    std::ranges::nth_element(gaps, middle);
    return *middle;
}

double BackendPool::eventGapPenalty(const Backend &backend, double medianGap, TimePoint now)
{
    if (medianGap <= 0 || backend.eventGapSeconds <= medianGap * ToleratedEventGapRatio)
        return 0;
    const double weight = std::exp(-toSeconds(now - backend.eventGapAt) / EventGapDecaySeconds);
    const double excess = backend.eventGapSeconds / medianGap - ToleratedEventGapRatio;
    return weight * std::min(MaxSlownessPenaltySeconds, excess * SlownessPenaltySeconds);
}

double BackendPool::currentFactor(const Backend &backend, TimePoint now)
{
    const bool hasStreams = backend.localRequests > backend.queued.count();
    const bool isQuiet = hasStreams && backend.activeAt != TimePoint();
    return backend.speed.factor(now, isQuiet ? now - backend.activeAt : Duration::zero());
}

double BackendPool::slownessPenalty(double factor)
{
    return std::min(MaxSlownessPenaltySeconds, (factor - 1) * SlownessPenaltySeconds);
}

double BackendPool::discomfortPenalty(const Backend &backend, double load, double slots,
                                      TimePoint now)
{
    return load + 1 > backend.speed.comfortableSlots(slots, now) ? DiscomfortPenaltySeconds : 0;
}

void BackendPool::setEventGapLimits(const std::vector<Route> &routes)
{
    for (auto &[name, service] : m_services)
        service.maxEventGap = Duration::zero();
    for (const Route &route : routes) {
        if (route.maxEventGap <= Duration::zero())
            continue;
        for (const RouteTarget &target : route.targets) {
            Duration &limit = m_services[target.service].maxEventGap;
            limit = limit > Duration::zero() ? std::min(limit, route.maxEventGap)
                                             : route.maxEventGap;
        }
    }
}

double BackendPool::speedFactor(const BackendId &id, TimePoint now) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? 1 : currentFactor(it->second, now);
}

void BackendPool::updateSpeed(Backend &backend, Duration gap, TimePoint now)
{
    Service &service = m_services[backend.record.service];
    const auto &models = backend.record.models;
    UsualEventGap &usual =
            service.usualEventGaps[models.empty() ? ModelId() : models.front().model];
    const double slots = slotCount(backend, &service);
    const double load = estimateRequests(backend, service.meanRemoteRequests, now);
    // Measured factors are relative to the usual gap and must not determine it. False reports of a
    // few backend servers do not move the median.
    usual.record(gap, load / slots, backend.speed.reportedMean(now));
    const bool wasHeld = backend.speed.isHeld();
    backend.speed.recordEventGap({.gap = gap,
                                  .usual = usual.at(load / slots),
                                  .usualIdle = usual.at(0),
                                  .load = load,
                                  .slots = slots,
                                  .max = service.maxEventGap},
                                 now);
    if (backend.speed.isHeld() && !wasHeld)
        m_holdChanges.push_back(
                {backend.record.id, true, backend.speed.comfortableSlots(slots, now)});
}

void BackendPool::updateHolds(TimePoint now)
{
    for (auto &[id, backend] : m_backends) {
        if (!backend.speed.isHeld())
            continue;
        const double slots = slotCount(backend, findService(backend.record.service));
        if (backend.speed.releaseIfRecovered(slots, now))
            m_holdChanges.push_back({id, false, slots});
    }
}

void BackendPool::resetSpeed(Backend &backend)
{
    if (backend.speed.isHeld()) {
        const double slots = slotCount(backend, findService(backend.record.service));
        m_holdChanges.push_back({backend.record.id, false, slots});
    }
    backend.speed = {};
}

} // namespace godwit
