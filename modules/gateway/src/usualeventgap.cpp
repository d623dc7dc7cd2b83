#include <godwit/gateway/usualeventgap.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

/// Relative change of the median with each gap. Large steps find the median after the first gaps;
/// the smallest one bounds how much the gaps of a single backend server can move it.
constexpr double FirstStep = 1;
constexpr double MinStep = 0.01;
/// Number of gaps from which the median of a range can be compared with that of another one.
constexpr std::uint32_t MinCount = 16;

std::size_t rangeOf(double utilization, std::size_t count)
{
    const double scaled = std::clamp(utilization, 0.0, 1.0) * static_cast<double>(count);
    return std::min(static_cast<std::size_t>(scaled), count - 1);
}

} // namespace

void UsualEventGap::record(Duration gap, double utilization, double factor)
{
    const double seconds = toSeconds(gap) / factor;
    if (seconds <= 0)
        return;
    Range &range = m_ranges[rangeOf(utilization, m_ranges.size())];
    if (range.count++ == 0) {
        range.seconds = seconds;
        return;
    }
    const double step = std::max(MinStep, FirstStep / range.count);
    // No step goes beyond the gap itself, so that equal gaps give exactly their median.
    range.seconds = seconds > range.seconds ? std::min(seconds, range.seconds * (1 + step))
                                            : std::max(seconds, range.seconds / (1 + step));
}

Duration UsualEventGap::at(double utilization) const
{
    const std::size_t own = rangeOf(utilization, m_ranges.size());
    double seconds = m_ranges[own].seconds;
    for (std::size_t i = own; seconds <= 0 && i > 0; --i)
        seconds = m_ranges[i - 1].seconds;
    // A server with fewer requests is not slower for that. Slow ones get few requests, so that the
    // lower ranges may know no others.
    for (std::size_t i = own + 1; i < m_ranges.size(); ++i) {
        const Range &busier = m_ranges[i];
        if (seconds <= 0 || (busier.count >= MinCount && busier.seconds < seconds))
            seconds = busier.seconds;
    }
    return fromSeconds(seconds);
}

} // namespace godwit
