#include <godwit/requests/shutdownplan.h>

#include <algorithm>

namespace godwit {

bool ShutdownPlan::tryAccept(const RequestId &request)
{
    if (m_exitDeadline)
        return false;
    m_inProgress.insert(request);
    return true;
}

void ShutdownPlan::begin(Duration gracePeriod, TimePoint now)
{
    m_exitDeadline = std::min(m_exitDeadline.value_or(TimePoint::max()), now + gracePeriod);
}

ShutdownPlan::Phase ShutdownPlan::phase(TimePoint now) const
{
    if (!m_exitDeadline)
        return Phase::Serving;
    return m_inProgress.empty() || now >= *m_exitDeadline ? Phase::Finished : Phase::Draining;
}

} // namespace godwit
