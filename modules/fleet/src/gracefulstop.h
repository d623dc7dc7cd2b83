#pragma once

#include <godwit/ports/scheduler.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit {

/// Callbacks into the process that GracefulStop stops.
struct GracefulStopHandlers
{
    std::function<void()> closeAfterReplies;      ///< Closes each connection after its next reply.
    std::function<void()> stopAccepting;          ///< Refuses new connections.
    std::function<std::size_t()> openConnections; ///< Connections from clients.
    std::function<std::size_t()> requestsInProgress;
    std::function<void(std::size_t)> onStopped; ///< Receives the number of unanswered requests.
};

/// Stops an entry process without losing requests: waits until the load balancer has taken the
/// process out of rotation, then until all received requests have been answered.
class GracefulStop
{
public:
    /// The load balancer probes once a second and takes a process out of rotation after two failed
    /// probes; requests that it sends until then are served.
    static constexpr Duration DeregistrationDelay = std::chrono::milliseconds(3000);
    static constexpr Duration PollInterval = std::chrono::milliseconds(50);

    GracefulStop(Scheduler &scheduler, GracefulStopHandlers handlers);

    /// Begins the stop, which completes after \a limit at the latest.
    void start(Duration limit);

private:
    void poll();

    Scheduler &m_scheduler;
    GracefulStopHandlers m_handlers;
    TimePoint m_deadline;
    std::unique_ptr<Timer> m_timer;
};

} // namespace godwit
