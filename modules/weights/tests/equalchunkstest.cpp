#include "swarm.h"

#include <catch2/catch.hpp>

#include <set>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

constexpr ChunkIndex Chunks = 60;

/// Weights of which the chunks with \a hasPadding hold the same bytes.
std::vector<std::string> paddedContents(const std::string &version,
                                        const std::function<bool(ChunkIndex)> &hasPadding)
{
    std::vector<std::string> contents;
    for (ChunkIndex i = 0; i < Chunks; ++i)
        contents.push_back(hasPadding(i) ? "padding" : version + '/' + std::to_string(i));
    return contents;
}

struct Pattern
{
    const char *name;
    std::function<bool(ChunkIndex)> hasPadding;
};

std::vector<Pattern> patterns()
{
    return {{"none", [](ChunkIndex) { return false; }},
            {"two neighbours", [](ChunkIndex i) { return i == 40 || i == 41; }},
            {"the first and the last", [](ChunkIndex i) { return i == 0 || i == Chunks - 1; }},
            {"each other one", [](ChunkIndex i) { return i % 2 == 0; }},
            {"the second half", [](ChunkIndex i) { return i >= Chunks / 2; }},
            {"all", [](ChunkIndex) { return true; }}};
}

std::uint64_t countDistinct(const std::vector<std::string> &contents)
{
    return std::set<std::string>(contents.begin(), contents.end()).size();
}

template <typename T>
std::vector<T> actionsOf(const TransferActions &actions)
{
    std::vector<T> found;
    for (const TransferAction &it : actions) {
        if (const auto *action = std::get_if<T>(&it))
            found.push_back(*action);
    }
    return found;
}

} // namespace

// Weights often hold equal chunks, such as zeros. Guards against hosts that refuse such weights, or
// fetch their bytes from the origin more than once.
TEST_CASE("A swarm transfers weights with equal chunks")
{
    const auto pattern = GENERATE(from_range(patterns()));
    const auto hosts = GENERATE(1, 2, 12);
    const auto regions = GENERATE(1, 3);
    INFO(pattern.name << ", " << hosts << " hosts, " << regions << " regions");
    const auto contents = paddedContents("v1", pattern.hasPadding);
    const Manifest manifest = makeManifest("v1", contents);
    Swarm swarm(1);
    swarm.publish(manifest, contents);
    for (int i = 0; i < hosts; ++i)
        swarm.addHost("h" + std::to_string(i), "r" + std::to_string(1 + i % regions));
    swarm.startAll(manifest);
    CHECK(swarm.runUntilServable(manifest));
    CHECK(swarm.originRequests() == countDistinct(contents));
    CHECK(swarm.violations.empty());
}

// Guards against bytes that are evicted before the engine has all chunks that hold them.
TEST_CASE("A window smaller than weights with equal chunks is enough")
{
    const auto pattern = GENERATE(from_range(patterns()));
    INFO(pattern.name);
    const auto contents = paddedContents("v1", pattern.hasPadding);
    const Manifest manifest = makeManifest("v1", contents);
    TransferSettings settings = Swarm::testSettings();
    settings.windowBytes = 20480;
    Swarm swarm(2, settings);
    swarm.publish(manifest, contents);
    for (int i = 0; i < 12; ++i)
        swarm.addHost("h" + std::to_string(i));
    swarm.startAll(manifest);
    CHECK(swarm.runUntilServable(manifest));
    CHECK(swarm.violations.empty());
}

// Guards against chunks that are lost, or never requested again, when requests for the bytes of
// several places fail.
TEST_CASE("A swarm transfers weights with equal chunks under random faults")
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        const std::uint64_t period = 1 + random.below(5);
        const auto contents =
                paddedContents("v1", [period](ChunkIndex i) { return i % period == 0; });
        const Manifest manifest = makeManifest("v1", contents);
        Swarm swarm(seed);
        swarm.publish(manifest, contents);
        for (std::uint64_t i = 0; i < 4 + random.below(8); ++i)
            swarm.addHost("h" + std::to_string(i), "r" + std::to_string(1 + i % 3));
        swarm.onReply = [&](const std::string &, const std::string &, const Digest &) {
            Reply reply;
            reply.delay = Duration(static_cast<std::int64_t>(random.below(20000)));
            reply.copies = 1 + static_cast<int>(random.below(2));
            reply.lost = random.chance(0.03);
            if (random.chance(0.05))
                reply.change = [&](std::string &bytes) { bytes.resize(random.below(2048)); };
            return reply;
        };
        swarm.startAll(manifest);
        swarm.run(Duration(static_cast<std::int64_t>(random.below(200000))));
        swarm.kill("h2", random.chance(0.5));
        const bool done = swarm.runUntilServable(manifest);
        CHECK(done);
        CHECK(swarm.violations.empty());
    }
}

// Guards against chunks that are fetched again although an older version has their bytes, at these
// or at other places.
TEST_CASE("A version reuses the chunks of an older one that has equal chunks")
{
    const auto before = GENERATE(from_range(patterns()));
    const auto after = GENERATE(from_range(patterns()));
    INFO(before.name << ", then " << after.name);
    const auto older = paddedContents("v1", before.hasPadding);
    const auto newer = paddedContents("v2", after.hasPadding);
    Swarm swarm(1);
    const Manifest v1 = makeManifest("v1", older);
    const Manifest v2 = makeManifest("v2", newer);
    swarm.publish(v1, older);
    swarm.publish(v2, newer);
    for (int i = 0; i < 4; ++i)
        swarm.addHost("h" + std::to_string(i));
    swarm.startAll(v1);
    REQUIRE(swarm.runUntilServable(v1));
    const std::uint64_t requests = swarm.originRequests();
    swarm.startAll(v2);
    CHECK(swarm.runUntilServable(v2));
    CHECK(swarm.originRequests() - requests <= countDistinct(newer));
    CHECK(swarm.violations.empty());
}

TEST_CASE("Equal chunks of one host")
{
    const Manifest manifest = makeManifest("v1", {"a", "padding", "b", "padding"});
    const Digest id = manifest.digest();
    const Digest padding = manifest.chunks[1];
    TransferPlanner planner(HostId("h0"), Swarm::testSettings(), 1);
    TransferOrder order;
    order.manifest = manifest;
    order.originRegion = RegionId("r1");
    order.keepOtherVersions = true;
    TimePoint now{1h};
    planner.start(now, order);
    const auto bytes = std::make_shared<const std::string>(chunkBytes("padding", 0, 1024));

    SECTION("are all delivered when one of them is found")
    {
        const auto found = GENERATE(ChunkIndex(1), ChunkIndex(3));
        const auto delivered =
                actionsOf<DeliverToEngine>(planner.chunkFound(now, id, found, bytes));
        REQUIRE(delivered.size() == 2);
        CHECK(delivered[0].chunk == 1);
        CHECK(delivered[1].chunk == 3);
    }
    // Guards against an engine that never receives the second one.
    SECTION("stay in memory until the engine has all of them")
    {
        planner.chunkFound(now, id, 1, bytes);
        planner.engineAccepted(now, id, 1);
        planner.chunkUnloaded(now, id, 1);
        CHECK(planner.store().find(padding));
        planner.engineAccepted(now, id, 3);
        planner.chunkUnloaded(now, id, 3);
        CHECK_FALSE(planner.store().find(padding));
    }
    SECTION("stay in memory until another version has them, too")
    {
        TransferOrder next = order;
        next.manifest = makeManifest("v2", {"c", "d", "padding", "e"});
        planner.chunkFound(now, id, 1, bytes);
        planner.start(now, next);
        planner.engineAccepted(now, id, 1);
        planner.engineAccepted(now, id, 3);
        planner.chunkUnloaded(now, id, 3);
        CHECK(planner.store().find(padding));
        planner.engineAccepted(now, next.manifest.digest(), 2);
        planner.chunkUnloaded(now, next.manifest.digest(), 2);
        CHECK_FALSE(planner.store().find(padding));
    }
    SECTION("are dropped together when they are lost")
    {
        planner.chunkFound(now, id, 1, bytes);
        planner.engineAccepted(now, id, 1);
        planner.engineAccepted(now, id, 3);
        planner.chunkUnloaded(now, id, 3);
        now += 1s;
        planner.chunkLost(now, id, 3);
        CHECK_FALSE(planner.store().contains(padding));
    }
    SECTION("are requested once and complete together")
    {
        now += 10s;
        std::set<Digest> requested;
        std::vector<RequestChunk> requests = actionsOf<RequestChunk>(planner.tick(now));
        for (const RequestChunk &it : requests)
            CHECK(requested.insert(it.digest).second);
        REQUIRE(requested.contains(padding));
        for (const RequestChunk &it : requests) {
            if (it.digest == padding)
                planner.chunkArrived(now, it.request, bytes);
        }
        CHECK(planner.status().front().verified == 2);
    }
}
