#pragma once

#include <godwit/ports/scheduler.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit {

/// What GracefulStop asks of the process that it ends.
struct GracefulStopHandlers
{
    std::function<void()> closeAfterReplies;      ///< Connections are no longer kept for reuse.
    std::function<void()> stopAccepting;          ///< No new connections.
    std::function<std::size_t()> openConnections; ///< From callers.
    std::function<std::size_t()> requestsInProgress;
    std::function<void(std::size_t)> onStopped; ///< With the number of requests left unanswered.
};

/// Ends the service of an entry process without loss: the balancer notices first, then requests
/// that have arrived are answered.
class GracefulStop
{
public:
    /// The balancer asks once a second and takes a process out after two misses; requests that it
    /// still sends meanwhile are served.
    static constexpr Duration BalancerNotice = std::chrono::milliseconds(3000);
    static constexpr Duration Poll = std::chrono::milliseconds(50);

    GracefulStop(Scheduler &scheduler, GracefulStopHandlers handlers);

    /// Ends after \a limit at the latest.
    void start(Duration limit);

private:
    void poll();

    Scheduler &m_scheduler;
    GracefulStopHandlers m_handlers;
    TimePoint m_limit;
    std::unique_ptr<Timer> m_timer;
};

} // namespace godwit
