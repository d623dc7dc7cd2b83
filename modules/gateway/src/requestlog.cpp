#include "requestlog.h"

#include <godwit/observe/log.h>

#include <algorithm>
#include <array>

namespace godwit {

namespace {

/// Rate limits, by RequestLogKind. Answers are sampled; failures are only dropped in bursts.
constexpr std::array<double, 2> LinesPerSecond{5, 40};
constexpr std::array<std::string_view, 2> EventNames{"request_answered", "request_failed"};

struct LineBudget
{
    double lines = 1;
    std::uint64_t omitted = 0;
    TimePoint refilledAt;
};

bool tryConsume(LineBudget &budget, double rate, TimePoint now)
{
    budget.lines = std::min(rate, budget.lines + rate * toSeconds(now - budget.refilledAt));
    budget.refilledAt = now;
    if (budget.lines < 1) {
        ++budget.omitted;
        return false;
    }
    budget.lines -= 1;
    return true;
}

} // namespace

void logRequest(RequestLogKind kind, boost::json::object fields, TimePoint now)
{
    // Requests are handled on a single thread.
    thread_local std::array<LineBudget, 2> budgets;
    const auto index = static_cast<std::size_t>(kind);
    LineBudget &budget = budgets[index];
    if (!tryConsume(budget, LinesPerSecond[index], now))
        return;
    if (budget.omitted > 0)
        fields["omitted_lines"] = std::exchange(budget.omitted, 0);
    logStateChange(EventNames[index], fields);
}

} // namespace godwit
