#include "requestlog.h"

#include <godwit/observe/log.h>

#include <algorithm>
#include <array>

namespace godwit {

namespace {

constexpr std::size_t KindCount = 7;
/// Rate limits, by RequestLogKind. Answers are sampled; the others are only dropped in bursts.
constexpr std::array<double, KindCount> LinesPerSecond{5, 40, 40, 40, 10, 10, 5};
constexpr std::array<std::string_view, KindCount> EventNames{
        "request_answered", "request_failed",   "backend_leaving",      "backend_paused",
        "backend_held",     "backend_released", "retry_after_malformed"};

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
    thread_local std::array<LineBudget, KindCount> budgets;
    const auto index = static_cast<std::size_t>(kind);
    LineBudget &budget = budgets[index];
    if (!tryConsume(budget, LinesPerSecond[index], now))
        return;
    if (budget.omitted > 0)
        fields["omitted_lines"] = std::exchange(budget.omitted, 0);
    logStateChange(EventNames[index], fields);
}

} // namespace godwit
