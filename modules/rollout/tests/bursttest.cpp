#include <godwit/rollout/transferprofile.h>

#include "../../weights/bench/swarmrun.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

/// The scaled chunks of the network model are two thirds of the size of a real chunk.
constexpr double RateScale = static_cast<double>(bench::ChunkBytesScaled) / 24'576;
constexpr double HostLinkRate = 7.3e6 / 8 * RateScale;
constexpr double RegionLinkRate = 26e6 / 8 * RateScale;
constexpr ChunkIndex ChunkCount = 96;

bench::Scenario burstScenario(int hosts, std::uint64_t seed)
{
    bench::Layout layout;
    layout.hosts = hosts;
    layout.regions = 3;
    layout.hostRate = 0.9 * HostLinkRate; // The rest is reserved for requests.
    layout.originRate = HostLinkRate;
    layout.regionRate = RegionLinkRate;
    layout.regionLoss = 0;
    bench::Scenario scenario{layout};
    scenario.seed = seed;
    scenario.chunks = ChunkCount;
    scenario.settings = transferProfile(HostLinkRate);
    scenario.settings->regionLinkRate *= RateScale;
    return scenario;
}

} // namespace

// Many hosts with slow links receive a version's manifest one after the other over the shared link
// of the origin. Guards against hosts considering late hosts dead: they would fetch additional
// copies from the origin, which delays chunks that no host has yet.
TEST_CASE("A burst over slow links, in which hosts start one after the other")
{
    const auto hosts = GENERATE(20, 45, 76);
    const auto seed = GENERATE(1, 2);
    INFO(hosts << " hosts, seed " << seed);
    bench::Scenario scenario = burstScenario(hosts, static_cast<std::uint64_t>(seed));
    scenario.startSpread = 600ms;
    const bench::RunResult result = bench::SwarmRun(scenario).run();
    CHECK(result.originCopies <= 1.3);
    CHECK(result.seconds > 0);
    CHECK(result.seconds <= 1.3 * bench::lowerBound(scenario) + toSeconds(scenario.startSpread));
}
