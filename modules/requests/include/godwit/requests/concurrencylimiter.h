#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace godwit {

/// Number of requests that an entry keeps at each backend server. The limit follows the latency:
/// while the server answers about as fast as it can, the limit grows; when requests queue inside
/// the server, or it refuses them, the limit shrinks.
class ConcurrencyLimiter
{
public:
    enum class ReleaseReason {
        Complete,
        Refused,   ///< The server had no room.
        Abandoned, ///< Says nothing about the server.
    };

    static constexpr double InitialLimit = 8.0;
    static constexpr double MinimumLimit = 1.0;
    static constexpr double MaximumLimit = 1'024.0;
    /// Batching makes latency grow with load before requests queue; more than this is queueing.
    static constexpr double LatencyTolerance = 2.0;
    /// After this time the best latency is measured anew, because the mix of requests changes.
    static constexpr Duration BaselineLifetime = std::chrono::seconds(30);

    /// Takes a place at \a backend, or returns false if there is none.
    bool tryAcquire(const BackendId &backend);

    /// Gives the place back. \a latency is the time to the first bytes for \a end Complete.
    void release(const BackendId &backend, ReleaseReason reason, Duration latency, TimePoint now);

    void remove(const BackendId &backend) { m_servers.erase(backend); }

    std::size_t limit(const BackendId &backend) const;
    std::size_t inUse(const BackendId &backend) const;

private:
    struct Server
    {
        double limit = InitialLimit;
        std::size_t inUseCount = 0;
        bool limitReached = false;
        Duration minLatency = Duration::max();
        Duration recentMinLatency = Duration::max();
        TimePoint baselineSetAt;
        Duration latencySum{0};
        std::size_t sampleCount = 0;
    };

    static void observe(Server &server, Duration latency, TimePoint now);
    static void adjust(Server &server);

    std::unordered_map<BackendId, Server> m_servers;
};

} // namespace godwit
