#pragma once

#include <atomic>

namespace godwit {

/// Value that can increase and decrease. Thread safe.
class Gauge
{
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }

    /// Adds \a delta, which may be negative.
    void add(double delta) { m_value.fetch_add(delta, std::memory_order_relaxed); }

    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value{0};
};

} // namespace godwit
