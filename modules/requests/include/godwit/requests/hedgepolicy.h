#pragma once

#include <godwit/base/time.h>
#include <godwit/requests/retrybudget.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace godwit {

/// Decides when a second attempt of a slow request is started beside the first. RequestTracker
/// takes the response from the attempt that delivers first and withdraws the other.
class HedgePolicy
{
public:
    static constexpr double Quantile = 0.95;
    static constexpr std::size_t SampleWindow = 256;
    /// Below this many samples the quantile is not meaningful and nothing is hedged.
    static constexpr std::size_t MinimumSamples = 64;
    static constexpr Duration MinimumDelay = std::chrono::milliseconds(20);

    /// Time from the start of an attempt to its first bytes.
    void observe(Duration timeToFirstBytes);

    /// When a request whose only attempt was sent at \a startedAt and has delivered nothing should
    /// be hedged. Nothing for requests that are not idempotent, or whose deadline comes first.
    std::optional<TimePoint> hedgeTime(bool isIdempotent, TimePoint sentAt,
                                       TimePoint deadline) const;

    /// Called at the time from hedgeAt(); the hedge counts as a retry.
    static bool tryAcquire(RetryBudget &budget) { return budget.tryAcquire(); }

private:
    std::array<Duration, SampleWindow> m_samples{};
    std::size_t m_sampleCount = 0;
    std::optional<Duration> m_delay;
};

} // namespace godwit
