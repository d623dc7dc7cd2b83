#include "gracefulstop.h"

#include <algorithm>

namespace godwit {

GracefulStop::GracefulStop(Scheduler &scheduler, GracefulStopHandlers handlers)
    : m_scheduler(scheduler)
    , m_handlers(std::move(handlers))
{}

void GracefulStop::start(Duration limit)
{
    const TimePoint now = m_scheduler.now();
    m_deadline = now + limit;
    const TimePoint answerBy = m_deadline - AnswerMargin;
    m_handlers.limitRequests({std::min(now + LateDelay, answerBy), answerBy});
    m_handlers.closeAfterReplies();
    m_rejectTimer = m_scheduler.after(std::max(Duration::zero(), answerBy - now),
                                      [this] { m_handlers.rejectIncomplete(); });
    m_timer = m_scheduler.after(std::min(DeregistrationDelay, limit), [this] {
        m_handlers.stopAccepting();
        poll();
    });
}

void GracefulStop::poll()
{
    const std::size_t left = m_handlers.requestsInProgress();
    // An open connection may still receive a request that is in transit or have a reply to write.
    const bool busy = left > 0 || m_handlers.openConnections() > 0;
    if (busy && m_scheduler.now() < m_deadline)
        m_timer = m_scheduler.after(PollInterval, [this] { poll(); });
    else
        m_handlers.onStopped(left);
}

} // namespace godwit
