#include "swarm.h"

#include <catch2/catch.hpp>

#include <deque>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

constexpr ChunkIndex Chunks = 60;
constexpr std::uint64_t RequestsPerCopy = Chunks; // origin requests for one copy of the weights

struct Setup
{
    explicit Setup(std::uint64_t seed, int hosts = 8, int regions = 1,
                   TransferSettings settings = Swarm::testSettings())
        : swarm(seed, settings)
    {
        swarm.publish(manifest);
        for (int i = 0; i < hosts; ++i)
            swarm.addHost(name(i), "r" + std::to_string(1 + i % regions));
    }

    static std::string name(int host) { return "h" + std::to_string(host); }

    Manifest manifest = makeManifest("v1", Chunks);
    Swarm swarm;
};

template <typename T>
int countActions(const TransferActions &actions)
{
    int n = 0;
    for (const TransferAction &action : actions)
        n += std::holds_alternative<T>(action);
    return n;
}

} // namespace

TEST_CASE("A swarm without faults")
{
    const auto hosts = GENERATE(1, 2, 12);
    const auto regions = GENERATE(1, 3);
    Setup setup(1, hosts, regions);

    // Guards against hosts that each fetch all chunks from the origin.
    setup.swarm.startAll(setup.manifest);
    CHECK(setup.swarm.runUntilServable(setup.manifest));
    CHECK(setup.swarm.originRequests() == Chunks);
    CHECK(setup.swarm.violations.empty());
}

TEST_CASE("Faulty replies")
{
    struct Row
    {
        const char *fault;
        std::function<void(Reply &, Random &)> apply;
        std::uint64_t TransferCounters::*counter; ///< Must not be 0 afterwards.
    };
    const auto row = GENERATE(values<Row>({
            {"corrupt",
             [](Reply &reply, Random &random) {
                 if (random.chance(0.1))
                     reply.change = [](std::string &bytes) { bytes[100] ^= 1; };
             },
             &TransferCounters::chunksCorrupt},
            {"truncated",
             [](Reply &reply, Random &random) {
                 if (random.chance(0.1))
                     reply.change = [](std::string &bytes) { bytes.resize(bytes.size() / 2); };
             },
             &TransferCounters::chunksCorrupt},
            {"of another chunk",
             [](Reply &reply, Random &random) {
                 if (random.chance(0.1))
                     reply.change = [](std::string &bytes) { bytes = chunkBytes("x", 0, 1024); };
             },
             &TransferCounters::chunksCorrupt},
            {"reordered",
             [](Reply &reply, Random &random) {
                 reply.delay = Duration(static_cast<std::int64_t>(random.below(200000)));
             },
             &TransferCounters::bytesFromRegionPeers},
            {"duplicate", [](Reply &reply, Random &) { reply.copies = 2; },
             &TransferCounters::chunksUnasked},
            {"later than the stall timeout",
             [](Reply &reply, Random &random) {
                 if (random.chance(0.1))
                     reply.delay = 5s;
             },
             &TransferCounters::chunksUnasked},
            {"lost", [](Reply &reply, Random &random) { reply.lost = random.chance(0.1); },
             &TransferCounters::requestsStalled},
            {"failed",
             [](Reply &reply, Random &random) {
                 if (random.chance(0.1))
                     reply.code = ResultCode::ChunkSourceUnreachable;
             },
             &TransferCounters::requestsFailed},
    }));
    const auto seed = GENERATE(1, 2, 3);
    INFO(row.fault << ", seed " << seed);
    Setup setup(static_cast<std::uint64_t>(seed));
    Random random(static_cast<std::uint64_t>(seed));
    setup.swarm.onReply = [&](const std::string &, const std::string &, const Digest &) {
        Reply reply;
        row.apply(reply, random);
        return reply;
    };
    setup.swarm.startAll(setup.manifest);
    CHECK(setup.swarm.runUntilServable(setup.manifest));
    setup.swarm.run(10s); // late replies
    CHECK(setup.swarm.violations.empty());
    CHECK(setup.swarm.sum(row.counter) > 0);
}

// Guards against chunks and events that are accepted without a matching request or transfer.
TEST_CASE("Unsolicited chunks and events of unknown transfers are ignored")
{
    Setup setup(1, 1);
    Swarm &swarm = setup.swarm;
    TransferPlanner &planner = swarm.planner("h0");
    auto bytes = std::make_shared<const std::string>(chunkBytes("v1/0", 0, 1024));
    CHECK(planner.chunkArrived(swarm.now, 99, bytes).empty());
    CHECK(planner.chunkFailed(swarm.now, 99, ResultCode::ChunkNotHeld).empty());
    CHECK(planner.engineAccepted(swarm.now, setup.manifest.digest(), 0).empty());
    CHECK(planner.engineLoaded(swarm.now, setup.manifest.digest()).empty());
    CHECK(planner.counters().chunksUnasked == 1);
    swarm.start("h0", setup.manifest);
    CHECK(countActions<ReportServable>(planner.engineLoaded(swarm.now, setup.manifest.digest()))
          == 0);
    CHECK(countActions<FinishLoad>(planner.engineAccepted(swarm.now, setup.manifest.digest(), 0))
          == 0);
}

// Guards against weights that become servable although they do not match their manifest.
TEST_CASE("A transfer whose manifest does not match the weights fails")
{
    Setup setup(1, 4);
    setup.swarm.onReply = [](const std::string &from, const std::string &, const Digest &) {
        Reply reply;
        if (from.empty())
            reply.change = [](std::string &bytes) { bytes[0] ^= 1; };
        return reply;
    };
    setup.swarm.startAll(setup.manifest);
    CHECK_FALSE(setup.swarm.runUntilServable(setup.manifest, 5min));
    CHECK(setup.swarm.violations.empty());
    REQUIRE_FALSE(setup.swarm.failures.empty());
    for (const auto &[host, errors] : setup.swarm.failures)
        CHECK(errors.front().code == ResultCode::TransferUnverifiable);
}

// Guards against a peer that wastes the bandwidth of others indefinitely.
TEST_CASE("A peer that sends only bad chunks is excluded")
{
    Setup setup(1);
    std::uint64_t bad = 0;
    setup.swarm.onReply = [&](const std::string &from, const std::string &, const Digest &) {
        Reply reply;
        if (from == "h3") {
            ++bad;
            reply.change = [](std::string &bytes) { bytes[0] ^= 1; };
        }
        return reply;
    };
    setup.swarm.startAll(setup.manifest);
    CHECK(setup.swarm.runUntilServable(setup.manifest));
    CHECK(setup.swarm.sum(&TransferCounters::peersExcluded) > 0);
    CHECK(bad < 60); // about 4 per host until exclusion, plus those in flight
}

TEST_CASE("Hosts that die")
{
    const auto share = GENERATE(0, 50, 99); // percentage of chunks that h1 has verified
    const auto announced = GENERATE(true, false);
    const auto regions = GENERATE(1, 3);
    const auto seed = GENERATE(1, 2);
    INFO(share << "%, announced " << announced << ", regions " << regions << ", seed " << seed);
    Setup setup(static_cast<std::uint64_t>(seed), 12, regions);
    Swarm &swarm = setup.swarm;
    swarm.startAll(setup.manifest);
    const auto verified = [&](const std::string &host) {
        return swarm.planner(host).status().front().verified;
    };
    // With several regions, h1 is a relay between them.
    while (verified("h1") * 100 < static_cast<ChunkIndex>(share) * Chunks)
        swarm.run(5ms);
    swarm.kill("h1", announced);
    swarm.kill("h4", announced);
    CHECK(swarm.runUntilServable(setup.manifest));
    CHECK(swarm.violations.empty());
    CHECK(swarm.originRequests() <= Chunks * 3 / 2);
}

// Guards against a region that keeps requesting a chunk from its only holder although that sends
// nothing, for example because its link is cut in one direction, while other hosts are lost.
TEST_CASE("A region whose only holder of a chunk is silent gets the chunk elsewhere")
{
    const auto seed = GENERATE(range(1, 13));
    INFO("seed " << seed);
    Setup setup(static_cast<std::uint64_t>(seed), 20, 3);
    Swarm &swarm = setup.swarm;
    const std::string silent = Setup::name(seed);
    const TimePoint silentAt = swarm.now + 60ms;
    swarm.onReply = [&](const std::string &source, const std::string &, const Digest &) {
        Reply reply;
        reply.lost = source == silent && swarm.now >= silentAt;
        return reply;
    };
    swarm.startAll(setup.manifest);
    swarm.run(80ms);
    swarm.kill(Setup::name((seed + 2) % 20));
    swarm.kill(Setup::name((seed + 5) % 20));
    CHECK(swarm.runUntilServable(setup.manifest, 60s));
    CHECK(swarm.violations.empty());
}

TEST_CASE("Origin faults")
{
    Setup setup(1);
    Swarm &swarm = setup.swarm;
    const TimePoint end = swarm.now + 30s;
    const auto failOrigin = [&](ResultCode code) {
        swarm.onReply = [&swarm, end, code](const std::string &from, const std::string &,
                                            const Digest &) {
            Reply reply;
            if (from.empty() && swarm.now < end)
                reply.code = code;
            return reply;
        };
    };

    // Guards against transfers that fail, or that overload an origin that is down with requests.
    SECTION("down for a while")
    {
        failOrigin(ResultCode::ChunkSourceUnreachable);
        swarm.startAll(setup.manifest);
        swarm.run(30s);
        CHECK(swarm.originRequests() < 200);
        CHECK(swarm.runUntilServable(setup.manifest));
    }
    // Guards against hosts whose retry budget is spent on refused connections when the origin
    // recovers: they then sent it only one request per second.
    SECTION("without a connection for a while")
    {
        failOrigin(ResultCode::PlatformUnreachable);
        swarm.startAll(setup.manifest);
        swarm.run(30s);
        const std::uint64_t requestsDuringOutage = swarm.originRequests();
        CHECK(swarm.runUntilServable(setup.manifest, 20s));
        CHECK(swarm.originRequests() - requestsDuringOutage <= Chunks * 3 / 2);
    }
    SECTION("slow")
    {
        swarm.onReply = [](const std::string &from, const std::string &, const Digest &) {
            Reply reply;
            reply.delay = from.empty() ? Duration(1500ms) : Duration(5ms);
            return reply;
        };
        swarm.startAll(setup.manifest);
        CHECK(swarm.runUntilServable(setup.manifest));
        CHECK(swarm.originRequests() <= 2 * RequestsPerCopy);
    }
    // Guards against a host that retries before the delay requested by the origin.
    SECTION("refusing")
    {
        std::map<std::string, std::vector<TimePoint>> refused; // when the refusals arrive
        bool early = false;
        int refusals = 0;
        swarm.onReply = [&](const std::string &from, const std::string &to, const Digest &) {
            Reply reply;
            if (!from.empty())
                return reply;
            for (const TimePoint time : refused[to])
                early = early || (swarm.now > time && swarm.now < time + 4s);
            if (refusals < 20) {
                ++refusals;
                reply.code = ResultCode::OriginRefused;
                reply.retryAfter = 4s;
                refused[to].push_back(swarm.now + reply.delay);
            }
            return reply;
        };
        swarm.startAll(setup.manifest);
        CHECK(swarm.runUntilServable(setup.manifest));
        CHECK(swarm.sum(&TransferCounters::originRefusals) == 20);
        CHECK_FALSE(early);
    }
    CHECK(swarm.violations.empty());
}

// Guards against stalls on one side of a partition, and against a burst of origin requests when it
// heals.
TEST_CASE("A partitioned zone completes after healing")
{
    Setup setup(1, 12, 3);
    Swarm &swarm = setup.swarm;
    const TimePoint from = swarm.now + 100ms;
    const TimePoint end = swarm.now + 60s;
    swarm.connected = [&](const std::string &a, const std::string &b) {
        const bool cut = swarm.now >= from && swarm.now < end;
        return !cut || (std::stoi(a.substr(1)) % 3 == 1) == (std::stoi(b.substr(1)) % 3 == 1);
    };
    swarm.startAll(setup.manifest);
    CHECK(swarm.runUntilServable(setup.manifest));
    CHECK(swarm.violations.empty());
    CHECK(swarm.originRequests() <= 2 * RequestsPerCopy);
}

TEST_CASE("Late hosts")
{
    Setup setup(1, 6);
    Swarm &swarm = setup.swarm;

    // Guards against hosts that never learn of each other.
    SECTION("a late host list costs only extra copies")
    {
        for (int i = 0; i < 6; ++i) {
            TransferOrder order = swarm.order(setup.manifest);
            std::erase_if(order.participants, [&](const Participant &p) {
                return p.host.value() != Setup::name(i) && p.host.value() != "h0";
            });
            swarm.apply(Setup::name(i), swarm.planner(Setup::name(i)).start(swarm.now, order));
        }
        swarm.run(100ms);
        for (int i = 0; i < 6; ++i) {
            for (const Participant &p : swarm.order(setup.manifest).participants)
                swarm.apply(Setup::name(i),
                            swarm.planner(Setup::name(i))
                                    .peerJoined(swarm.now, setup.manifest.digest(), p));
        }
        CHECK(swarm.runUntilServable(setup.manifest));
        CHECK(swarm.originRequests() <= 6 * RequestsPerCopy);
    }
    // Guards against origin traffic for each late joiner.
    SECTION("a late joiner fetches from the retaining hosts")
    {
        const std::string region = GENERATE("r1", "r2"); // r2: the first host of its region
        swarm.startAll(setup.manifest);
        REQUIRE(swarm.runUntilServable(setup.manifest));
        swarm.run(30s);
        const std::uint64_t before = swarm.originRequests();
        std::uint64_t held = 0;
        for (int i = 0; i < 6; ++i)
            held += swarm.planner(Setup::name(i)).store().usedBytes();
        CHECK(held == 2 * setup.manifest.totalBytes); // other copies are freed
        swarm.addHost("h6", region);
        for (int i = 0; i < 6; ++i)
            swarm.apply(Setup::name(i), swarm.planner(Setup::name(i))
                                                .peerJoined(swarm.now, setup.manifest.digest(),
                                                            {HostId("h6"), ZoneId(region + "a"),
                                                             RegionId(region)}));
        swarm.start("h6", setup.manifest);
        CHECK(swarm.runUntilServable(setup.manifest));
        CHECK(swarm.originRequests() == before);
    }
    CHECK(swarm.violations.empty());
}

// Guards against a new host that never learns which chunks the others hold.
TEST_CASE("Hosts send a full update to a new peer and reply to its request for one")
{
    Setup setup(1, 2);
    Swarm &swarm = setup.swarm;
    swarm.startAll(setup.manifest);
    TransferPlanner &planner = swarm.planner("h0");
    const auto fullUpdates = [](const TransferActions &actions, bool wantReply) {
        return std::ranges::count_if(actions, [&](const TransferAction &action) {
            const auto *announce = std::get_if<AnnounceHave>(&action);
            return announce && announce->peer == HostId("h9") && announce->update.full
                   && announce->update.wantReply == wantReply;
        });
    };
    HaveUpdate update;
    update.transfer = setup.manifest.digest();
    update.full = true;
    update.bitmap = "zz";
    planner.peerHave(swarm.now, HostId("h1"), update);
    CHECK(planner.counters().updatesInvalid == 1);
    update.wantReply = true;
    CHECK(fullUpdates(planner.peerHave(swarm.now, HostId("h9"), update), false) == 1);
    CHECK(fullUpdates(planner.peerJoined(swarm.now, setup.manifest.digest(),
                                         {HostId("h9"), ZoneId("r1a"), RegionId("r1")}),
                      true)
          == 1);
}

// Guards against slots that stay occupied by uploads to a dead host.
TEST_CASE("Upload slots are bounded and freed when the peer dies")
{
    Setup setup(1, 3);
    Swarm &swarm = setup.swarm;
    swarm.startAll(setup.manifest);
    REQUIRE(swarm.runUntilServable(setup.manifest));
    TransferPlanner &planner = swarm.planner("h0");
    const Digest &chunk = setup.manifest.chunks[0];
    const auto requestChunk = [&](const char *peer, UploadId upload) {
        return planner.chunkRequested(swarm.now, HostId(peer), chunk, upload);
    };
    CHECK(countActions<ServeChunk>(requestChunk("h1", 1001)) == 1);
    CHECK(countActions<ServeChunk>(requestChunk("h1", 1002)) == 1);
    CHECK(countActions<ServeChunk>(requestChunk("h2", 1003)) == 0);
    CHECK(countActions<ServeChunk>(planner.peerLeft(swarm.now, HostId("h1"))) == 1);
    // One more slot is free; then at most four requests of one peer may wait.
    for (UploadId upload = 2000; upload < 2006; ++upload)
        CHECK(countActions<RefuseChunk>(requestChunk("h2", upload)) == (upload == 2005));
    CHECK(countActions<RefuseChunk>(planner.chunkRequested(swarm.now, HostId("h2"), Digest(), 3000))
          == 1);
}

// Guards against origin traffic of a joiner whose first updates are lost.
TEST_CASE("A joiner that knows no holder tries the retaining hosts")
{
    Setup setup(1, 6);
    Swarm &swarm = setup.swarm;
    swarm.startAll(setup.manifest);
    REQUIRE(swarm.runUntilServable(setup.manifest));
    swarm.run(30s);
    const std::uint64_t before = swarm.originRequests();
    const TimePoint end = swarm.now + 500ms;
    swarm.connected = [&](const std::string &a, const std::string &b) {
        return (a != "h6" && b != "h6") || swarm.now >= end;
    };
    swarm.addHost("h6");
    swarm.start("h6", setup.manifest);
    CHECK(swarm.runUntilServable(setup.manifest));
    // Only the chunks for which h6 is first in rank, about a seventh.
    CHECK(swarm.originRequests() - before < Chunks / 3);
    CHECK(swarm.violations.empty());
}

// Guards against fallback delays for the chunks of hosts that are known to be dead.
TEST_CASE("The next hosts in rank replace dead hosts at once")
{
    Setup setup(1, 6);
    setup.swarm.startAll(setup.manifest);
    for (int i = 1; i < 6; ++i)
        setup.swarm.kill(Setup::name(i));
    CHECK(setup.swarm.runUntilServable(setup.manifest, 900ms));
}

TEST_CASE("Versions")
{
    Setup setup(1, 6);
    Swarm &swarm = setup.swarm;
    std::vector<std::string> contents;
    contents.reserve(60);
    for (int i = 0; i < 60; ++i)
        contents.push_back((i < 40 ? "v1/" : "v2/") + std::to_string(i));
    const Manifest second = makeManifest("v2", contents);
    swarm.publish(second, contents);
    swarm.startAll(setup.manifest);

    // Guards against mixing two versions, and against fetching equal chunks twice.
    SECTION("a new version replaces an unfinished one and reuses equal chunks")
    {
        const auto span = GENERATE(Duration(1ms), Duration(60ms), Duration(90ms));
        swarm.run(span);
        for (int i = 0; i < 6; ++i) {
            swarm.start(Setup::name(i), second);
            swarm.run(3ms); // hosts switch versions at different times
        }
        CHECK(swarm.runUntilServable(second));
        CHECK(swarm.failures.at("h0").front().code == ResultCode::TransferSuperseded);
        CHECK(swarm.originRequests() <= 60 + 20 + 40);
        if (span > 50ms)
            CHECK(swarm.sum(&TransferCounters::bytesReused) > 0);
        CHECK_FALSE(swarm.servable("h0", setup.manifest));
    }
    // Guards against fetching chunks again for a rollback.
    SECTION("rollback to a held version fetches no bytes")
    {
        REQUIRE(swarm.runUntilServable(setup.manifest));
        swarm.startAll(second);
        REQUIRE(swarm.runUntilServable(second));
        const std::uint64_t before = swarm.originRequests();
        for (int i = 0; i < 6; ++i) {
            const auto actions =
                    swarm.planner(Setup::name(i)).start(swarm.now, swarm.order(setup.manifest));
            CHECK(countActions<ReportServable>(actions) == 1);
            CHECK(countActions<RequestChunk>(actions) == 0);
        }
        swarm.run(10s);
        CHECK(swarm.originRequests() == before);
        CHECK(before == 80);
    }
    // Guards against actions of a cancelled transfer and against memory that it still uses.
    SECTION("cancel at any point")
    {
        const auto span = GENERATE(Duration(0), Duration(20ms), Duration(70ms), Duration(10s));
        swarm.run(span);
        for (int i = 0; i < 6; ++i) {
            TransferPlanner &planner = swarm.planner(Setup::name(i));
            swarm.apply(Setup::name(i), planner.cancel(swarm.now, setup.manifest.digest()));
            CHECK(planner.store().usedBytes() == 0);
            CHECK(planner.status().empty());
        }
        const std::uint64_t before = swarm.originRequests();
        swarm.run(10s);
        CHECK(swarm.originRequests() == before);
        CHECK(swarm.failures.at("h0").front().code == ResultCode::TransferCancelled);
        swarm.startAll(setup.manifest);
        CHECK(swarm.runUntilServable(setup.manifest));
    }
    CHECK(swarm.violations.empty());
}

// Guards against an adapter that is loaded on another base version.
TEST_CASE("Adapters load only on their base version")
{
    Setup setup(1, 3);
    Swarm &swarm = setup.swarm;
    Manifest adapter = makeManifest("a1", 8);
    adapter.adapter = AdapterId("adapter");
    adapter.baseVersion = VersionId("v1");
    std::vector<std::string> contents;
    contents.reserve(8);
    for (int i = 0; i < 8; ++i)
        contents.push_back("a1/" + std::to_string(i));
    swarm.publish(adapter, contents);

    SECTION("refused without the base")
    {
        swarm.startAll(adapter);
        CHECK(swarm.failures.at("h0").front().code == ResultCode::BaseVersionUnavailable);
    }
    SECTION("waits for the base and then loads")
    {
        swarm.startAll(setup.manifest);
        swarm.startAll(adapter);
        bool early = false;
        for (int i = 0; i < 2000 && !swarm.servable("h0", adapter); ++i) {
            swarm.run(1ms);
            early = early
                    || (swarm.servable("h0", adapter) && !swarm.servable("h0", setup.manifest));
        }
        CHECK(swarm.runUntilServable(adapter));
        CHECK_FALSE(early);
    }
    SECTION("fails with its base")
    {
        swarm.startAll(setup.manifest);
        swarm.startAll(adapter);
        swarm.run(20ms);
        swarm.apply("h0", swarm.planner("h0").cancel(swarm.now, setup.manifest.digest()));
        CHECK(swarm.failures.at("h0").back().code == ResultCode::BaseVersionUnavailable);
        CHECK(swarm.planner("h0").status().empty());
    }
    CHECK(swarm.violations.empty());
}

// Guards against timeouts that all expire at once after a jump forward, and against timeouts that
// never expire after a jump back.
TEST_CASE("Clock jumps")
{
    const auto jump = GENERATE(Duration(1h), Duration(-30min));
    Setup setup(1);
    Swarm &swarm = setup.swarm;
    const TimePoint at = swarm.now + 60ms;
    swarm.hostClock = [&](const std::string &host, TimePoint now) {
        return host == "h2" && now >= at ? now + jump : now;
    };
    int replies = 0;
    swarm.onReply = [&](const std::string &, const std::string &to, const Digest &) {
        Reply reply; // after the jump back, lost replies are only recovered by timeouts
        reply.lost = jump < 0s && swarm.now >= at && to == "h2" && ++replies % 4 == 0;
        return reply;
    };
    swarm.startAll(setup.manifest);
    CHECK(swarm.runUntilServable(setup.manifest, 1min));
    CHECK(swarm.violations.empty());
    if (jump > 0s) {
        CHECK(swarm.originRequests() == Chunks);
        CHECK(swarm.planner("h2").counters().requestsStalled == 0);
    }
}

// Guards against unbounded memory use: the window holds a third of the chunks.
TEST_CASE("A window smaller than the weights is enough")
{
    TransferSettings settings = Swarm::testSettings();
    settings.windowBytes = 20480;
    Setup setup(1, 12, 1, settings);
    setup.swarm.startAll(setup.manifest);
    CHECK(setup.swarm.runUntilServable(setup.manifest));
    CHECK(setup.swarm.violations.empty());
    CHECK(setup.swarm.sum(&TransferCounters::chunksEvicted) > 0);
}

// Guards against a burst that leaves no bandwidth to another one.
TEST_CASE("Concurrent transfers share the requests by weight")
{
    TransferSettings settings = Swarm::testSettings();
    settings.maxPeerRequests = 12;
    Setup setup(1, 8, 1, settings);
    Swarm &swarm = setup.swarm;
    swarm.onReply = [](const std::string &, const std::string &, const Digest &) {
        Reply reply;
        reply.delay = 20ms;
        return reply;
    };
    Manifest other = makeManifest("o1", Chunks);
    other.deployment = DeploymentId("other");
    swarm.publish(other);
    std::map<Digest, std::uint32_t> maxOutstanding;
    for (const auto &[manifest, weight] : {std::pair(setup.manifest, 5U), std::pair(other, 1U)}) {
        for (int i = 0; i < 8; ++i) {
            TransferOrder order = swarm.order(manifest);
            order.weight = weight;
            swarm.apply(Setup::name(i), swarm.planner(Setup::name(i)).start(swarm.now, order));
        }
    }
    for (int i = 0; i < 1000; ++i) {
        swarm.run(1ms);
        const auto status = swarm.planner("h0").status();
        if (std::ranges::any_of(status,
                                [](const TransferStatus &s) { return s.verified == s.chunks; }))
            break;
        for (const TransferStatus &s : status)
            maxOutstanding[s.transfer] = std::max(maxOutstanding[s.transfer], s.outstanding);
    }
    // A sixth of the requests to peers, plus those to the origin.
    CHECK(maxOutstanding[other.digest()] <= 2 + settings.maxOriginRequests);
    CHECK(maxOutstanding[setup.manifest.digest()] > maxOutstanding[other.digest()]);
    CHECK(swarm.runUntilServable(setup.manifest));
    CHECK(swarm.runUntilServable(other));
    CHECK(swarm.violations.empty());
}

// Guards against delivering, serving or reporting unverified or incomplete weights under a mixture
// of faults. The swarm checks every action.
TEST_CASE("Invariants hold under random faults")
{
    for (std::uint64_t seed = 1; seed <= 150; ++seed) {
        INFO("seed " << seed);
        Random random(seed);
        Setup setup(seed, 4 + static_cast<int>(random.below(8)),
                    1 + static_cast<int>(random.below(3)));
        Swarm &swarm = setup.swarm;
        swarm.onReply = [&](const std::string &, const std::string &, const Digest &) {
            Reply reply;
            reply.delay = Duration(static_cast<std::int64_t>(random.below(20000)));
            reply.copies = 1 + static_cast<int>(random.below(2));
            reply.lost = random.chance(0.03);
            if (random.chance(0.05))
                reply.change = [&](std::string &bytes) { bytes.resize(random.below(2048)); };
            if (random.chance(0.02))
                reply.code = ResultCode::ChunkSourceUnreachable;
            return reply;
        };
        swarm.startAll(setup.manifest);
        swarm.run(Duration(static_cast<std::int64_t>(random.below(200000))));
        swarm.kill("h2", random.chance(0.5));
        if (random.chance(0.3))
            swarm.apply("h1", swarm.planner("h1").cancel(swarm.now, setup.manifest.digest()));
        swarm.run(Duration(static_cast<std::int64_t>(random.below(200000))));
        if (swarm.planner("h1").status().empty())
            swarm.start("h1", setup.manifest);
        const bool done = swarm.runUntilServable(setup.manifest);
        CHECK(done);
        CHECK(swarm.violations.empty());
    }
}

TEST_CASE("Chunks that a host finds without a request")
{
    const Manifest manifest = makeManifest("v1", 4);
    TransferPlanner planner(HostId("h0"), Swarm::testSettings(), 1);
    TransferOrder order;
    order.manifest = manifest;
    order.originRegion = RegionId("r1");
    TimePoint now{1h};
    planner.start(now, order);
    const auto found = [&](ChunkIndex chunk, std::string bytes) {
        return planner.chunkFound(now, manifest.digest(), chunk,
                                  std::make_shared<const std::string>(std::move(bytes)));
    };
    const auto content = [&](ChunkIndex chunk) {
        return chunkBytes("v1/" + std::to_string(chunk), 0, manifest.chunkSize(chunk));
    };

    SECTION("are delivered to the engine")
    {
        CHECK(countActions<DeliverToEngine>(found(2, content(2))) == 1);
        CHECK(planner.status().front().verified == 1);
    }
    SECTION("are discarded if the bytes are wrong or the chunk does not exist")
    {
        CHECK(countActions<DeliverToEngine>(found(2, content(1))) == 0);
        CHECK(countActions<DeliverToEngine>(found(9, content(2))) == 0);
        CHECK(planner.status().front().verified == 0);
    }
    SECTION("count once")
    {
        found(2, content(2));
        CHECK(countActions<DeliverToEngine>(found(2, content(2))) == 0);
    }
}

// Guards against a long queue of requested chunks on a link whose rate falls to an eighth during a
// transfer. Requests for the engine are delayed by that queue until their clients have given up.
TEST_CASE("Outstanding requests adapt to the rate of the link")
{
    constexpr ChunkIndex Count = 60;
    constexpr Duration SlowChunk = 220ms;
    const Manifest manifest = makeManifest("v1", Count);
    TransferSettings settings = Swarm::testSettings();
    settings.maxQueueTime = 400ms;
    settings.hostRate = 37.0 * manifest.chunkBytes;
    settings.maxPeerRequests = 6;
    settings.maxRequestsPerPeer = 6;
    settings.stallTimeout = 10s;
    TransferPlanner planner(HostId("h0"), settings, 1);
    TransferOrder order;
    order.manifest = manifest;
    order.originRegion = RegionId("other");
    order.participants = {{HostId("h0"), ZoneId("z"), RegionId("r1")},
                          {HostId("h1"), ZoneId("z"), RegionId("r1")}};
    TimePoint now{1h};
    std::deque<RequestChunk> outstanding;
    const auto collectRequests = [&](const TransferActions &actions) {
        for (const TransferAction &action : actions) {
            if (const auto *request = std::get_if<RequestChunk>(&action))
                outstanding.push_back(*request);
        }
    };
    collectRequests(planner.start(now, order));
    HaveUpdate update;
    update.transfer = manifest.digest();
    for (ChunkIndex i = 0; i < Count; ++i)
        update.added.push_back(i);
    collectRequests(planner.peerHave(now, HostId("h1"), update));
    CHECK(outstanding.size() == 6);
    for (int i = 0; i < 24; ++i) {
        now += SlowChunk;
        const RequestChunk arrived = outstanding.front();
        outstanding.pop_front();
        auto bytes = std::make_shared<const std::string>(
                chunkBytes("v1/" + std::to_string(arrived.chunk), 0, arrived.bytes));
        collectRequests(planner.chunkArrived(now, arrived.request, bytes));
    }
    CHECK(outstanding.size() == 2);
}

// A host process that shares a machine with its engine has little memory; its chunks are unloaded
// because the engine keeps them anyway.
TEST_CASE("Chunks that are unloaded")
{
    const Manifest manifest = makeManifest("v1", 4);
    const Digest id = manifest.digest();
    constexpr UploadId Upload = 5;
    TransferPlanner planner(HostId("h0"), Swarm::testSettings(), 1);
    TransferOrder order;
    order.manifest = manifest;
    order.originRegion = RegionId("r1");
    order.participants = {{HostId("h1"), ZoneId("z"), RegionId("r1")}};
    TimePoint now{1h};
    planner.start(now, order);
    planner.chunkFound(
            now, id, 2,
            std::make_shared<const std::string>(chunkBytes("v1/2", 0, manifest.chunkSize(2))));
    const auto requested = [&] {
        return planner.chunkRequested(now, HostId("h1"), manifest.chunks[2], Upload);
    };

    SECTION("stay in memory until the engine has them")
    {
        planner.chunkUnloaded(now, id, 2);
        CHECK(planner.store().find(manifest.chunks[2]));
    }
    SECTION("are served without bytes")
    {
        planner.engineAccepted(now, id, 2);
        planner.chunkUnloaded(now, id, 2);
        CHECK(planner.store().usedBytes() == 0);
        const TransferActions actions = requested();
        REQUIRE(countActions<ServeChunk>(actions) == 1);
        CHECK_FALSE(std::get<ServeChunk>(actions.front()).bytes);
    }
    SECTION("are refused once they are lost")
    {
        planner.engineAccepted(now, id, 2);
        planner.chunkUnloaded(now, id, 2);
        now += 1s;
        planner.chunkLost(now, id, 2);
        CHECK(countActions<RefuseChunk>(requested()) == 1);
    }
}

// Guards against a host that joins after the others have announced all their chunks and knows only
// a few holders: it received chunks at a third of the rate of its link.
TEST_CASE("A host that lacks chunks asks its peers again what they hold")
{
    constexpr ChunkIndex Count = 40;
    const bool hasProgress = GENERATE(false, true);
    INFO("chunks arrive: " << hasProgress);
    const Manifest manifest = makeManifest("v1", Count);
    TransferSettings settings = Swarm::testSettings();
    settings.viewRefreshInterval = 500ms;
    TransferPlanner planner(HostId("h0"), settings, 1);
    TransferOrder order;
    order.manifest = manifest;
    order.originRegion = RegionId("other");
    order.participants = {{HostId("h0"), ZoneId("z"), RegionId("r1")},
                          {HostId("h1"), ZoneId("z"), RegionId("r1")}};
    TimePoint now{1h};
    planner.start(now, order);
    int asked = 0;
    for (ChunkIndex i = 0; i < 30; ++i) {
        now += 100ms;
        TransferActions actions = planner.tick(now);
        if (hasProgress) {
            auto bytes = std::make_shared<const std::string>(
                    chunkBytes("v1/" + std::to_string(i), 0, manifest.chunkSize(i)));
            for (TransferAction &it : planner.chunkFound(now, manifest.digest(), i, bytes))
                actions.push_back(std::move(it));
        }
        for (const TransferAction &action : actions) {
            const auto *announce = std::get_if<AnnounceHave>(&action);
            asked += announce && announce->update.wantReply ? 1 : 0;
        }
    }
    // About every half second, not at each tick.
    CHECK(asked >= 3);
    CHECK(asked <= 7);
}

TEST_CASE("A transfer with keepOtherVersions lets an older version continue")
{
    TransferPlanner planner(HostId("h0"), Swarm::testSettings(), 1);
    TransferOrder order;
    order.manifest = makeManifest("v1", 4);
    order.originRegion = RegionId("r1");
    const TimePoint now{1h};
    planner.start(now, order);
    order.manifest = makeManifest("v2", 4);

    SECTION("if the flag is set")
    {
        order.keepOtherVersions = true;
        CHECK(countActions<ReportFailed>(planner.start(now, order)) == 0);
        CHECK(planner.status().size() == 2);
    }
    SECTION("otherwise the older one is superseded")
    {
        CHECK(countActions<ReportFailed>(planner.start(now, order)) == 1);
        CHECK(planner.status().size() == 1);
    }
}
