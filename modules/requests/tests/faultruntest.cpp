#include "faultrun.h"

#include <catch2/catch.hpp>

using namespace godwit::test;

// Guards against any pair of faults making the host and entry side run a key twice, mix responses,
// report not_run for a request that ran, or leave a caller without a response.
TEST_CASE("Fault runs")
{
    FaultRunResult total;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto result = runFaults(seed);
        INFO("seed " << seed << ": " << result.firstViolation);
        CHECK(result.isClean());
        total += result;
    }
    // Guards against a driver that passes because nothing runs.
    CHECK(total.completeResponses > total.calls / 4);
    CHECK(total.notRun > 0);
    CHECK(total.documentWrites > 0);
    CHECK(total.outageExecutions > 0);
}
