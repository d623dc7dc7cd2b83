#include <faultruns.h>

#include <catch2/catch.hpp>

using namespace godwit::bench;

namespace {

constexpr std::uint64_t ConfigurationSeeds = 60;
constexpr std::uint64_t AuthorSeeds = 300;

void require(std::uint64_t seed, const FaultReport &report)
{
    const std::vector<std::string> none;
    INFO("seed " << seed);
    CHECK(report.reverts == none);
    CHECK(report.torn == none);
    CHECK(report.authors == none);
    CHECK(report.late == none);
}

} // namespace

// Guards against configurations that are reverted or late (P7 in docs/design.md) under combinations
// of faults. control-faultruns runs more seeds.
TEST_CASE("Configuration fault runs")
{
    for (std::uint64_t seed = 1; seed <= ConfigurationSeeds; ++seed)
        require(seed, ConfigurationFaultRun(seed).run());
}

// Guards against engines that obey orders from two processes.
TEST_CASE("Author fault runs")
{
    for (std::uint64_t seed = 1; seed <= AuthorSeeds; ++seed)
        require(seed, AuthorFaultRun(seed).run());
}
