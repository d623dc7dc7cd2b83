#include <godwit/gateway/usualeventgap.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

/// Relative change of the median with each gap. Large steps find the median after the first gaps;
/// the smallest one bounds how much the gaps of a single backend server can move it.
constexpr double FirstStep = 1;
constexpr double MinStep = 0.01;

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
    const auto wanted = static_cast<int>(rangeOf(utilization, m_ranges.size()));
    const Range *nearest = nullptr;
    int nearestDistance = 0;
    for (std::size_t i = 0; i < m_ranges.size(); ++i) {
        const int distance = std::abs(static_cast<int>(i) - wanted);
        if (m_ranges[i].count > 0 && (!nearest || distance < nearestDistance)) {
            nearest = &m_ranges[i];
            nearestDistance = distance;
        }
    }
    return nearest ? fromSeconds(nearest->seconds) : Duration::zero();
}

} // namespace godwit
