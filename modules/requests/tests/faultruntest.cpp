#include "faultrun.h"

#include <catch2/catch.hpp>

using namespace godwit::test;

// Checks that no combination of faults makes hosts and entry processes run a key twice, mix
// responses, report not_run for a request that ran, or leave a caller without a response.
TEST_CASE("Fault runs")
{
    FaultRunResult total;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        const auto result = runFaults(seed);
        INFO("seed " << seed << ": " << result.firstViolation);
        CHECK(result.isClean());
        total += result;
    }
    // Guards against runs that pass only because nothing is executed.
    CHECK(total.completeResponses > total.calls / 4);
    CHECK(total.notRun > 0);
    CHECK(total.documentWrites > 0);
    CHECK(total.outageExecutions > 0);
}
