#include <godwit/requests/hedgepolicy.h>

#include <algorithm>

namespace godwit {

namespace {

/// Number of samples after which the quantile is recomputed.
constexpr std::size_t UpdateInterval = 32;

} // namespace

void HedgePolicy::observe(Duration timeToFirstBytes)
{
    m_samples[m_sampleCount++ % SampleWindow] = timeToFirstBytes;
    if (m_sampleCount < MinimumSamples || m_sampleCount % UpdateInterval != 0)
        return;
    auto sorted = m_samples;
    const std::size_t count = std::min(m_sampleCount, SampleWindow);
    const auto quantile =
            sorted.begin() + static_cast<std::ptrdiff_t>(static_cast<double>(count) * Quantile);
    std::nth_element(sorted.begin(), quantile, sorted.begin() + static_cast<std::ptrdiff_t>(count));
    m_delay = std::max(*quantile, MinimumDelay);
}

std::optional<TimePoint> HedgePolicy::hedgeTime(bool isIdempotent, TimePoint sentAt,
                                                TimePoint deadline) const
{
    if (!isIdempotent || !m_delay || sentAt + *m_delay >= deadline)
        return {};
    return sentAt + *m_delay;
}

} // namespace godwit
