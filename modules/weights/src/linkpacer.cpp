#include <godwit/weights/linkpacer.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

// A transfer without a request for this long counts as idle and does not delay the others.
constexpr Duration IdleTimeout = std::chrono::milliseconds(50);

// Live traffic delays weights for at most this time; a larger debt would starve them after the end
// of a live burst.
constexpr Duration MaxDebt = std::chrono::seconds(1);

// Credit in quanta that accumulates between two calls; a live message waits behind at most this
// much.
constexpr double BurstQuanta = 2;

constexpr double DecreaseFactor = 0.8;
constexpr double IncreaseStep = 0.001;
constexpr double MinRateFactor = 0.02;

} // namespace

void LinkPacer::setWeight(const Digest &transfer, std::uint32_t weight)
{
    const auto [it, added] = m_transfers.try_emplace(transfer);
    it->second.weight = std::max(weight, 1U);
    if (!added || m_transfers.size() == 1)
        return;
    // A new transfer starts at the smallest value of the others. Starting at 0, it would have the
    // link to itself until it has caught up.
    double least = -1;
    for (const auto &[id, other] : m_transfers) {
        if (id != transfer)
            least = least < 0 ? other.served : std::min(least, other.served);
    }
    it->second.served = least;
}

void LinkPacer::refill(TimePoint now)
{
    if (!m_started) {
        m_started = true;
        m_refilledAt = now;
    }
    if (now <= m_refilledAt)
        return;
    m_credit = std::min(m_credit + toSeconds(now - m_refilledAt) * rate(),
                        BurstQuanta * m_settings.quantum);
    m_refilledAt = now;
}

void LinkPacer::recordLiveTraffic(TimePoint now, std::uint64_t bytes)
{
    refill(now);
    // Weights get the fraction m_rateFactor of what live traffic leaves, but at least a minimum.
    const double charged =
            static_cast<double>(bytes) * (1 - m_settings.minRateFraction) * m_rateFactor;
    m_credit = std::max(m_credit - charged, -rate() * toSeconds(MaxDebt));
}

void LinkPacer::recordQueueingDelay(TimePoint now, Duration queueing)
{
    // Uses the minimum of an interval, as a single packet may also wait behind live messages.
    m_minDelay = std::min(m_minDelay.value_or(queueing), queueing);
    if (now < m_adjustedAt + m_settings.adjustInterval)
        return;
    refill(now);
    m_adjustedAt = now;
    queueing = *std::exchange(m_minDelay, std::nullopt);
    m_rateFactor = queueing > m_settings.delayTarget
                           ? std::max(m_rateFactor * DecreaseFactor, MinRateFactor)
                           : std::min(m_rateFactor + IncreaseStep, 1.0);
}

double LinkPacer::minServed(TimePoint now) const
{
    double least = -1;
    for (const auto &[id, transfer] : m_transfers) {
        if (now <= transfer.lastRequest + IdleTimeout)
            least = least < 0 ? transfer.served : std::min(least, transfer.served);
    }
    return least;
}

std::uint32_t LinkPacer::acquire(TimePoint now, const Digest &transfer, std::uint32_t wanted)
{
    const auto it = m_transfers.find(transfer);
    if (it == m_transfers.end() || wanted == 0)
        return 0;
    refill(now);
    Transfer &requester = it->second;
    const double least = minServed(now);
    if (now > requester.lastRequest + IdleTimeout)
        requester.served = std::max(requester.served, least); // no credit for idle time
    requester.lastRequest = now;
    const std::uint32_t granted = std::min(wanted, m_settings.quantum);
    const double lead = static_cast<double>(m_settings.quantum) / requester.weight;
    if (m_credit < granted || (least >= 0 && requester.served > least + lead))
        return 0;
    m_credit -= granted;
    requester.served += static_cast<double>(granted) / requester.weight;
    return granted;
}

void LinkPacer::charge(TimePoint now, std::uint32_t bytes)
{
    refill(now);
    m_credit -= bytes;
}

bool LinkPacer::isInDebt(TimePoint now)
{
    refill(now);
    return m_credit < 0;
}

void LinkPacer::setBytesPerSecond(TimePoint now, double bytesPerSecond)
{
    refill(now);
    m_settings.bytesPerSecond = bytesPerSecond;
}

TimePoint LinkPacer::nextGrant(TimePoint now) const
{
    const double missing = m_settings.quantum - m_credit;
    const double seconds = std::clamp(missing / rate(), 1e-4, toSeconds(IdleTimeout));
    return now + fromSeconds(seconds);
}

} // namespace godwit
