#include "refusallog.h"

namespace godwit {

void RefusalLog::add(Refusal refusal)
{
    const std::lock_guard lock(m_mutex);
    m_refusals.push_back(std::move(refusal));
    if (m_refusals.size() > Capacity)
        m_refusals.pop_front();
}

std::vector<Refusal> RefusalLog::latest() const
{
    const std::lock_guard lock(m_mutex);
    return {m_refusals.begin(), m_refusals.end()};
}

} // namespace godwit
