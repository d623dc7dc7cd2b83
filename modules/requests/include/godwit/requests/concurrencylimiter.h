#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <chrono>
#include <cstddef>
#include <unordered_map>

namespace godwit {

/// Adaptive limit on the number of requests that an entry process has in flight at each backend
/// server. The limit follows the latency: it grows while the server answers about as fast as it
/// can, and shrinks when requests queue inside the server or the server refuses them.
class ConcurrencyLimiter
{
public:
    enum class ReleaseReason {
        Complete,
        Refused,   ///< The server had no capacity.
        Abandoned, ///< Gives no information about the server.
    };

    static constexpr double InitialLimit = 8.0;
    static constexpr double MinimumLimit = 1.0;
    static constexpr double MaximumLimit = 1'024.0;
    /// Ratio of mean to minimum latency above which requests are assumed to queue. Batching in the
    /// server increases the latency with the load even before requests queue.
    static constexpr double LatencyTolerance = 2.0;
    /// The minimum latency is measured again after this time, because the mix of requests changes.
    static constexpr Duration BaselineLifetime = std::chrono::seconds(30);

    /// Reserves capacity for one request at \a backend. Returns false if the limit is reached.
    bool tryAcquire(const BackendId &backend);

    /// Releases the capacity of one request. \a latency is the time to the first bytes and is used
    /// only if \a reason is Complete.
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
