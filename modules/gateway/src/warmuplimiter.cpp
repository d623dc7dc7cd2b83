#include <godwit/gateway/warmuplimiter.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwit {

namespace {

/// The predecessor of a process that has just started may have sent its share in the second before.
constexpr Duration StartDelay = std::chrono::seconds(1);
/// The end of a cold period is kept for this long. Exceeds the time for which the load of a server
/// that has just warmed up is estimated in another way (BackendPool).
constexpr Duration WarmRetention = std::chrono::seconds(20);
/// Limits the memory for one backend server if the configured rate is absurd.
constexpr double MaxShare = 100'000;

} // namespace

WarmupLimiter::WarmupLimiter(const WarmupBounds &bounds, TimePoint startedAt)
    : m_bounds(bounds)
    , m_startedAt(startedAt)
    , m_time(startedAt)
    , m_advancedAt(startedAt)
{}

std::size_t WarmupLimiter::shareOf(const ServiceDescription &service) const
{
    const double bound = service.warmupPerSecond * m_bounds.overage + m_bounds.slack;
    const double processes = std::max(1.0, static_cast<double>(m_bounds.entryProcesses));
    return static_cast<std::size_t>(std::clamp(std::floor(bound / processes), 0.0, MaxShare));
}

void WarmupLimiter::setServices(const std::vector<ServiceDescription> &services, TimePoint now)
{
    const bool isFirst = !std::exchange(m_isConfigured, true);
    const auto earlier = std::exchange(m_limits, {});
    for (const ServiceDescription &it : services) {
        if (it.warmupPerSecond <= 0)
            continue;
        Limit limit{shareOf(it), it.coldPeriod, m_startedAt + StartDelay};
        const auto known = earlier.find(it.name);
        // No request was sent before the first configuration. Later, attempts were not counted, or
        // fewer of them are known than the share is now.
        if (known != earlier.end())
            limit.unknownUntil = known->second.unknownUntil;
        if (!isFirst && (known == earlier.end() || known->second.share < limit.share))
            limit.unknownUntil = std::max(limit.unknownUntil, now + Window);
        m_limits.emplace(it.name, limit);
    }
}

Duration WarmupLimiter::coldPeriod(const std::string &service) const
{
    const auto it = m_limits.find(service);
    return it == m_limits.end() ? Duration::zero() : it->second.coldPeriod;
}

void WarmupLimiter::advance(TimePoint now)
{
    m_time += std::clamp(now - m_advancedAt, Duration::zero(), MaxStep);
    m_advancedAt = std::max(m_advancedAt, now);
}

void WarmupLimiter::recordCold(const BackendId &id, Duration coldFor, TimePoint now)
{
    if (coldFor <= Duration::zero())
        return;
    auto &coldUntil = backendOf(id, now).coldUntil;
    coldUntil = std::max(coldUntil.value_or(now), now + coldFor);
    m_hasCold = true;
}

void WarmupLimiter::recordAttempt(const BackendId &id, const std::string &service, TimePoint now)
{
    const auto limit = m_limits.find(service);
    if (limit == m_limits.end())
        return;
    advance(now);
    std::deque<TimePoint> &attempts = backendOf(id, now).attempts;
    attempts.push_back(m_time);
    // Older ones limit nothing.
    while (attempts.size() > std::max<std::size_t>(1, limit->second.share)
           || attempts.front() + Window <= m_time)
        attempts.pop_front();
}

WarmupLimiter::Backend &WarmupLimiter::backendOf(const BackendId &id, TimePoint now)
{
    if (!m_backends.contains(id))
        std::erase_if(m_backends, [&](const auto &it) { return isForgettable(it.second, now); });
    return m_backends[id];
}

bool WarmupLimiter::isForgettable(const Backend &backend, TimePoint now) const
{
    return (!backend.coldUntil || *backend.coldUntil + WarmRetention <= now)
           && !backend.reportedCold
           && (backend.attempts.empty() || backend.attempts.back() + Window <= m_time);
}

std::optional<TimePoint>
WarmupLimiter::limitedUntil(const BackendId &id, const std::string &service, TimePoint now) const
{
    const auto limit = m_limits.find(service);
    const auto backend = m_backends.find(id);
    if (limit == m_limits.end() || backend == m_backends.end())
        return std::nullopt;
    const auto &[share, coldPeriod, unknownUntil] = limit->second;
    const auto &coldUntil = backend->second.coldUntil;
    if (!coldUntil || *coldUntil <= now)
        return std::nullopt;
    if (share == 0)
        return coldUntil;
    TimePoint until = unknownUntil;
    const std::deque<TimePoint> &attempts = backend->second.attempts;
    if (attempts.size() >= share)
        until = std::max(until, now + (attempts[attempts.size() - share] + Window - m_time));
    return until > now ? std::optional(std::min(until, *coldUntil)) : std::nullopt;
}

std::optional<TimePoint> WarmupLimiter::coldUntil(const BackendId &id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? std::nullopt : it->second.coldUntil;
}

std::size_t WarmupLimiter::coldCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_backends, [now](const auto &it) {
        return it.second.coldUntil && *it.second.coldUntil > now;
    }));
}

std::vector<WarmupChange> WarmupLimiter::takeChanges(TimePoint now)
{
    std::vector<WarmupChange> changes;
    m_hasCold = false;
    for (auto &[id, backend] : m_backends) {
        const bool isCold = backend.coldUntil && *backend.coldUntil > now;
        m_hasCold |= isCold;
        if (std::exchange(backend.reportedCold, isCold) != isCold)
            changes.push_back({id, isCold, isCold ? *backend.coldUntil - now : Duration::zero()});
    }
    return changes;
}

} // namespace godwit
