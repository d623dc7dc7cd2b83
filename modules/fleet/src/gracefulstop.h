#pragma once

#include <godwit/gateway/shutdowntimes.h>
#include <godwit/ports/scheduler.h>

#include <cstddef>
#include <functional>
#include <memory>

namespace godwit {

/// Callbacks into the process that GracefulStop stops.
struct GracefulStopHandlers
{
    std::function<void(const ShutdownTimes &)> limitRequests; ///< Called when the stop begins.
    std::function<void()> closeAfterReplies;      ///< Closes each connection after its next reply.
    std::function<void()> stopAccepting;          ///< Refuses new connections.
    std::function<void()> rejectIncomplete;       ///< Rejects requests that are still arriving.
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
    /// Requests that arrive after it are late: the load balancer sends none by then, and they come
    /// on connections that clients have kept. Sooner than the deregistration delay, because a busy
    /// process notices the signal late.
    static constexpr Duration LateDelay = std::chrono::milliseconds(2500);
    /// Time before the end that is the deadline of all requests. It includes the time that engines
    /// get beyond the deadline, and the time to write the answers.
    static constexpr Duration AnswerMargin = std::chrono::milliseconds(300);
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
    std::unique_ptr<Timer> m_rejectTimer;
};

} // namespace godwit
