#include <godwit/gateway/queueposition.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace godwit {

namespace {

/// Weight of the newest request in the moving averages of the shares.
constexpr double NewestWeight = 0.02;

/// Backend servers treat priorities beyond the range like the least urgent one.
std::size_t indexOf(std::uint32_t priority)
{
    return std::min(priority, LeastUrgentPriority);
}

/// Sum of the values for \a priority and the more urgent ones.
template <typename Values>
auto sumUpTo(const Values &values, std::uint32_t priority)
{
    const auto end = values.begin() + static_cast<std::ptrdiff_t>(indexOf(priority)) + 1;
    return std::accumulate(values.begin(), end, typename Values::value_type{});
}

} // namespace

void QueuedRequests::add(const QueuePosition &position)
{
    ++m_counts[indexOf(position.effectivePriority())];
    ++m_count;
    m_lateCount += position.urgency == RequestUrgency::Late;
}

bool QueuedRequests::remove(const QueuePosition &position)
{
    std::uint32_t &count = m_counts[indexOf(position.effectivePriority())];
    if (count == 0)
        return false;
    --count;
    --m_count;
    if (position.urgency == RequestUrgency::Late && m_lateCount > 0)
        --m_lateCount;
    return true;
}

double QueuedRequests::shareAhead(const QueuePosition &position) const
{
    return m_count == 0
                   ? 1
                   : static_cast<double>(sumUpTo(m_counts, position.effectivePriority())) / m_count;
}

void PriorityMix::record(const QueuedRequests &queued)
{
    if (queued.m_count == 0)
        return;
    const double weight = std::exchange(m_isEmpty, false) ? 1 : NewestWeight;
    for (std::size_t i = 0; i < m_shares.size(); ++i) {
        const double newest = static_cast<double>(queued.m_counts[i]) / queued.m_count;
        m_shares[i] += weight * (newest - m_shares[i]);
    }
}

double PriorityMix::shareAhead(const QueuePosition &position) const
{
    // The sum of all shares is 1 but for rounding errors.
    return m_isEmpty ? 1 : std::min(1.0, sumUpTo(m_shares, position.effectivePriority()));
}

void AttemptMix::record(const QueuePosition &position)
{
    const double weight = std::exchange(m_isEmpty, false) ? 1 : NewestWeight;
    for (double &share : m_shares)
        share *= 1 - weight;
    m_shares[indexOf(position.effectivePriority())] += weight;
}

double AttemptMix::shareOvertaking(const QueuePosition &position) const
{
    const std::uint32_t priority = position.effectivePriority();
    return priority > 0 ? sumUpTo(m_shares, priority - 1) : 0;
}

} // namespace godwit
