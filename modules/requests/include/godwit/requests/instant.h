#pragma once

#include <godwit/base/time.h>

#include <chrono>

namespace godwit {

/// Wall-clock time in microseconds since 1970 UTC. Used only for timestamps that callers or other
/// machines wrote; every comparison adds an allowance for clock skew.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// Simultaneous reading of the monotonic clock and the wall clock of a process.
struct Instant
{
    TimePoint now;
    WallTime wall;
};

} // namespace godwit
