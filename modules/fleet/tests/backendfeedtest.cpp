#include <godwit/fleet/backendfeed.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture : FeedFixture
{
    FleetBounds bounds;
    std::vector<std::string> log;
    std::map<BackendId, BackendRecord> records;
    BackendFeed feed{platform,
                     store,
                     scheduler,
                     bounds,
                     Random(1),
                     {[this](const BackendRecord &record, StoreRevision) {
                          log.push_back("record " + record.id.value());
                          records[record.id] = record;
                      },
                      [this](const BackendId &id) {
                          log.push_back("removed " + id.value());
                          records.erase(id);
                      }}};

    explicit Fixture(const FleetBounds &given = {})
        : bounds(given)
    {
        feed.start();
        store.completeList(10, {{"servers/a", "ready", StoreRevision{3}, LeaseId{}},
                                {"servers/b", "draining", StoreRevision{4}, LeaseId{}}});
        log.clear();
    }

    /// Makes all calls to the store fail for \a span at least.
    void failCalls(Duration span)
    {
        const TimePoint end = scheduler.now() + span;
        while (scheduler.now() < end)
            failCall();
    }

    void outage(Duration span)
    {
        failCalls(span);
        store.handlers.onConfirmed(StoreRevision{10}, scheduler.now());
    }

    /// Time at which a server that left during the last outage must not be used any more.
    TimePoint graceEnd() const { return failedCallStart + bounds.reconnectionGracePeriod - 500ms; }

    void advanceTo(TimePoint time) { scheduler.advance(time - scheduler.now()); }

    void remove(const std::string &key, std::uint64_t revision)
    {
        store.handlers.onEvents({{{key, {}, StoreRevision{revision}, LeaseId{}}, true}});
    }
};

} // namespace

TEST_CASE("BackendFeed")
{
    Fixture it;

    SECTION("a backend server that leaves while the store is reachable is removed at once")
    {
        it.remove("servers/a", 11);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("a record that expired during an outage of the store has time to return")
    {
        it.outage(3s);
        it.remove("servers/a", 12);
        CHECK(it.log.empty());

        SECTION("and is kept if it does")
        {
            it.advanceTo(it.graceEnd() - 50ms);
            it.store.handlers.onEvents(
                    {{{"servers/a", "ready", StoreRevision{13}, LeaseId{}}, false}});
            it.scheduler.advance(10s);
            CHECK(it.log.empty());
        }
        SECTION("and is removed if it does not")
        {
            it.scheduler.advance(BackendFeed::ReregistrationGrace);
            CHECK(it.log == std::vector<std::string>{"removed a"});
        }
    }
    // Guards against a server that leaves right after an outage being used for the whole grace
    // period, longer than a leaving server may be.
    SECTION("a record that is removed after the feed has caught up is dropped within the drain "
            "limit")
    {
        it.outage(3s);
        it.remove("servers/a", 12);
        it.scheduler.advance(FleetBounds().drainLimit - 400ms);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("a record that expired during the outage has the whole grace period")
    {
        it.failCalls(3s);
        it.remove("servers/a", 12);
        it.store.handlers.onConfirmed(StoreRevision{12}, it.scheduler.now());
        it.advanceTo(it.graceEnd() - 50ms);
        CHECK(it.log.empty());
        it.scheduler.advance(100ms);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("the grace period starts at the end of the outage, not at the removal event")
    {
        it.outage(3s);
        it.advanceTo(it.graceEnd() - 300ms);
        it.remove("servers/a", 12);
        CHECK(it.log.empty());
        it.scheduler.advance(300ms);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    // The last call of an outage takes long to fail, and the store is back soon after it was sent.
    // Guards against a server that has left meanwhile being used after the reconnection period.
    SECTION("the outage may have ended as soon as the last failed call was sent")
    {
        it.failCalls(3s);
        it.advanceTo(it.callStart + 600ms);
        it.failCall();
        it.remove("servers/a", 12);
        it.store.handlers.onConfirmed(StoreRevision{12}, it.scheduler.now());
        CHECK(it.log.empty());
        it.advanceTo(it.graceEnd());
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("after a single failed call a backend server that leaves is removed at once")
    {
        it.outage(1ms);
        REQUIRE(it.store.watchCalls == 2);
        it.remove("servers/a", 12);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("a draining backend server is removed without a grace period")
    {
        it.outage(3s);
        it.remove("servers/b", 12);
        CHECK(it.log == std::vector<std::string>{"removed b"});
    }
    SECTION("a malformed record removes its backend server and no other")
    {
        it.store.handlers.onEvents(
                {{{"servers/a", "garbage", StoreRevision{14}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    // Guards against a backend server being used by a record that is no longer there.
    SECTION("a record of which the decoder throws removes its backend server and no other")
    {
        it.store.handlers.onEvents({{{"servers/a", "throws", StoreRevision{14}, LeaseId{}}, false},
                                    {{"servers/c", "ready", StoreRevision{15}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"removed a", "record c"});
    }
    SECTION("a malformed record of an unknown backend server changes nothing")
    {
        it.store.handlers.onEvents({{{"servers/x", "garbage", StoreRevision{14}, LeaseId{}}, false},
                                    {{"servers/", "garbage", StoreRevision{15}, LeaseId{}}, false},
                                    {{"servers/c", "ready", StoreRevision{16}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"record c"});
    }
    // The grace period is for records that expired in the outage. Guards against requests to a
    // backend server whose record has been overwritten meanwhile.
    SECTION("a malformed record removes its backend server at once also after an outage")
    {
        it.outage(3s);
        it.store.handlers.onEvents(
                {{{"servers/a", "garbage", StoreRevision{14}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"removed a"});

        SECTION("until it has a usable one again")
        {
            it.store.handlers.onEvents(
                    {{{"servers/a", "ready", StoreRevision{15}, LeaseId{}}, false}});
            it.scheduler.advance(10s);
            CHECK(it.log == std::vector<std::string>{"removed a", "record a"});
        }
    }
    SECTION("a malformed record removes a backend server whose record had expired")
    {
        it.outage(3s);
        it.remove("servers/a", 12);
        it.store.handlers.onEvents(
                {{{"servers/a", "garbage", StoreRevision{14}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"removed a"});
        it.scheduler.advance(10s);
        CHECK(it.log.size() == 1);
    }
}

// Guards against servers that need two seconds to register again being dropped although they may
// be used for longer.
TEST_CASE("BackendFeed waits for records no longer than servers need to register again")
{
    FleetBounds bounds;
    bounds.reconnectionGracePeriod = 10s;
    Fixture it(bounds);
    it.failCalls(3s);
    it.remove("servers/a", 12);
    it.store.handlers.onConfirmed(StoreRevision{12}, it.scheduler.now());
    it.scheduler.advance(BackendFeed::ReregistrationGrace - 50ms);
    CHECK(it.log.empty());
    it.scheduler.advance(100ms);
    CHECK(it.log == std::vector<std::string>{"removed a"});
}

// The store comes back from a copy that lacks the last seconds. Engines write their records again.
TEST_CASE("BackendFeed knows better than a store that has come back from a copy")
{
    Fixture it;
    const BackendId a("a");
    const auto entry = [](const std::string &key, const std::string &value,
                          std::uint64_t revision) {
        return KeyValueEntry{key, value, StoreRevision{revision}, LeaseId{}};
    };
    const auto write = [&](const std::string &key, const std::string &value,
                           std::uint64_t revision) {
        it.store.handlers.onEvents({{entry(key, value, revision), false}});
    };
    write("servers/a", "ready 100 4", 11);
    it.log.clear();

    // Guards against requests to a server that has said that it leaves.
    SECTION("a server that drains does not become ready again")
    {
        write("servers/a", "draining 100 4", 12);
        it.store.restore(
                11, {entry("servers/a", "ready 100 4", 11), entry("servers/b", "draining", 4)});
        it.scheduler.advance(10s);
        CHECK(it.records.at(a).draining);
        write("servers/a", "ready 100 5", 12);
        CHECK(it.records.at(a).draining);

        SECTION("unless it has started again")
        {
            write("servers/a", "ready 200 4", 13);
            CHECK_FALSE(it.records.at(a).draining);
        }
    }
    // Guards against requests to a server that has left, or whose address has another server.
    SECTION("a server that was removed is not used")
    {
        it.remove("servers/a", 12);
        it.store.restore(
                11, {entry("servers/a", "ready 100 4", 11), entry("servers/b", "draining", 4)});
        it.scheduler.advance(10s);
        CHECK_FALSE(it.records.contains(a));

        SECTION("until its record is written again")
        {
            write("servers/a", "ready 100 4", 12);
            CHECK(it.records.contains(a));
        }
        // A server that is alive writes its record again only if the record changes.
        SECTION("until it has stayed in the store for longer than that of a server that is gone")
        {
            it.scheduler.advance(BackendFeed::CopiedRecordTimeout - 10s);
            CHECK(it.records.contains(a));
        }
        SECTION("or it is removed once more")
        {
            it.remove("servers/a", 12);
            it.scheduler.advance(BackendFeed::CopiedRecordTimeout);
            CHECK_FALSE(it.records.contains(a));
        }
        SECTION("also if another list shows it at the same revision")
        {
            it.store.handlers.onEnd(Error{ResultCode::WatchCompacted, "410"});
            it.store.completeList(14, {entry("servers/a", "ready 100 4", 11)});
            CHECK_FALSE(it.records.contains(a));
        }
        SECTION("until a record that was written meanwhile is found by a list")
        {
            it.store.handlers.onEnd(Error{ResultCode::WatchCompacted, "410"});
            it.store.completeList(14, {entry("servers/a", "ready 100 4", 13)});
            CHECK(it.records.contains(a));
        }
    }
    SECTION("a server that was removed and has started again is used at once")
    {
        it.remove("servers/a", 12);
        it.store.restore(13, {entry("servers/a", "ready 300 4", 13)});
        CHECK(it.records.contains(a));
    }
    // Guards against the loss of all servers that registered in the time that the copy lacks.
    SECTION("a record that is missing has time to return")
    {
        it.store.restore(10, {entry("servers/b", "draining", 4)});
        CHECK(it.records.contains(a));
        it.store.handlers.onConfirmed(StoreRevision{10}, it.scheduler.now());

        SECTION("and does")
        {
            it.scheduler.advance(1s);
            write("servers/a", "ready 100 4", 11);
            it.scheduler.advance(10s);
            CHECK(it.log.empty());
        }
        SECTION("and does in another copy")
        {
            it.store.restore(
                    12, {entry("servers/a", "ready 100 4", 11), entry("servers/b", "draining", 4)});
            it.scheduler.advance(10s);
            CHECK(it.log.empty());
        }
        SECTION("and does not")
        {
            it.scheduler.advance(BackendFeed::ReregistrationGrace);
            CHECK(it.log == std::vector<std::string>{"removed a"});
        }
    }
    // Guards against engines that count as having older weights than they have, all at once.
    SECTION("an older record of the same process takes effect only if it is not written again")
    {
        write("servers/a", "ready 100 5", 12);
        it.store.restore(
                11, {entry("servers/a", "ready 100 4", 11), entry("servers/b", "draining", 4)});
        CHECK(it.records.at(a).slots == 5);

        SECTION("it is")
        {
            write("servers/a", "ready 100 6", 12);
            it.scheduler.advance(10s);
            CHECK(it.records.at(a).slots == 6);
        }
        SECTION("it is not")
        {
            it.scheduler.advance(BackendFeed::ReregistrationGrace);
            CHECK(it.records.at(a).slots == 4);
        }
    }
    SECTION("an older process of a server does not take the place of the one that is known")
    {
        write("servers/a", "ready 200 4", 12);
        it.store.restore(
                11, {entry("servers/a", "ready 100 4", 11), entry("servers/b", "draining", 4)});
        CHECK(it.records.at(a).startTimeMs == 200);
        it.scheduler.advance(BackendFeed::ReregistrationGrace);
        CHECK_FALSE(it.records.contains(a));
    }
    // Guards against requests to a server that leaves, while what was lost is written again in
    // order.
    SECTION("a process that was removed while it drained is not used when it is written again as "
            "ready")
    {
        write("servers/a", "draining 100 4", 12);
        it.remove("servers/a", 13);
        it.store.restore(10, {entry("servers/b", "draining", 4)});
        write("servers/a", "ready 100 4", 11);
        CHECK((!it.records.contains(a) || it.records.at(a).draining));
        write("servers/a", "ready 300 4", 12);
        CHECK_FALSE(it.records.at(a).draining);
    }
    // Guards against the loss of sound servers that have not had the time to write their records
    // again since the second return.
    SECTION("a record that is missing in two copies has time to return after the second one")
    {
        it.store.restore(10, {entry("servers/b", "draining", 4)});
        it.scheduler.advance(BackendFeed::ReregistrationGrace - 1s);
        it.store.handlers.onPollStarted();
        it.store.restore(9, {entry("servers/b", "draining", 4)});
        it.scheduler.advance(1500ms);
        CHECK(it.records.contains(a));
        it.scheduler.advance(BackendFeed::ReregistrationGrace);
        CHECK_FALSE(it.records.contains(a));
    }
}
