#pragma once

#include <godwit/base/time.h>

#include <cstddef>
#include <map>
#include <string>

namespace godwit {

/// Bound on the attempts beyond the first of each request, for all entry processes together.
struct RetryBound
{
    double share = 0; ///< Of the requests of a service.
    double slack = 0; ///< Attempts that are allowed besides in each window.
    Duration window{0};

    friend bool operator==(const RetryBound &, const RetryBound &) = default;
};

/// The part of the RetryBound that this process may use, kept without talking to the others: the
/// share follows the process's own requests, and the slack is divided by the number of processes.
///
/// Both are token buckets that hold at most half of what the bound allows in a window and refill at
/// half of its rate, so that no window of any position can exceed the bound.
class RetryAllowance
{
public:
    explicit RetryAllowance(const RetryBound &bound);

    /// Entry processes that share the slack, with this one.
    void setProcesses(std::size_t n);

    /// A client's request for \a service arrived.
    void request(const std::string &service, TimePoint now);

    /// Takes one attempt beyond the first, or returns false if none is left.
    bool take(const std::string &service, TimePoint now);

private:
    struct Bucket
    {
        double slack = 0;
        double shared = 0;
        TimePoint refilledAt;
        bool used = false;
    };

    Bucket &refilled(const std::string &service, TimePoint now);
    double slackLimit() const;

    RetryBound m_bound;
    /// Assumed until the number is known. Too many costs retries, too few would break the bound.
    std::size_t m_processes = 16;
    std::map<std::string, Bucket> m_buckets;
};

} // namespace godwit
