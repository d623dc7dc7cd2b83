#pragma once

#include <godwit/base/time.h>

#include <algorithm>
#include <chrono>

namespace godwit {

/// A client that retries sooner finds the same queues, and most clients retry only once.
inline constexpr Duration MinRetryAfter = std::chrono::milliseconds(1000);
/// Limit of Retry-After as a fraction of the remaining time, before jitter, which at most doubles
/// it. Clients ignore a Retry-After of more than a third of the time that they have left.
inline constexpr double BaseRetryAfterShare = 0.15;

/// Shortest Retry-After that a client with \a remaining time is told when no backend server has a
/// free slot.
inline Duration shortestRetryAfter(Duration remaining)
{
    return std::min(MinRetryAfter,
                    std::chrono::duration_cast<Duration>(BaseRetryAfterShare * remaining));
}

} // namespace godwit
