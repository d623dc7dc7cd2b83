#include <godwit/rollout/transferprofile.h>

#include "../../weights/bench/swarmrun.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

/// The scaled chunks of the network model are two thirds of the size of a real piece.
constexpr double RateScale = static_cast<double>(bench::ChunkBytesScaled) / 24'576;
constexpr double HostLink = 7.3e6 / 8 * RateScale;
constexpr double RegionLink = 26e6 / 8 * RateScale;
constexpr ChunkIndex Pieces = 96;

bench::Scenario burst(int hosts, std::uint64_t seed)
{
    bench::Layout layout;
    layout.hosts = hosts;
    layout.regions = 3;
    layout.hostRate = 0.9 * HostLink; // The rest is for requests.
    layout.originRate = HostLink;
    layout.regionRate = RegionLink;
    layout.regionLoss = 0;
    bench::Scenario scenario{layout};
    scenario.seed = seed;
    scenario.chunks = Pieces;
    scenario.settings = transferProfile(HostLink);
    scenario.settings->regionLinkRate *= RateScale;
    return scenario;
}

} // namespace

// Pattern: a version is named for many hosts with slow links. They get its manifest one after the
// other, over the link of the origin that they share. Guards against hosts that take each other for
// dead meanwhile: their copies from the origin leave no room on its link for what nobody has yet.
TEST_CASE("A burst over slow links, in which hosts start one after the other")
{
    const auto hosts = GENERATE(20, 45, 76);
    const auto seed = GENERATE(1, 2);
    INFO(hosts << " hosts, seed " << seed);
    bench::Scenario scenario = burst(hosts, static_cast<std::uint64_t>(seed));
    scenario.startSpread = 600ms;
    const bench::RunResult result = bench::SwarmRun(scenario).run();
    CHECK(result.originCopies <= 1.3);
    CHECK(result.seconds > 0);
    CHECK(result.seconds <= 1.3 * bench::lowerBound(scenario) + toSeconds(scenario.startSpread));
}
