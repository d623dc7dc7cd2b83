#include "peertable.h"

#include <algorithm>

namespace godwit {

namespace {

constexpr double RateGain = 0.3; // weight of the newest chunk in the moving average of the rate
constexpr double GoodChunkCredit = 0.2;
constexpr double ExclusionScore = 4; // a link that corrupts 5% stays below, a faulty peer does not
constexpr std::uint32_t MaxDoublings = 16;

} // namespace

Duration jittered(Duration span, Random &random)
{
    return fromSeconds(toSeconds(span) * (0.75 + 0.5 * random.uniform()));
}

Duration backoff(Duration base, Duration limit, std::uint32_t failures, Random &random)
{
    const std::uint32_t doublings = std::min(std::max(failures, 1U) - 1, MaxDoublings);
    return jittered(std::min(base * (1 << doublings), limit), random);
}

void PeerTable::recordSuccess(SourceState &source, std::uint32_t bytes, Duration elapsed)
{
    const double rate = bytes / std::max(toSeconds(elapsed), 1e-6);
    source.rate = source.rate == 0 ? rate : source.rate + RateGain * (rate - source.rate);
    source.corruptionScore = std::max(0.0, source.corruptionScore - GoodChunkCredit);
    source.failures = 0;
}

void PeerTable::recordFailure(SourceState &source, TimePoint now, Random &random)
{
    ++source.failures;
    source.rate /= 2;
    source.availableAt = std::max(
            source.availableAt,
            now + backoff(m_settings.peerBackoff, m_settings.maxBackoff, source.failures, random));
}

bool PeerTable::recordBadChunk(SourceState &source, TimePoint now, Random &random)
{
    source.corruptionScore += 1;
    if (source.corruptionScore < ExclusionScore)
        return false;
    source.corruptionScore = 0;
    source.availableAt = now + jittered(m_settings.exclusionTime, random);
    return true;
}

} // namespace godwit
