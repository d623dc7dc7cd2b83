#include <godwit/gateway/windowedretrybudget.h>

#include <godwit/base/random.h>

#include <catch2/catch.hpp>

#include <deque>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

TEST_CASE("RetryAllowance")
{
    const RetryBudgetLimits limits{0.2, 106, 10s};
    TimePoint now{std::chrono::hours(1)};

    SECTION("retries during an outage of a backend server stay within the ratio")
    {
        WindowedRetryBudget budget(limits);
        int taken = 0;
        for (int i = 0; i < 1000; ++i) {
            now += 10ms;
            budget.recordRequest("llm", now);
            taken += budget.tryAcquire("llm", now) ? 1 : 0;
        }
        CHECK(taken <= 0.2 * 1000 + 106.0 / 16);
        CHECK(taken >= 150);
    }
    SECTION("each service has its own budget")
    {
        WindowedRetryBudget budget(limits);
        while (budget.tryAcquire("llm", now)) {
        }
        CHECK(budget.tryAcquire("booking", now));
    }
    SECTION("all processes together keep the limit in every window under changing load")
    {
        constexpr std::size_t Processes = 5;
        Random random(11);
        RetryBudgetLimits shared = limits;
        shared.entryProcesses = Processes;
        std::vector<WindowedRetryBudget> processes(Processes, WindowedRetryBudget(shared));
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
        for (int step = 0; step < 60'000; ++step) {
            now += 1ms;
            const bool busy = (step / 4000) % 2 == 0;
            WindowedRetryBudget &process = processes[random.below(Processes)];
            if (random.chance(busy ? 0.3 : 0.02)) {
                process.recordRequest("llm", now);
                requests.push_back(now);
            }
            if (random.chance(0.2) && process.tryAcquire("llm", now))
                retries.push_back(now);
            while (!requests.empty() && requests.front() < now - 10s)
                requests.pop_front();
            while (!retries.empty() && retries.front() < now - 10s)
                retries.pop_front();
            // The requests of the slice that has just left the window may still be counted.
            const double slack = limits.slack + 0.2 * 0.3 * 400;
            REQUIRE(static_cast<double>(retries.size())
                    <= limits.ratio * static_cast<double>(requests.size()) + slack);
        }
    }
}
