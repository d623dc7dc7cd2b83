#include <godwit/requests/concurrencylimiter.h>

#include <algorithm>
#include <cmath>

namespace godwit {

bool ConcurrencyLimiter::tryAcquire(const BackendId &backend)
{
    Server &server = m_servers[backend];
    if (static_cast<double>(server.inUseCount) + 1.0 > server.limit) {
        server.limitReached = true;
        return false;
    }
    ++server.inUseCount;
    return true;
}

void ConcurrencyLimiter::release(const BackendId &backend, ReleaseReason reason, Duration latency,
                                 TimePoint now)
{
    const auto it = m_servers.find(backend);
    if (it == m_servers.end() || it->second.inUseCount == 0)
        return;
    Server &server = it->second;
    --server.inUseCount;
    if (reason == ReleaseReason::Refused)
        server.limit = std::max(MinimumLimit, server.limit * 0.9);
    else if (reason == ReleaseReason::Complete)
        observe(server, latency, now);
}

std::size_t ConcurrencyLimiter::limit(const BackendId &backend) const
{
    const auto it = m_servers.find(backend);
    return static_cast<std::size_t>(it == m_servers.end() ? InitialLimit : it->second.limit);
}

std::size_t ConcurrencyLimiter::inUse(const BackendId &backend) const
{
    const auto it = m_servers.find(backend);
    return it == m_servers.end() ? 0 : it->second.inUseCount;
}

void ConcurrencyLimiter::observe(Server &server, Duration latency, TimePoint now)
{
    if (now >= server.baselineSetAt + BaselineLifetime) {
        // The minimum of the last period replaces the old one, which may no longer be reachable.
        server.minLatency = server.recentMinLatency;
        server.recentMinLatency = Duration::max();
        server.baselineSetAt = now;
    }
    server.minLatency = std::min(server.minLatency, latency);
    server.recentMinLatency = std::min(server.recentMinLatency, latency);
    server.latencySum += latency;
    // Adjusts the limit once per round of requests, so that the effect of the last adjustment is
    // visible.
    if (++server.sampleCount >= static_cast<std::size_t>(server.limit))
        adjust(server);
}

void ConcurrencyLimiter::adjust(Server &server)
{
    const double mean = static_cast<double>(server.latencySum.count())
                        / static_cast<double>(server.sampleCount);
    const double minLatency = std::max(1.0, static_cast<double>(server.minLatency.count()));
    const double gradient =
            std::clamp(LatencyTolerance * minLatency / std::max(mean, 1.0), 0.5, 1.0);
    // The steps are small: with the full gradient, or with steps of the square root of the limit,
    // the limit oscillates around the capacity of the server and leaves a tenth of it idle.
    // Measured with requests-overload.
    if (gradient < 1.0)
        server.limit = std::max(MinimumLimit, server.limit * (0.8 + 0.2 * gradient));
    else if (server.limitReached)
        server.limit =
                std::min(MaximumLimit, server.limit + std::max(1.0, std::sqrt(server.limit) / 4.0));
    server.limitReached = false;
    server.latencySum = Duration(0);
    server.sampleCount = 0;
}

} // namespace godwit
