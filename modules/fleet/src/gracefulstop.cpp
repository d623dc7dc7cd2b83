#include "gracefulstop.h"

namespace godwit {

GracefulStop::GracefulStop(Scheduler &scheduler, GracefulStopHandlers handlers)
    : m_scheduler(scheduler)
    , m_handlers(std::move(handlers))
{}

void GracefulStop::start(Duration limit)
{
    m_limit = m_scheduler.now() + limit;
    m_handlers.closeAfterReplies();
    m_timer = m_scheduler.after(BalancerNotice, [this] {
        m_handlers.stopAccepting();
        poll();
    });
}

void GracefulStop::poll()
{
    const std::size_t left = m_handlers.requestsInProgress();
    // An open connection may be about to deliver a request that was on its way, or still have a
    // reply to write.
    const bool busy = left > 0 || m_handlers.openConnections() > 0;
    if (busy && m_scheduler.now() < m_limit)
        m_timer = m_scheduler.after(Poll, [this] { poll(); });
    else
        m_handlers.onStopped(left);
}

} // namespace godwit
