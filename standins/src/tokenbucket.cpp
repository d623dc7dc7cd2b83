#include <godwit/standin/tokenbucket.h>

#include <algorithm>

namespace godwit::standin {

bool TokenBucket::take(double amount, double ratePerSecond, TimePoint now)
{
    if (ratePerSecond <= 0)
        return false;
    const TimePoint next = std::max(m_busyUntil, now) + fromSeconds(amount / ratePerSecond);
    if (next - now > std::chrono::seconds(1))
        return false;
    m_busyUntil = next;
    return true;
}

Duration TokenBucket::reserve(double amount, double ratePerSecond, TimePoint now)
{
    m_busyUntil = std::max(m_busyUntil, now) + fromSeconds(amount / ratePerSecond);
    return m_busyUntil - now;
}

} // namespace godwit::standin
