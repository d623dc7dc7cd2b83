#include "benchstatistics.h"
#include "processusage.h"

#include <catch2/catch.hpp>

using namespace godwit;

// Guards against a rank that is off by one, for instance a p99 that ignores the slowest values of a
// short run.
TEST_CASE("quantiles and medians are measured values, not interpolated")
{
    CHECK(quantile({}, 0.99) == 0);
    CHECK(quantile({7}, 0.5) == 7);
    CHECK(quantile({4, 1, 3, 2}, 0.5) == 2);
    CHECK(quantile({4, 1, 3, 2}, 0.99) == 4);
    CHECK(quantile({1, 2, 3, 4}, 0) == 1);
    std::vector<std::uint32_t> hundred;
    for (std::uint32_t i = 100; i > 0; --i)
        hundred.push_back(i);
    CHECK(quantile(hundred, 0.99) == 99);
    CHECK(quantile(hundred, 1) == 100);
    CHECK(median({3, 1, 2}) == 2);
    CHECK(median({4, 1, 2, 3}) == 2);
}

// Guards against a memory-per-stream figure that includes the base memory of a process.
TEST_CASE("the slope ignores a constant offset")
{
    CHECK(slope({{200, 5200}, {1000, 6000}, {2000, 7000}}) == Approx(1));
    CHECK(slope({{1, 10}, {2, 10}, {3, 10}}) == Approx(0));
    CHECK(slope({{1, 10}}) == 0);
    CHECK(slope({}) == 0);
}

// Guards against attributing a result to the entry process although another part, or waiting for a
// core, was the bottleneck.
TEST_CASE("the part without idle time is the bottleneck")
{
    const ThreadTimes before{{1, {1'000'000'000, 0}}, {2, {5'000'000'000, 0}}};
    const ThreadTimes after{{1, {1'100'000'000, 50'000'000}},
                            {2, {6'600'000'000, 300'000'000}},
                            {3, {200'000'000, 0}}};
    const ProcessorShare share = processorShareBetween(before, after, 2);
    CHECK(share.busiest == Approx(0.8));
    CHECK(share.waiting == Approx(0.15));
    CHECK(share.total == Approx(0.95));
    CHECK(findBottleneck({{"entry", share}, {"callers", {0.2, 0.1, 0.6}}}) == "entry");
    CHECK(findBottleneck({{"entry", share}, {"callers", {0.9, 0.09, 0.9}}}) == "callers");
    CHECK(findBottleneck({{"entry", {0.5, 0.3, 0.5}}}) == "none");
}
