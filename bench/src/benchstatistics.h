#pragma once

#include <cstdint>
#include <utility>
#include <vector>

namespace godwit {

/// Returns the nearest-rank quantile: the smallest value that at least \a share of \a values do
/// not exceed. Returns 0 if \a values is empty.
double quantile(std::vector<std::uint32_t> values, double share);

/// Returns the median, or the lower of the two middle values; 0 if \a values is empty.
double median(std::vector<double> values);

/// Returns the slope of the least-squares line through the (x, y) \a points; 0 if there are fewer
/// than two distinct values of x.
double slope(const std::vector<std::pair<double, double>> &points);

} // namespace godwit
