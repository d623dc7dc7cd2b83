#pragma once

#include <godwit/base/time.h>

namespace godwit::standin {

/// Rate limiter shared by all callers. The unit of the amounts is up to the caller.
class TokenBucket
{
public:
    /// Returns whether \a amount may pass now, and consumes it if so. The burst limit is the amount
    /// of one second.
    bool take(double amount, double ratePerSecond, TimePoint now);

    /// Reserves \a amount and returns the time to wait before using it.
    Duration reserve(double amount, double ratePerSecond, TimePoint now);

private:
    TimePoint m_busyUntil{}; ///< Time at which all granted amounts have passed.
};

} // namespace godwit::standin
