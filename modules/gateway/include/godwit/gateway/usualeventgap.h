#pragma once

#include <godwit/base/time.h>

#include <array>
#include <cstdint>

namespace godwit {

/// Tracks the median event gap of the backend servers of a service at usual speed, separately for
/// four ranges of their load: a busy engine generates each token more slowly. Has no clock.
class UsualEventGap
{
public:
    /// A stream had \a gap between two events on a backend server whose load was \a utilization (1
    /// if all slots are taken) and whose work took \a factor times as long as usual.
    void record(Duration gap, double utilization, double factor);

    /// Median at \a utilization, or that at a higher one if it is shorter; 0 before the first gap.
    /// A range without gaps uses another one.
    Duration at(double utilization) const;

private:
    struct Range
    {
        double seconds = 0;
        std::uint32_t count = 0;
    };
    std::array<Range, 4> m_ranges;
};

} // namespace godwit
