#include "slotfixture.h"

#include <godwit/requests/idempotency.h>
#include <godwit/requests/slotrouter.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

const DeploymentId Deployment("bookings");
const JournalId Journal{HostId("a"), Incarnation{7}, 1};
const WallTime Wall(1'800'000'000s);

struct Fixture
{
    Fixture()
        : successor(Deployment, HostId("b"), Incarnation{1}, {HostId("a"), HostId("b")}, settings,
                    at(0s).now)
    {
        SlotDocument document;
        document.epoch = 1;
        document.slots = {{Journal, 1, {HostId("b")}, {}, {}}};
        storage.put(slotDocumentKey(Deployment), toJsonText(document));
    }

    static Instant at(Duration t) { return {TimePoint(500s) + t, Wall + t}; }

    /// Stores \a segment as written by the owner.
    void write(JournalSegment segment)
    {
        segment.journal = Journal;
        segment.writtenAt = Wall;
        storage.put(Journal.segmentKey(Deployment, segment.number), toJsonText(segment));
    }

    void writeSegment(std::uint64_t writeNumber, std::uint64_t unjournaledCount = 0)
    {
        JournalSegment segment;
        segment.writeNumber = writeNumber;
        segment.unjournaledCount = unjournaledCount;
        segment.keys = {IdempotencyKey("journaled")};
        write(segment);
    }

    void handleOutput(SlotSuccessor::Output out, Duration t)
    {
        if (out.claim)
            claim = out.claim;
        for (const SlotStorageCall &call : out.actions.storage)
            handleOutput(successor.handleStorageReply(storage.execute(call), at(t)), t);
    }

    void run(Duration from, Duration to)
    {
        for (Duration t = from; t < to; t += 100ms)
            handleOutput(successor.tick(at(t)), t);
    }

    bool requestPromise(std::uint64_t writeNumber, Duration t)
    {
        return successor
                .handlePromiseRequest({1, Journal, writeNumber, settings.promiseDuration},
                                      at(t).now)
                .granted;
    }

    SlotSettings settings;
    FakeStorage storage;
    SlotSuccessor successor;
    std::optional<SlotClaim> claim;
};

} // namespace

TEST_CASE("SlotSuccessor")
{
    Fixture f;
    f.writeSegment(1);
    f.run(0s, 3s);
    f.writeSegment(2);
    f.run(3s, 7s);
    f.writeSegment(3);
    f.run(7s, 9s);
    f.writeSegment(4);
    f.run(9s, 11s);
    REQUIRE_FALSE(f.claim);

    // The journal of a live owner must not be closed after a pause of the successor or an outage.
    // This happened because the poll and the first read of the takeover are sent at the same time:
    // the reply to the poll had already updated the known write number when the reply to the read
    // was compared with it.
    SECTION("cancels a takeover if the owner wrote while the successor was paused")
    {
        f.writeSegment(5);
        f.run(30s, 31s);
        CHECK_FALSE(f.claim);
        CHECK(f.storage.value(Journal.segmentKey(Deployment, 0)).find("\"closed\":true")
              == std::string::npos);
        f.writeSegment(6);
        f.run(31s, 36s);
        CHECK_FALSE(f.claim);
    }

    SECTION("takes over when the journal is no longer written, and closes it before reading it")
    {
        f.run(11s, 20s);
        REQUIRE(f.claim);
        CHECK(f.claim->keys
              == std::map<IdempotencyKey, bool>{{IdempotencyKey("journaled"), false}});
        CHECK_FALSE(f.claim->slots.at(0).journalGapUntil);
        const auto segment = f.storage.value(Journal.segmentKey(Deployment, 0));
        CHECK(segment.find("\"closed\":true") != std::string::npos);
    }

    // The slots of a live owner must not be taken over.
    SECTION("does not take over while the owner writes")
    {
        for (std::uint64_t n = 6; n < 14; ++n) {
            f.writeSegment(n);
            f.run(n * 2s, n * 2s + 2s);
        }
        CHECK_FALSE(f.claim);
    }

    // There must not be two owners during an outage.
    SECTION("keeps its promise plus a margin even if the lease has expired")
    {
        REQUIRE(f.requestPromise(4, 12s));
        f.run(12s, 12s + f.settings.promiseDuration + f.settings.promiseMargin);
        CHECK_FALSE(f.claim);
        f.run(17s, 25s);
        REQUIRE(f.claim);
        // Keys that the old owner ran on this promise must not run again.
        CHECK(f.claim->slots.at(0).journalGapUntil);
    }

    SECTION("reports no gap if the owner journaled all keys after the promise")
    {
        REQUIRE(f.requestPromise(4, 11s));
        f.writeSegment(5);
        f.run(11s, 25s);
        REQUIRE(f.claim);
        CHECK_FALSE(f.claim->slots.at(0).journalGapUntil);
    }

    SECTION("reports a gap if the journal states that keys are missing")
    {
        f.writeSegment(5, 1);
        f.run(11s, 25s);
        REQUIRE(f.claim);
        CHECK(f.claim->slots.at(0).journalGapUntil);
    }

    SECTION("refuses promises for journals that it has closed or does not follow")
    {
        f.run(11s, 20s);
        CHECK_FALSE(f.requestPromise(4, 20s));
        const PromiseRequest other{1, {HostId("x"), Incarnation{1}, 1}, 1, 1s};
        CHECK_FALSE(f.successor.handlePromiseRequest(other, f.at(20s).now).granted);
    }

    // A malformed record must not prevent takeovers.
    SECTION("a malformed segment is treated as a gap")
    {
        f.storage.put(Journal.segmentKey(Deployment, 0), "{garbage");
        f.run(11s, 25s);
        REQUIRE(f.claim);
        CHECK(f.claim->slots.at(0).journalGapUntil);
    }
}

// After all successors of an owner were replaced one by one, there must still be a host that can
// take over. An owner must not rely on promises of only the old successors while the new ones may
// already take over.
TEST_CASE("SlotSuccessor replaces the successors of own slots")
{
    Fixture f;
    f.writeSegment(1);
    f.run(0s, 20s);
    REQUIRE(f.claim);
    CHECK(f.claim->slots.at(0).successors == std::vector{HostId("a")});
    f.successor.setHosts({HostId("b"), HostId("c")});
    std::vector<SlotClaim> changes;
    for (Duration t = 20s; t < 30s; t += 100ms) {
        f.claim.reset();
        auto out = f.successor.tick(f.at(t));
        // The reply to every write is lost.
        for (const SlotStorageCall &call : out.actions.storage) {
            const auto reply = f.storage.execute(call);
            auto next = f.successor.handleStorageReply(reply, f.at(t));
            if (next.claim)
                changes.push_back(*next.claim);
            for (const SlotStorageCall &write : next.actions.storage)
                f.storage.execute(write);
        }
    }
    REQUIRE(changes.size() >= 2);
    CHECK(changes.front().slots.at(0).successors == std::vector{HostId("a"), HostId("c")});
    CHECK(changes.back().slots.at(0).successors == std::vector{HostId("c")});
}

// A restarted successor does not know the promises of its earlier process, so it must assume a gap.
TEST_CASE("SlotSuccessor reports a gap if it has not seen the owner write")
{
    Fixture f;
    f.writeSegment(9);
    f.run(0s, 20s);
    REQUIRE(f.claim);
    CHECK(f.claim->slots.at(0).journalGapUntil);
}

TEST_CASE("Malformed stored records are refused")
{
    const auto slots = GENERATE(
            R"({"slots":[]})", R"([])", R"({"format":2,"slots":[{"journal":{"host":"a"}}]})",
            R"({"slots":[{"journal":{"host":""}}]})", R"({"slots":[{"journal":{"host":"a/b"}}]})",
            R"({"slots":[{"journal":{"host":"a"},"epoch":3}]})",
            R"({"slots":[{"journal":{"host":"a"},"successors":["b","c","d"]}]})",
            R"({"slots":[{"journal":{"host":"a"},"successors":["a"]}]})");
    CHECK_FALSE(succeeded(capture([&] { return parseSlotDocument(slots); })));
    const auto segment =
            GENERATE(R"({})", R"({"journal":{"host":"a","process":1},"beat":0})",
                     R"({"journal":{"host":"a","process":1},"beat":1,"number":1,"first":2})",
                     R"({"journal":{"host":"a","process":1},"beat":1,"keys":[""]})",
                     R"({"journal":{"host":"a","process":1},"beat":1,"keys":["a b"]})");
    CHECK_FALSE(succeeded(capture([&] { return parseJournalSegment(segment); })));
}

TEST_CASE("Creation time of UUIDv7 keys")
{
    CHECK(keyCreationTime(IdempotencyKey("01a3185c-5000-7000-8000-000000000001")) == Wall);
    const auto other =
            GENERATE("01a3185c-5000-4000-8000-000000000001", "01a3185c-5000-7000-c000-000000000001",
                     "01a3185c-5000-7000-8000-00000000000", "plain");
    CHECK_FALSE(keyCreationTime(IdempotencyKey(other)));
}

// An entry process must not wait for a failed owner until the deadline.
TEST_CASE("SlotRouter excludes unresponsive hosts and hosts that do not own the slot")
{
    SlotRouter router;
    const IdempotencyKey key("k");
    const TimePoint now(10s);
    CHECK_FALSE(router.selectHost(key, now));
    SlotDocument document;
    document.epoch = 1;
    document.slots = {{Journal, 1, {HostId("b"), HostId("c")}, {}, {}}};
    router.update(document);
    CHECK(router.selectHost(key, now) == HostId("a"));
    router.markUnresponsive(HostId("a"), now);
    CHECK(router.selectHost(key, now) == HostId("b"));
    router.markNotOwner(HostId("b"), key, now);
    CHECK(router.selectHost(key, now) == HostId("c"));
    // A request must not be sent to the same three hosts continuously until the takeover.
    router.markNotOwner(HostId("c"), key, now);
    CHECK_FALSE(router.selectHost(key, now));
    CHECK(router.selectHost(key, now + SlotRouter::ExclusionPeriod) == HostId("a"));
    router.markResponsive(HostId("a"));
    CHECK(router.selectHost(key, now) == HostId("a"));
    document.epoch = 0;
    document.slots[0].journal.host = HostId("z");
    router.update(document);
    CHECK(router.selectHost(key, now) == HostId("a"));
}
