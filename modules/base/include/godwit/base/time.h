#pragma once

#include <chrono>
#include <cstdint>

namespace godwit {

/// Time span in microseconds.
using Duration = std::chrono::microseconds;

/// Monotonic clock. Modules that contain decision logic do not call now(); they receive the time as
/// an argument, so that tests can run in virtual time.
struct MonotonicClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        const auto sinceEpoch = std::chrono::steady_clock::now().time_since_epoch();
        return time_point(std::chrono::duration_cast<duration>(sinceEpoch));
    }
};

/// Time point of the monotonic clock.
using TimePoint = MonotonicClock::time_point;

/// Converts \a span to seconds.
constexpr double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// Converts \a span to milliseconds, rounded towards zero.
constexpr std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/// Converts \a seconds to a Duration, rounded towards zero.
constexpr Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace godwit
