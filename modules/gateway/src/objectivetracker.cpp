#include <godwit/gateway/objectivetracker.h>

namespace godwit {

namespace {

/// Weight of the newest request in the moving average.
constexpr double NewestWeight = 0.01;
/// Share from which an objective counts as common.
constexpr double MinShare = 0.05;
/// Objectives with a smaller share are removed.
constexpr double EvictionShare = 0.001;

} // namespace

void ObjectiveTracker::recordRequest(Duration objective)
{
    const double weight = m_shares.empty() ? 1 : NewestWeight;
    for (auto &[other, share] : m_shares)
        share *= 1 - weight;
    m_shares[objective] += weight;
    std::erase_if(m_shares, [](const auto &entry) { return entry.second < EvictionShare; });
}

Duration ObjectiveTracker::shortest() const
{
    for (const auto &[objective, share] : m_shares) {
        if (share >= MinShare)
            return objective;
    }
    return Duration::max();
}

} // namespace godwit
