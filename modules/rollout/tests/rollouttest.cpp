#include <godwit/rollout/versionrollout.h>

#include "fakeengine.h"
#include "virtualscheduler.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    VirtualScheduler scheduler;
    FakeEngine engine{scheduler};
    NoPeers peers;
    std::shared_ptr<FakeOrigin> origin = std::make_shared<FakeOrigin>(scheduler);
    VersionRollout rollout{options(), {scheduler, engine, peers}, Random(4)};

    Fixture()
    {
        rollout.setParticipants({{HostId("10.0.0.1"), ZoneId("z"), RegionId("r")}});
        rollout.setOrigin(origin, RegionId("r"));
    }

    static RolloutOptions options()
    {
        RolloutOptions it;
        it.self = HostId("10.0.0.1");
        it.transfer.hostRate = 1e6;
        it.transfer.originRate = 1e6;
        it.transfer.maxBackoff = 500ms;
        it.piecesInMemory = 1;
        return it;
    }

    VersionWindow terms() const { return {scheduler.now(), 8s}; }

    bool serves(std::uint64_t version) const
    {
        return engine.report.models == std::vector<ServedModel>{{TestModel, version}};
    }

    void stageAll(std::uint64_t version)
    {
        for (ChunkIndex i = 0; i < PieceCount; ++i)
            engine.staged[i] = pieceOf(version, i);
    }
};

} // namespace

TEST_CASE("VersionRollout brings a version onto the engine")
{
    Fixture it;

    SECTION("an empty engine loads as soon as the pieces are there")
    {
        it.rollout.want(TestModel, 1, it.terms());
        it.scheduler.advance(1500ms);
        CHECK(it.serves(1));
        CHECK(it.origin->pieces == static_cast<int>(PieceCount));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("an engine that can answer requests waits for its turn")
    {
        it.engine.serve(1);
        it.rollout.want(TestModel, 2, it.terms());
        it.scheduler.advance(3s);
        CHECK(it.engine.orders.empty());
        it.scheduler.advance(4s);
        CHECK(it.serves(2));
    }
    SECTION("not if the version may have been wanted for long")
    {
        it.engine.serve(1);
        it.rollout.want(TestModel, 2, std::nullopt);
        it.scheduler.advance(1500ms);
        CHECK(it.serves(2));
    }
    SECTION("a corrupt piece of the origin is fetched again and never loaded")
    {
        it.origin->corrupt = {0, 3};
        it.rollout.want(TestModel, 1, it.terms());
        it.scheduler.advance(4s);
        CHECK(it.serves(1));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("an origin that is away at first is asked again")
    {
        it.origin->manifestFailures = 5;
        it.rollout.want(TestModel, 1, it.terms());
        it.scheduler.advance(6s);
        CHECK(it.serves(1));
    }
    SECTION("after a restart of the host, staged pieces cost the origin nothing")
    {
        it.stageAll(3);
        it.rollout.want(TestModel, 3, std::nullopt);
        it.scheduler.advance(1s);
        CHECK(it.serves(3));
        CHECK(it.origin->pieces == 0);
    }
    SECTION("staged pieces of another version are not taken for it")
    {
        it.stageAll(2);
        it.rollout.want(TestModel, 3, std::nullopt);
        it.scheduler.advance(2s);
        CHECK(it.serves(3));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("an engine that lost its weights gets them back")
    {
        it.rollout.want(TestModel, 1, it.terms());
        it.scheduler.advance(2s);
        REQUIRE(it.serves(1));
        it.engine.report = EngineReport{};
        it.engine.report.bornMs = 7;
        it.engine.staged.clear();
        it.scheduler.advance(4s);
        CHECK(it.serves(1));
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("an older version than the wanted one is ignored")
    {
        it.rollout.want(TestModel, 2, std::nullopt);
        it.rollout.want(TestModel, 1, std::nullopt);
        it.scheduler.advance(2s);
        CHECK(it.serves(2));
    }
}

// Pattern: most pieces are only in the engine's staging area when peers ask for them.
TEST_CASE("VersionRollout serves pieces that it has staged")
{
    Fixture it;
    const HostId peer("10.0.0.2");
    it.rollout.want(TestModel, 1, it.terms());
    it.scheduler.advance(1500ms);
    REQUIRE(it.serves(1));
    const auto ask = [&](ChunkIndex piece, UploadId upload) {
        it.rollout.chunkRequested(peer, Digest::of(pieceOf(1, piece)), upload);
        it.scheduler.advance(100ms);
    };

    SECTION("as they were checked")
    {
        for (ChunkIndex piece = 0; piece < PieceCount; ++piece) {
            ask(piece, piece + 1);
            REQUIRE(it.peers.served.contains(piece + 1));
            CHECK(*it.peers.served.at(piece + 1) == pieceOf(1, piece));
        }
    }
    // Guards against bytes that rotted in the engine and are passed on.
    SECTION("but not if they have changed there")
    {
        for (ChunkIndex piece = 0; piece < PieceCount; ++piece) {
            it.engine.staged[piece] = std::string(PieceBytes, 'r');
            ask(piece, piece + 1);
            // The last ones may still be in memory.
            if (it.peers.served.contains(piece + 1))
                CHECK(*it.peers.served.at(piece + 1) == pieceOf(1, piece));
            else
                CHECK(it.peers.refused.at(piece + 1) == ResultCode::ChunkNotHeld);
        }
        CHECK(it.peers.refused.size() == PieceCount - 1);
    }
}

TEST_CASE("VersionRollout with two versions in quick succession")
{
    Fixture it;
    it.engine.serve(1);
    it.rollout.want(TestModel, 2, it.terms());

    SECTION("one that is still on its way is dropped")
    {
        it.rollout.want(TestModel, 3, it.terms());
        it.scheduler.advance(8s);
        CHECK(it.serves(3));
        REQUIRE(it.engine.orders.size() == 1);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
    SECTION("one that is staged is loaded first, from its own pieces")
    {
        it.scheduler.advance(3s);
        it.rollout.want(TestModel, 3, it.terms());
        it.scheduler.advance(10s);
        CHECK(it.serves(3));
        REQUIRE(it.engine.orders.size() == 2);
        CHECK(it.engine.orders[0].version == 2);
        CHECK_FALSE(it.engine.loadedWrongBytes);
    }
}

TEST_CASE("EngineStager")
{
    VirtualScheduler scheduler;
    FakeEngine engine(scheduler);
    const auto manifest = std::make_shared<const Manifest>(manifestOf(2));
    bool hasPieces = true;
    bool serving = false;
    bool incomplete = false;
    EngineStager stager(engine, scheduler, manifest, 2,
                        {[&](ChunkIndex piece) {
                             return hasPieces
                                            ? std::make_shared<const std::string>(pieceOf(2, piece))
                                            : ChunkBytes();
                         },
                         [] {}, [&] { serving = true; }, [&] { incomplete = true; }});
    for (ChunkIndex i = 0; i < PieceCount; ++i)
        engine.staged[i] = pieceOf(2, i);

    SECTION("replaces pieces that rotted in the staging area before it orders")
    {
        engine.staged[4] = std::string(PieceBytes, 'r');
        engine.staged.erase(1);
        stager.finish(scheduler.now());
        scheduler.advance(2s);
        CHECK(serving);
        CHECK_FALSE(engine.loadedWrongBytes);
    }
    SECTION("asks for the pieces again if they are nowhere")
    {
        hasPieces = false;
        engine.staged.erase(1);
        stager.finish(scheduler.now());
        scheduler.advance(2s);
        CHECK(incomplete);
        CHECK(engine.orders.empty());
    }
    SECTION("decides anew when the engine refuses the order")
    {
        engine.ordersToRefuse = 3;
        stager.finish(scheduler.now());
        scheduler.advance(4s);
        CHECK(serving);
        CHECK(engine.orders.size() == 1);
    }
    SECTION("waits for an order that is being carried out")
    {
        engine.report.busy = true;
        stager.finish(scheduler.now());
        scheduler.advance(2s);
        CHECK(engine.orders.empty());
        engine.report.busy = false;
        scheduler.advance(2s);
        CHECK(serving);
    }
    SECTION("gives no order for what the engine serves already")
    {
        engine.serve(2);
        stager.finish(scheduler.now());
        scheduler.advance(1s);
        CHECK(serving);
        CHECK(engine.orders.empty());
    }
}
