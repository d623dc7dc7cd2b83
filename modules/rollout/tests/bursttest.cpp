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

bench::Scenario burstScenario(int hosts, int regions, std::uint64_t seed)
{
    bench::Layout layout;
    layout.hosts = hosts;
    layout.regions = regions;
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
    bench::Scenario scenario = burstScenario(hosts, 3, static_cast<std::uint64_t>(seed));
    scenario.startSpread = 600ms;
    const bench::RunResult result = bench::SwarmRun(scenario).run();
    CHECK(result.originCopies <= 1.3);
    CHECK(result.seconds > 0);
    CHECK(result.seconds <= 1.3 * bench::lowerBound(scenario) + toSeconds(scenario.startSpread));
}

// Load pattern: an origin with a faster link than the hosts. Guards against a schedule at the rate
// of the hosts' links, with which the last chunks leave the origin when they could be everywhere.
TEST_CASE("A burst from an origin that is faster than the hosts")
{
    constexpr double OriginSpeedup = 1.6;
    const auto seed = GENERATE(1, 2, 3);
    bench::Scenario scenario = burstScenario(99, 3, static_cast<std::uint64_t>(seed));
    scenario.layout.originRate *= OriginSpeedup;
    const auto scheduledFor = [&scenario](double originRate) {
        scenario.settings->originRate = originRate;
        return bench::SwarmRun(scenario).run();
    };
    const bench::RunResult atHostRate = scheduledFor(HostLinkRate);
    const bench::RunResult atOriginRate = scheduledFor(scenario.layout.originRate);
    INFO("seconds " << atHostRate.seconds << " and " << atOriginRate.seconds << ", bound "
                    << bench::lowerBound(scenario));
    REQUIRE(atOriginRate.seconds > 0);
    CHECK(atOriginRate.originCopies <= 1.3);
    CHECK(atOriginRate.seconds < atHostRate.seconds);
    CHECK(atOriginRate.seconds <= 1.4 * bench::lowerBound(scenario));
}

// Load pattern: a version is named on hundreds of hosts in five regions. Guards against a time or a
// number of connections of each host that grows with the fleet.
TEST_CASE("A burst on hundreds of hosts takes hardly longer than on a few dozen")
{
    constexpr int Regions = 5;
    constexpr int FewHosts = 60;
    constexpr int ManyHosts = 300;
    const auto run = [](int hosts) {
        return bench::SwarmRun(burstScenario(hosts, Regions, 1)).run();
    };
    const bench::RunResult few = run(FewHosts);
    const bench::RunResult many = run(ManyHosts);
    REQUIRE(few.seconds > 0);
    REQUIRE(many.seconds > 0);
    CHECK(many.seconds <= 1.5 * few.seconds);
    CHECK(many.originCopies <= 1.3);
    CHECK(many.mostPeers <= 2 * few.mostPeers);
}
