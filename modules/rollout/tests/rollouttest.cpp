#include <godwit/rollout/versionrollout.h>

#include "rolloutfixture.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

TEST_CASE("VersionRollout loads a version into the engine")
{
    RolloutFixture it;

    SECTION("an empty engine loads as soon as all chunks are staged")
    {
        it.rollout.setWantedVersion(TestModel, 1, it.window());
        it.scheduler.advance(1500ms);
        CHECK(it.isServing(1));
        CHECK(it.origin->chunkReads == static_cast<int>(TestChunkCount));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("an engine that serves a version waits for its turn")
    {
        it.engine.serve(1);
        it.rollout.setWantedVersion(TestModel, 2, it.window());
        it.scheduler.advance(3s);
        CHECK(it.engine.orders.empty());
        it.scheduler.advance(4s);
        CHECK(it.isServing(2));
    }
    SECTION("an engine does not wait for its turn if the version may have been wanted for a long "
            "time")
    {
        it.engine.serve(1);
        it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
        it.scheduler.advance(1500ms);
        CHECK(it.isServing(2));
    }
    SECTION("a corrupt chunk from the origin is fetched again and never loaded")
    {
        it.origin->corruptOnce = {0, 3};
        it.rollout.setWantedVersion(TestModel, 1, it.window());
        it.scheduler.advance(4s);
        CHECK(it.isServing(1));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("reading the manifest is retried while the origin is unreachable")
    {
        it.origin->manifestFailures = 5;
        it.rollout.setWantedVersion(TestModel, 1, it.window());
        it.scheduler.advance(6s);
        CHECK(it.isServing(1));
    }
    SECTION("after a restart of the host, staged chunks are not read from the origin again")
    {
        it.stageAll(3);
        it.rollout.setWantedVersion(TestModel, 3, std::nullopt);
        it.scheduler.advance(1s);
        CHECK(it.isServing(3));
        CHECK(it.origin->chunkReads == 0);
    }
    SECTION("staged chunks of another version are not mistaken for those of the wanted one")
    {
        it.stageAll(2);
        it.rollout.setWantedVersion(TestModel, 3, std::nullopt);
        it.scheduler.advance(2s);
        CHECK(it.isServing(3));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("weights that the engine has lost are loaded again")
    {
        it.rollout.setWantedVersion(TestModel, 1, it.window());
        it.scheduler.advance(2s);
        REQUIRE(it.isServing(1));
        it.engine.report = EngineReport{};
        it.engine.report.startTimeMs = 7;
        it.engine.staged.clear();
        it.scheduler.advance(4s);
        CHECK(it.isServing(1));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    // Guards against a partly loaded engine that never gets the rest of its layers.
    SECTION("an engine that holds some of the layers gets the others after a restart of the host")
    {
        constexpr std::uint32_t LayerCount = 3;
        it.engine.layerCount = LayerCount;
        it.engine.serve(2);
        it.engine.report.layers = LayerRange{0, 1, 2};
        it.stageAll(2);
        it.rollout.setLayerCount(TestModel, LayerCount);
        it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
        it.scheduler.advance(2s);
        // The last layer is ordered by itself.
        REQUIRE(it.engine.orders.size() == 2);
        CHECK(it.engine.orders.front().layers == LayerRange{0, LayerCount - 1, 2});
        CHECK(it.engine.orders.back().layers == LayerRange{0, LayerCount, 2});
        CHECK(it.engine.report.layers == LayerRange{0, LayerCount, 2});
    }
    SECTION("a version older than the wanted one is ignored")
    {
        it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
        it.rollout.setWantedVersion(TestModel, 1, std::nullopt);
        it.scheduler.advance(2s);
        CHECK(it.isServing(2));
    }
    // A host process that has restarted may learn of the first version, from the configuration,
    // long before it can list the newer ones. Guards against an engine that goes back to weights
    // that may not serve any more.
    SECTION("an engine that serves a newer version is left as it is")
    {
        it.engine.serve(2);
        it.rollout.setWantedVersion(TestModel, 1, std::nullopt);
        it.scheduler.advance(3s);
        CHECK(it.engine.orders.empty());
        CHECK(it.isServing(2));
        CHECK(it.origin->chunkReads == 0);
        CHECK(it.newerVersions > 0);
    }
    SECTION("also if it got the newer version while the older one was staged")
    {
        it.engine.report.busy = true;
        it.stageAll(1);
        it.rollout.setWantedVersion(TestModel, 1, std::nullopt);
        it.scheduler.advance(1s);
        it.engine.report.busy = false;
        it.engine.serve(2);
        it.scheduler.advance(2s);
        CHECK(it.engine.orders.empty());
        it.rollout.setWantedVersion(TestModel, 3, std::nullopt);
        it.scheduler.advance(3s);
        CHECK(it.isServing(3));
    }
}

// Most chunks are only in the engine's staging area when peers request them.
TEST_CASE("VersionRollout serves chunks that it has staged")
{
    RolloutFixture it;
    const HostId peer("10.0.0.2");
    it.rollout.setWantedVersion(TestModel, 1, it.window());
    it.scheduler.advance(1500ms);
    REQUIRE(it.isServing(1));
    const auto requestChunk = [&](ChunkIndex chunk, UploadId upload) {
        it.rollout.onChunkRequest(peer, Digest::of(testChunk(1, chunk)), upload);
        it.scheduler.advance(100ms);
    };

    SECTION("with the bytes that were verified")
    {
        for (ChunkIndex chunk = 0; chunk < TestChunkCount; ++chunk) {
            requestChunk(chunk, chunk + 1);
            REQUIRE(it.peers.served.contains(chunk + 1));
            CHECK(*it.peers.served.at(chunk + 1) == testChunk(1, chunk));
        }
    }
    // Guards against uploading bytes that became corrupt in the engine's staging area.
    SECTION("unless the staged bytes have changed")
    {
        for (ChunkIndex chunk = 0; chunk < TestChunkCount; ++chunk) {
            it.engine.staged[chunk] = std::string(TestChunkBytes, 'r');
            requestChunk(chunk, chunk + 1);
            // The most recently staged chunks may still be in memory.
            if (it.peers.served.contains(chunk + 1))
                CHECK(*it.peers.served.at(chunk + 1) == testChunk(1, chunk));
            else
                CHECK(it.peers.refused.at(chunk + 1) == ResultCode::ChunkNotHeld);
        }
        CHECK(it.peers.refused.size() == TestChunkCount - 1);
    }
}

// Weights often hold equal chunks, such as zeros. Guards against hosts that never load them.
TEST_CASE("VersionRollout loads weights with equal chunks")
{
    RolloutFixture it;
    const HostId peer("10.0.0.2");

    SECTION("and reads their bytes from the origin once")
    {
        const auto [version, distinct] = GENERATE(table<std::uint64_t, int>(
                {{EqualPairVersion, 5}, {AllEqualVersion, 1}, {OtherPairVersion, 5}}));
        INFO("version " << version);
        it.rollout.setWantedVersion(TestModel, version, it.window());
        it.scheduler.advance(2s);
        CHECK(it.isServing(version));
        CHECK(it.origin->chunkReads == distinct);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("one version after the other, with the chunks that are staged")
    {
        int orders = 0;
        for (const std::uint64_t version : {EqualPairVersion, AllEqualVersion, OtherPairVersion}) {
            it.rollout.setWantedVersion(TestModel, version, std::nullopt);
            it.scheduler.advance(3s);
            CHECK(it.isServing(version));
            CHECK(it.engine.orders.size() == static_cast<std::size_t>(++orders));
        }
        // The padding of the second and third version was staged already.
        CHECK(it.origin->chunkReads == 5 + 4);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("after a restart of the host, from the staged chunks")
    {
        it.stageAll(EqualPairVersion);
        it.engine.corrupt(1);
        it.rollout.setWantedVersion(TestModel, EqualPairVersion, std::nullopt);
        it.scheduler.advance(2s);
        CHECK(it.isServing(EqualPairVersion));
        CHECK(it.origin->chunkReads == 0);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    // Guards against a peer that is refused bytes which are staged at another place.
    SECTION("and serves their bytes from any place that holds them")
    {
        it.rollout.setWantedVersion(TestModel, EqualPairVersion, std::nullopt);
        it.scheduler.advance(2s);
        REQUIRE(it.isServing(EqualPairVersion));
        const Digest padding = Digest::of(testChunk(EqualPairVersion, 1));
        UploadId upload = 0;
        const auto request = [&] {
            it.rollout.onChunkRequest(peer, padding, ++upload);
            it.scheduler.advance(100ms);
        };
        for (const ChunkIndex corrupt : {ChunkIndex(1), ChunkIndex(4)}) {
            it.stageAll(EqualPairVersion);
            it.engine.corrupt(corrupt);
            request();
            REQUIRE(it.peers.served.contains(upload));
            CHECK(*it.peers.served.at(upload) == testChunk(EqualPairVersion, 1));
        }
        it.engine.corrupt(1);
        request();
        // The last chunk that was staged may still be in memory, but it is not padding.
        CHECK(it.peers.refused.at(upload) == ResultCode::ChunkNotHeld);
    }
}

// A host whose watch of the store has gone silent must not wait for the end of a long call.
TEST_CASE("VersionRollout reports a version that it learns of from a peer")
{
    RolloutFixture it;
    it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
    HaveUpdate update;
    update.model = TestModel.value();
    for (const char *version : {"1", "2", "", "2x"}) {
        update.version = version;
        it.rollout.onHaveUpdate(HostId("10.0.0.2"), update);
    }
    CHECK(it.newerVersions == 0);
    update.version = "3";
    it.rollout.onHaveUpdate(HostId("10.0.0.2"), update);
    CHECK(it.newerVersions == 1);
    it.rollout.onManifestRequest({TestModel, 4, [](const auto &) {}});
    CHECK(it.newerVersions == 2);
}

// Load pattern: engines are added while the fleet serves, and their host processes start to load
// before their own records are listed. Guards against such a host taking the region of the origin
// for its own, so that it fetches all chunks over the links between the regions.
TEST_CASE("A host that is missing from the list of participants exchanges chunks in its region")
{
    RolloutFixture it;
    const RegionId originRegion("far");
    const HostId neighbour("10.0.0.2");
    const HostId distant("10.9.0.1");
    it.rollout.setOrigin(it.origin, originRegion);
    it.rollout.setParticipants(
            {{neighbour, ZoneId("z"), RegionId("r")}, {distant, ZoneId("f"), originRegion}});
    it.rollout.setWantedVersion(TestModel, 1, std::nullopt);
    it.scheduler.advance(30ms);
    CHECK(it.peers.announcedTo.contains(neighbour));
    CHECK_FALSE(it.peers.announcedTo.contains(distant));
}

TEST_CASE("VersionRollout with two versions in quick succession")
{
    RolloutFixture it;
    it.engine.serve(1);
    it.rollout.setWantedVersion(TestModel, 2, it.window());

    SECTION("the first is dropped if it is still being transferred")
    {
        it.rollout.setWantedVersion(TestModel, 3, it.window());
        it.scheduler.advance(8s);
        CHECK(it.isServing(3));
        REQUIRE(it.engine.orders.size() == 1);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("the first is loaded before the second if it is fully staged, from its own chunks")
    {
        it.scheduler.advance(3s);
        it.rollout.setWantedVersion(TestModel, 3, it.window());
        it.scheduler.advance(10s);
        CHECK(it.isServing(3));
        REQUIRE(it.engine.orders.size() == 2);
        CHECK(it.engine.orders[0].version == 2);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    // Guards against a host that never stages the second version, because only the response to the
    // order would have freed the staging area.
    SECTION("the second is loaded although the response to the order for the first is lost")
    {
        it.engine.orderResponsesToLose = 1;
        it.scheduler.advance(3s);
        it.rollout.setWantedVersion(TestModel, 3, it.window());
        it.scheduler.advance(10s);
        CHECK(it.isServing(3));
        REQUIRE(it.engine.orders.size() == 2);
        CHECK(it.engine.orders[0].version == 2);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
}

// Guards against a version that blocks all newer ones: it is loaded first because its chunks were
// staged when they were named, then loses a chunk, and the origin provides it no longer.
TEST_CASE("VersionRollout gives up a superseded version that it cannot complete")
{
    constexpr std::uint32_t LayerCount = 3;
    RolloutFixture it;
    it.engine.layerCount = LayerCount;
    it.engine.serve(1);
    it.engine.report.layers = LayerRange{0, LayerCount, 1};
    it.rollout.setLayerCount(TestModel, LayerCount);
    it.rollout.setWantedVersion(TestModel, 2, it.window());
    const auto nameNewer = [&] {
        it.rollout.setWantedVersion(TestModel, 3, it.window());
        it.rollout.setWantedVersion(TestModel, 4, it.window());
        it.origin->oldestVersion = 3;
    };

    SECTION("while it is being transferred")
    {
        it.scheduler.advance(10ms);
        nameNewer();
    }
    SECTION("while it waits for its order")
    {
        it.scheduler.advance(1500ms);
        REQUIRE(it.engine.orders.empty());
        nameNewer();
        it.engine.corrupt(0);
    }
    SECTION("after the order for all layers but the last")
    {
        it.scheduler.advance(1500ms);
        it.engine.onOrder = [&] {
            nameNewer();
            it.engine.staged.erase(4);
            it.engine.staged.erase(5);
        };
    }
    SECTION("after an order without a response")
    {
        it.scheduler.advance(1500ms);
        it.engine.silenceOnOrder = 2s;
        it.engine.onOrder = [&] {
            nameNewer();
            it.engine.corrupt(0);
        };
    }
    it.scheduler.advance(30s);
    CHECK(it.isServing(4));
    CHECK(it.engine.report.layers == LayerRange{0, LayerCount, 4});
    CHECK_FALSE(it.engine.loadedOtherVersion);
}

TEST_CASE("EngineStager")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool hasChunks = true;
    bool serving = false;
    bool incomplete = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return hasChunks ? std::make_shared<const std::string>(
                                            testChunk(2, chunk))
                                              : ChunkBytes();
                         },
                         [] {}, [&] { serving = true; }, [&] { incomplete = true; }});
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);

    SECTION("replaces corrupt and missing staged chunks before it orders the load")
    {
        engine.staged[4] = std::string(TestChunkBytes, 'r');
        engine.staged.erase(1);
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(2s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    // Guards against a version that is never loaded, because the response of the engine is refused.
    SECTION("replaces a staged chunk that is longer than it may be")
    {
        engine.staged[4] = std::string(2UL * TestChunkBytes, 'r');
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(3s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    SECTION("reports a chunk that is neither staged nor in memory")
    {
        hasChunks = false;
        engine.staged.erase(1);
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(2s);
        CHECK(incomplete);
        CHECK(engine.orders.empty());
    }
    SECTION("retries the order after the engine has refused it")
    {
        engine.ordersToRefuse = 3;
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(4s);
        CHECK(serving);
        CHECK(engine.orders.size() == 1);
    }
    SECTION("waits while the engine executes another order")
    {
        engine.report.busy = true;
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(2s);
        CHECK(engine.orders.empty());
        engine.report.busy = false;
        scheduler.advance(2s);
        CHECK(serving);
    }
    SECTION("orders nothing if the engine already serves the version")
    {
        engine.serve(2);
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(1s);
        CHECK(serving);
        CHECK(engine.orders.empty());
    }
}

// Guards against weights with bytes that turned corrupt between their verification and the load
// order, because the process was suspended or the weights are large.
TEST_CASE("EngineStager orders no load on an outdated verification")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool serving = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return std::make_shared<const std::string>(testChunk(2, chunk));
                         },
                         [] {}, [&] { serving = true; }, [] {}});
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);
    engine.readTime = 10ms;
    stager.scheduleLoad(scheduler.now());
    scheduler.advance(35ms);
    REQUIRE(engine.reads.size() == 4);

    SECTION("if the process was suspended for seconds in the verification, it begins again")
    {
        engine.corrupt(1);
        scheduler.suspend(4s);
        scheduler.advance(2s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedLongCorrupt);
    }
    SECTION("if the process was suspended briefly, it goes on")
    {
        scheduler.suspend(1s);
        scheduler.advance(2s);
        CHECK(serving);
        CHECK(engine.reads.size() == TestChunkCount);
    }
    SECTION("weights that take longer to verify are loaded nevertheless")
    {
        engine.readTime = 1s;
        scheduler.advance(60s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedLongCorrupt);
    }
    SECTION("also without the chunk that turned corrupt during a suspension")
    {
        engine.readTime = 1s;
        scheduler.advance(4s);
        engine.corrupt(1);
        scheduler.suspend(4s);
        scheduler.advance(60s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedLongCorrupt);
    }
    SECTION("also if the order waits too long in this process")
    {
        engine.orderDelay = 4s;
        scheduler.advance(20ms);
        REQUIRE(engine.reads.size() == TestChunkCount);
        CHECK(engine.orders.empty());
        engine.corrupt(1);
        scheduler.advance(2s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedLongCorrupt);
    }
}

// Guards against weights with corrupt bytes if reading them all takes longer than bytes may be
// corrupt before a load.
TEST_CASE("EngineStager loads weights in parts if verifying all of them takes too long")
{
    constexpr std::uint32_t LayerCount = 3;
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    engine.layerCount = LayerCount;
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool isServing = false;
    int releases = 0;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return std::make_shared<const std::string>(testChunk(2, chunk));
                         },
                         [&] { ++releases; }, [&] { isServing = true; }, [] {}},
                        LayerCount);
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);
    engine.readTime = 900ms;
    stager.scheduleLoad(scheduler.now());
    const auto ordered = [&](std::size_t n) { return engine.orders.at(n).layers; };

    SECTION("each part after a verification of its chunks")
    {
        scheduler.advance(30s);
        CHECK(isServing);
        REQUIRE(engine.orders.size() == LayerCount);
        for (std::uint32_t i = 0; i < LayerCount; ++i)
            CHECK(ordered(i) == LayerRange{0, i + 1, 2});
        CHECK(releases == 1);
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    SECTION("without a chunk that turned corrupt while another part was verified")
    {
        while (engine.orders.empty())
            scheduler.advance(10ms);
        engine.corrupt(5);
        scheduler.advance(30s);
        CHECK(isServing);
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    SECTION("from the first layer again after a restart of the engine")
    {
        while (engine.orders.size() < 2)
            scheduler.advance(10ms);
        scheduler.advance(400ms);
        engine.report = EngineReport{};
        engine.report.layers = LayerRange{};
        engine.report.startTimeMs = 7;
        scheduler.advance(30s);
        CHECK(isServing);
        CHECK(engine.report.layers == LayerRange{0, LayerCount, 2});
    }
    // Guards against orders without end.
    SECTION("or all of them if the engine loads no parts")
    {
        engine.ignoresPartialOrders = true;
        scheduler.advance(60s);
        CHECK(isServing);
        REQUIRE(engine.orders.size() == 2);
        CHECK_FALSE(ordered(1));
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    SECTION("and reports the version as served only when all layers are loaded")
    {
        while (engine.orders.empty())
            scheduler.advance(10ms);
        scheduler.advance(1s);
        CHECK(engine.report.models.size() == 1);
        CHECK_FALSE(isServing);
        CHECK(releases == 0);
    }
}

// Guards against requests on corrupt weights: an engine takes the staged chunks when it accepts the
// order, which may lie in its buffers until the verification is outdated.
TEST_CASE("EngineStager lets no engine serve chunks that turned corrupt before a late acceptance")
{
    constexpr std::uint32_t LayerCount = 3;
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    engine.layerCount = LayerCount;
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool isServing = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return std::make_shared<const std::string>(testChunk(2, chunk));
                         },
                         [] {}, [&] { isServing = true; }, [] {}},
                        LayerCount);
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);

    SECTION("after a long silence of the engine")
    {
        engine.onOrder = [&] { engine.corrupt(1); };
        engine.silenceOnOrder = 4s;
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(30s);
    }
    SECTION("after a slow verification and a short silence")
    {
        engine.readTime = 330ms;
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(350ms);
        engine.corrupt(0);
        engine.silenceOnOrder = 1500ms;
        scheduler.advance(60s);
    }
    SECTION("with corrupt chunks in all layers")
    {
        engine.onOrder = [&] {
            for (ChunkIndex i = 0; i < TestChunkCount; ++i)
                engine.corrupt(i);
        };
        engine.silenceOnOrder = 4s;
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(60s);
    }
    // The host process that had ordered them has ended.
    SECTION("when the engine holds layers that this process has not ordered")
    {
        engine.corrupt(0);
        scheduler.advance(4s);
        engine.load({TestModel, 2, 0, LayerRange{0, 2, 2}, {}}, [](const auto &) {});
        scheduler.advance(1s);
        REQUIRE(engine.holdsLongCorrupt());
        stager.scheduleLoad(scheduler.now());
        scheduler.advance(30s);
    }
    CHECK(isServing);
    CHECK_FALSE(engine.holdsLongCorrupt());
    CHECK_FALSE(engine.servedLongCorrupt);
}

// Guards against an engine that keeps corrupt weights because it serves them already when they are
// found.
TEST_CASE("EngineStager has corrupt layers loaded again that the engine serves already")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool isServing = false;
    const auto createStager = [&](std::uint32_t layerCount) {
        return std::make_unique<EngineStager>(
                engine, scheduler, manifest, 2,
                EngineStager::Handlers{[&](ChunkIndex chunk) {
                                           return std::make_shared<const std::string>(
                                                   testChunk(2, chunk));
                                       },
                                       [] {},
                                       [&] {
                                           isServing = true;
                                           CHECK_FALSE(engine.holdsLongCorrupt());
                                       },
                                       [] {}},
                layerCount);
    };
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);
    const auto corruptOnOrder = [&](ChunkIndex chunk) {
        engine.onOrder = [&engine, chunk] { engine.corrupt(chunk); };
        engine.silenceOnOrder = 4s;
    };

    SECTION("the last layer")
    {
        engine.layerCount = 3;
        const auto stager = createStager(3);
        stager->scheduleLoad(scheduler.now());
        while (engine.orders.empty())
            scheduler.advance(1ms);
        corruptOnOrder(5);
        scheduler.advance(30s);
        CHECK(isServing);
        CHECK(engine.loadedLongCorrupt);
    }
    SECTION("a model that is loaded as a whole")
    {
        engine.reloadsWhole = true;
        const auto stager = createStager(1);
        corruptOnOrder(5);
        stager->scheduleLoad(scheduler.now());
        scheduler.advance(30s);
        CHECK(isServing);
        CHECK(engine.loadedLongCorrupt);
    }
    SECTION("an engine that loads all layers with each order")
    {
        engine.layerCount = 3;
        engine.ignoresRanges = true;
        const auto stager = createStager(3);
        corruptOnOrder(1);
        stager->scheduleLoad(scheduler.now());
        scheduler.advance(30s);
        CHECK(isServing);
        CHECK(engine.loadedLongCorrupt);
    }
}

// Guards against orders without end, and against a version that is never served.
TEST_CASE("EngineStager gives up on corrupt weights that the engine does not load again")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool isServing = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return std::make_shared<const std::string>(testChunk(2, chunk));
                         },
                         [] {}, [&] { isServing = true; }, [] {}});
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);
    engine.onOrder = [&] { engine.corrupt(5); };
    engine.silenceOnOrder = 4s;
    stager.scheduleLoad(scheduler.now());
    scheduler.advance(30s);
    CHECK(isServing);
    CHECK(engine.orders.size() == 1);
}

// Guards against reads of chunks that do not exist, and against a version that is never served, if
// the engine counts more layers than the configuration of its service.
TEST_CASE("EngineStager serves an engine that reports more layers than are configured")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    engine.layerCount = 3;
    const auto manifest = std::make_shared<const Manifest>(testManifest(2));
    bool isServing = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex chunk) {
                             return std::make_shared<const std::string>(testChunk(2, chunk));
                         },
                         [] {}, [&] { isServing = true; }, [] {}});
    for (ChunkIndex i = 0; i < TestChunkCount; ++i)
        engine.staged[i] = testChunk(2, i);
    engine.silenceOnOrder = 4s;
    stager.scheduleLoad(scheduler.now());
    scheduler.advance(30s);
    CHECK(isServing);
    CHECK(std::ranges::max(engine.reads) < TestChunkCount);
}

// Guards against corrupt layers that are taken for sound after their chunks have been fetched and
// staged again.
TEST_CASE("VersionRollout fetches corrupt chunks again that a silent engine has loaded")
{
    constexpr std::uint32_t LayerCount = 3;
    RolloutFixture it;
    it.engine.layerCount = LayerCount;
    it.engine.serve(1);
    it.engine.report.layers = LayerRange{0, LayerCount, 1};
    it.rollout.setLayerCount(TestModel, LayerCount);
    // Only the chunk that was staged last is kept in memory.
    it.engine.onOrder = [&] { it.engine.corrupt(1); };
    it.engine.silenceOnOrder = 4s;
    it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
    it.scheduler.advance(20s);
    CHECK(it.engine.loadedLongCorrupt);
    CHECK_FALSE(it.engine.servedLongCorrupt);
    CHECK_FALSE(it.engine.holdsLongCorrupt());
    CHECK(it.isServing(2));
    CHECK(it.engine.report.layers == LayerRange{0, LayerCount, 2});
}

// Guards against weights with chunks of two versions: the next version is staged before the engine
// accepts an order for the one before.
TEST_CASE("VersionRollout stages no newer version while an order may still be accepted")
{
    RolloutFixture it;
    bool isOrdered = false;
    const auto holdNextOrder = [&](Duration hold) {
        it.engine.onOrder = [&] { isOrdered = true; };
        it.engine.orderHold = hold;
    };
    const auto advanceToOrder = [&] {
        while (!isOrdered)
            it.scheduler.advance(1ms);
    };

    SECTION("that was sent again after a restart of the engine")
    {
        const Duration hold = GENERATE(as<Duration>{}, 20ms, 40ms, 80ms, 160ms, 1s, 4s);
        INFO("accepted after " << hold.count() << " us");
        it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
        while (it.engine.orders.empty())
            it.scheduler.advance(1ms);
        it.scheduler.advance(50ms);
        it.engine.restart();
        holdNextOrder(hold);
        advanceToOrder();
        it.rollout.setWantedVersion(TestModel, 3, std::nullopt);
        it.scheduler.advance(20s);
    }
    SECTION("that was not answered, while a lost chunk is fetched")
    {
        const Duration hold = GENERATE(as<Duration>{}, 1820ms, 1860ms, 1900ms);
        INFO("accepted after " << hold.count() << " us");
        it.rollout.setWantedVersion(TestModel, 2, std::nullopt);
        holdNextOrder(hold);
        advanceToOrder();
        it.scheduler.advance(FakeEngine::ClientTimeout);
        it.engine.corrupt(0);
        // The next verification finds it and restarts the transfer.
        it.origin->manifestFailures = 1;
        it.scheduler.advance(280ms);
        it.rollout.setWantedVersion(TestModel, 3, std::nullopt);
        it.scheduler.advance(20s);
    }
    CHECK_FALSE(it.engine.loadedOtherVersion);
    CHECK(it.isServing(3));
}
