#pragma once

#include <godwit/base/time.h>
#include <godwit/requests/retrybudget.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <optional>

namespace godwit {

/// Decides when a slow request is hedged, that is, when a second attempt is started in parallel to
/// the first. RequestTracker takes the response from the attempt that delivers first and withdraws
/// the other.
class HedgePolicy
{
public:
    static constexpr double Quantile = 0.95;
    static constexpr std::size_t SampleWindow = 256;
    /// Nothing is hedged below this number of samples, because the quantile would not be
    /// meaningful.
    static constexpr std::size_t MinimumSamples = 64;
    static constexpr Duration MinimumDelay = std::chrono::milliseconds(20);

    /// Records the time from the start of an attempt to its first bytes.
    void observe(Duration timeToFirstBytes);

    /// Returns the time at which to hedge a request whose only attempt was sent at \a sentAt and
    /// has not delivered anything. Returns nothing for requests that are not idempotent or whose
    /// deadline is earlier.
    std::optional<TimePoint> hedgeTime(bool isIdempotent, TimePoint sentAt,
                                       TimePoint deadline) const;

    /// Called at the time returned by hedgeTime(). A hedged attempt is charged to the retry budget.
    static bool tryAcquire(RetryBudget &budget) { return budget.tryAcquire(); }

private:
    std::array<Duration, SampleWindow> m_samples{};
    std::size_t m_sampleCount = 0;
    std::optional<Duration> m_delay;
};

} // namespace godwit
