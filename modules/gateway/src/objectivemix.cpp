#include <godwit/gateway/objectivemix.h>

namespace godwit {

namespace {

/// Weight of the newest request.
constexpr double NewestWeight = 0.01;
constexpr double FairShare = 0.05;
constexpr double ForgottenShare = 0.001;

} // namespace

void ObjectiveMix::requested(Duration objective)
{
    const double weight = m_shares.empty() ? 1 : NewestWeight;
    for (auto &[other, share] : m_shares)
        share *= 1 - weight;
    m_shares[objective] += weight;
    std::erase_if(m_shares, [](const auto &entry) { return entry.second < ForgottenShare; });
}

Duration ObjectiveMix::shortest() const
{
    for (const auto &[objective, share] : m_shares) {
        if (share >= FairShare)
            return objective;
    }
    return Duration::max();
}

} // namespace godwit
