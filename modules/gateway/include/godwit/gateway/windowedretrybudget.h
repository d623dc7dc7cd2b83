#pragma once

#include <godwit/base/time.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace godwit {

/// Bound on the attempts beyond the first of each request, for all entry processes together.
struct RetryBudgetLimits
{
    double ratio = 0; ///< Of the requests of a service in a window.
    double slack = 0; ///< Attempts that are allowed in addition in each window.
    Duration window{0};
    /// Entry processes that share the slack. Too high a value wastes retries; too low a value would
    /// break the bound.
    std::size_t entryProcesses = 16;

    friend bool operator==(const RetryBudgetLimits &, const RetryBudgetLimits &) = default;
};

/// The part of the RetryBudgetLimits that this process may use, enforced without communication: in
/// each window, its attempts beyond the first are at most the ratio of its own requests in that
/// window and its part of the slack. The sum over all processes then keeps the bound.
class WindowedRetryBudget
{
public:
    explicit WindowedRetryBudget(const RetryBudgetLimits &limits);

    /// A client's request for \a service arrived.
    void recordRequest(const std::string &service, TimePoint now);

    /// Takes one attempt beyond the first, or returns false if none is left.
    bool tryAcquire(const std::string &service, TimePoint now);

private:
    /// Counts of one slice of time.
    struct Slice
    {
        std::int64_t number = 0; ///< Start divided by the length of a slice.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    struct Service
    {
        std::deque<Slice> slices; ///< Those of the last window, oldest first.
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };

    Slice &currentSlice(Service &service, TimePoint now) const;

    RetryBudgetLimits m_limits;
    std::map<std::string, Service> m_services;
};

} // namespace godwit
