#include <godwit/fleet/crashreportexchange.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

/// Store that keeps the calls of one process; the test completes them.
class RecordingStore : public FakeStore
{
public:
    struct Write
    {
        std::string key;
        StoreRevision expected;
        std::string value;
        LeaseId lease;
        Completion<StoreRevision> done;
    };
    std::vector<Completion<LeaseId>> leases;
    std::vector<Write> writes;

    void compareAndSwap(std::string key, StoreRevision expected, std::string value, LeaseId lease,
                        Completion<StoreRevision> done) override
    {
        writes.push_back({std::move(key), expected, std::move(value), lease, std::move(done)});
    }
    void grantLease(Duration, Completion<LeaseId> done) override { leases.push_back(done); }
};

struct Process
{
    VirtualScheduler &scheduler;
    RecordingStore store;
    std::vector<CrashReport> crashes;
    std::vector<HarmlessContent> harmless;
    CrashReportExchange exchange;

    Process(VirtualScheduler &scheduler, const std::string &name)
        : scheduler(scheduler)
        , exchange(store, scheduler, Random(1), name,
                   {[this](const CrashReport &it) { crashes.push_back(it); },
                    [this](const HarmlessContent &it) { harmless.push_back(it); }})
    {
        exchange.start();
        store.completeList(10, {});
    }

    void receive(const RecordingStore::Write &write, std::uint64_t revision)
    {
        store.handlers.onEvents(
                {{{write.key, write.value, StoreRevision{revision}, write.lease}, false}});
    }
};

CrashReport report(const std::string &backend)
{
    return {{BackendId(backend), 7}, {ContentKey("k1"), ContentKey("k2")}};
}

} // namespace

// Guards against crashes that the other processes do not learn of.
TEST_CASE("CrashReportExchange passes reports on to the other entry processes")
{
    VirtualScheduler scheduler;
    Process writer(scheduler, "one");
    Process reader(scheduler, "two");
    writer.exchange.publish(report("b1"));
    writer.exchange.publish(report("b2"));
    scheduler.advance(CrashReportExchange::BatchDelay);
    REQUIRE(writer.store.leases.size() == 1);
    writer.store.leases[0](LeaseId{5});
    REQUIRE(writer.store.writes.size() == 1);
    const auto write = writer.store.writes[0];
    CHECK(write.lease == LeaseId{5});
    CHECK(write.expected == StoreRevision{0});

    SECTION("crashes that happen together in one write")
    {
        reader.receive(write, 11);
        CHECK(reader.crashes == std::vector{report("b1"), report("b2")});
        writer.receive(write, 11);
        CHECK(writer.crashes.empty());
    }
    // Guards against a process that starts later and cannot tell which content crashed with
    // different requests, or takes crashes of different times for one event.
    SECTION("with the requests, the weights and the time of each crash")
    {
        write.done(StoreRevision{11});
        CrashReport crash{{BackendId("b3"), 7},
                          {},
                          {{{ContentKey("p")}, ContentKey("w1")}},
                          6,
                          scheduler.now()};
        writer.exchange.publish(crash);
        crash.requests = {{{ContentKey("p")}, ContentKey("w2")}};
        writer.exchange.publish(crash);
        const HarmlessContent answered{ContentKey("k3"), 6, AnswerProgress::Complete};
        writer.exchange.publishHarmless(answered);
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.writes.size() == 2);
        reader.receive(writer.store.writes[1], 12);
        crash.requests = {{{ContentKey("p")}, ContentKey("w1")},
                          {{ContentKey("p")}, ContentKey("w2")}};
        CHECK(reader.crashes.back() == crash);
        CHECK(reader.harmless == std::vector{answered});
    }
    SECTION("in a form that earlier releases write and read")
    {
        auto earlier = write;
        earlier.value = R"({"crashes":[{"instance":{"backend":"b1","born_ms":7},)"
                        R"("suspects":["k1","k2"]}],"harmless":["k3"]})";
        reader.receive(earlier, 11);
        REQUIRE(reader.crashes.size() == 1);
        CHECK(reader.crashes[0].suspects == report("b1").suspects);
        CHECK(reader.crashes[0].crashedAt == scheduler.now());
        CHECK(reader.harmless
              == std::vector{HarmlessContent{ContentKey("k3"), HarmlessContent::AnyVersion}});
        CHECK(write.value.find(R"("suspects":["k1","k2"])") != std::string::npos);
    }
    SECTION("that content is harmless is sent again once an answer came further")
    {
        write.done(StoreRevision{11});
        const auto publish = [&](std::uint64_t version, AnswerProgress progress) {
            const std::size_t before = writer.store.writes.size();
            writer.exchange.publishHarmless({ContentKey("k3"), version, progress});
            scheduler.advance(CrashReportExchange::WriteInterval);
            if (writer.store.writes.size() == before)
                return false;
            writer.store.writes.back().done(StoreRevision{12 + before});
            return true;
        };
        CHECK(publish(6, AnswerProgress::Begun));
        CHECK(publish(6, AnswerProgress::Complete));
        CHECK_FALSE(publish(6, AnswerProgress::Begun));
        CHECK(publish(7, AnswerProgress::Complete));
    }
    SECTION("a later one with the same lease, at the revision of the last write")
    {
        write.done(StoreRevision{11});
        writer.exchange.publishHarmless({ContentKey("k3")});
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.leases.size() == 1);
        CHECK(writer.store.writes[1].expected == StoreRevision{11});
        reader.receive(writer.store.writes[1], 12);
        CHECK(reader.harmless == std::vector{HarmlessContent{ContentKey("k3")}});
        CHECK(reader.crashes.size() == 2);
    }
    SECTION("what is learned during a write follows it")
    {
        writer.exchange.publish(report("b3"));
        scheduler.advance(1s);
        CHECK(writer.store.writes.size() == 1);
        write.done(StoreRevision{11});
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.writes.size() == 2);
        reader.receive(writer.store.writes[1], 12);
        CHECK(reader.crashes.size() == 3);
    }
    // A lost response leaves open whether the write has taken effect.
    SECTION("a write whose response is lost is repeated at the revision that is found")
    {
        write.done(Error{ResultCode::PlatformReplyLost, "reset"});
        REQUIRE(writer.store.getCalls == 1);
        writer.store.getDone(std::optional(
                KeyValueEntry{"crashes/one", write.value, StoreRevision{14}, LeaseId{5}}));
        scheduler.advance(CrashReportExchange::RetryDelay);
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.writes[1].expected == StoreRevision{14});
    }
    SECTION("a lease that has ended is replaced")
    {
        write.done(Error{ResultCode::LeaseExpired, "gone"});
        writer.store.getDone(std::optional<KeyValueEntry>());
        scheduler.advance(CrashReportExchange::RetryDelay);
        REQUIRE(writer.store.leases.size() == 2);
    }
    SECTION("reports that are older than their life are not written again")
    {
        write.done(StoreRevision{11});
        scheduler.advance(CrashReportExchange::ReportLifetime);
        writer.exchange.publish(report("b4"));
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.leases.size() == 2);
        writer.store.leases[1](LeaseId{6});
        reader.receive(writer.store.writes.back(), 12);
        CHECK(reader.crashes == std::vector{report("b4")});
        // The key has ended with its lease; a write that expects it would fail.
        CHECK(writer.store.writes.back().expected == StoreRevision{0});
    }
    // The other process may have forgotten it, and have missed the record meanwhile.
    SECTION("harmless content is sent again after a while, but not each time")
    {
        write.done(StoreRevision{11});
        const auto publish = [&] {
            const std::size_t before = writer.store.writes.size() + writer.store.leases.size();
            writer.exchange.publishHarmless({ContentKey("k3")});
            scheduler.advance(CrashReportExchange::BatchDelay);
            return writer.store.writes.size() + writer.store.leases.size() > before;
        };
        CHECK(publish());
        writer.store.writes.back().done(StoreRevision{12});
        CHECK_FALSE(publish());
        scheduler.advance(CrashReportExchange::ReportLifetime / 2);
        CHECK(publish());
    }
    // Entry processes are restarted one after the other. Guards against a process that forgets the
    // crashes that it has reported itself, and makes the others that start later forget them too.
    SECTION("a process that is restarted takes over what it had written")
    {
        Process restarted(scheduler, "one");
        restarted.receive(write, 11);
        CHECK(restarted.crashes == std::vector{report("b1"), report("b2")});
        restarted.exchange.publish(report("b3"));
        scheduler.advance(CrashReportExchange::BatchDelay);
        restarted.store.leases.at(0)(LeaseId{6});
        REQUIRE(restarted.store.writes.size() == 1);
        CHECK(restarted.store.writes[0].expected == StoreRevision{11});
        reader.receive(restarted.store.writes[0], 12);
        CHECK(reader.crashes == std::vector{report("b1"), report("b2"), report("b3")});
    }
    SECTION("also if it sees a crash before it has read the key")
    {
        Process restarted(scheduler, "one");
        restarted.exchange.publish(report("b3"));
        scheduler.advance(CrashReportExchange::BatchDelay);
        restarted.store.leases.at(0)(LeaseId{6});
        restarted.store.writes.at(0).done(Error{ResultCode::CompareFailed, "412"});
        restarted.store.getDone(std::optional(
                KeyValueEntry{"crashes/one", write.value, StoreRevision{11}, LeaseId{5}}));
        scheduler.advance(CrashReportExchange::RetryDelay);
        REQUIRE(restarted.store.writes.size() == 2);
        reader.receive(restarted.store.writes[1], 12);
        CHECK(reader.crashes.size() == 3);
        CHECK(restarted.crashes.size() == 2);
    }
    // A crash breaks all requests that wait at the server, and lost responses look alike. Guards
    // against the report of a crash that is displaced by many of another server, so that a process
    // that starts later does not learn of it.
    SECTION("all requests that one server has broken are one report")
    {
        write.done(StoreRevision{11});
        for (std::size_t i = 0; i < 3 * CrashReportExchange::MaxReports; ++i)
            writer.exchange.publish(
                    {{BackendId("b3"), 7}, {ContentKey("request-" + std::to_string(i))}});
        writer.exchange.publish({{BackendId("b3"), 7}, {ContentKey("part-1")}});
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.writes.size() == 2);
        reader.receive(writer.store.writes[1], 12);
        REQUIRE(reader.crashes.size() == 3);
        CHECK(reader.crashes[0] == report("b1"));
        CHECK(reader.crashes[1] == report("b2"));
        CHECK(reader.crashes[2].suspects.size() == CrashReportExchange::MaxSuspects);
        CHECK(reader.crashes[2].suspects.back() == ContentKey("part-1"));
    }
    // Guards against a record that grows with each restart of the process until the service refuses
    // it.
    SECTION("what a process takes over counts against its limits")
    {
        const std::size_t limit = CrashReportExchange::MaxReports;
        for (std::size_t i = 0; i < limit; ++i)
            writer.exchange.publish(report("c" + std::to_string(i)));
        for (std::size_t i = 0; i < CrashReportExchange::MaxHarmlessKeys; ++i)
            writer.exchange.publishHarmless({ContentKey(std::to_string(i))});
        write.done(StoreRevision{11});
        scheduler.advance(CrashReportExchange::BatchDelay);
        Process restarted(scheduler, "one");
        restarted.exchange.publish(report("own"));
        restarted.exchange.publishHarmless({ContentKey("own")});
        restarted.receive(writer.store.writes.at(1), 12);
        scheduler.advance(CrashReportExchange::BatchDelay);
        restarted.store.leases.at(0)(LeaseId{6});
        reader.receive(restarted.store.writes.at(0), 13);
        CHECK(reader.crashes.size() == limit);
        CHECK(reader.crashes.back() == report("own"));
        CHECK(reader.harmless.size() == CrashReportExchange::MaxHarmlessKeys);
        CHECK(reader.harmless.back() == HarmlessContent{ContentKey("own")});
    }
    // Leases may run out while the service is down. Guards against reports that are gone for the
    // processes that start afterwards.
    SECTION("a key that has ended too early is written again")
    {
        write.done(StoreRevision{11});
        writer.receive(write, 11);
        const WatchEvent removed{{write.key, {}, StoreRevision{12}, {}}, true};
        writer.store.handlers.onEvents({removed});
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.leases.size() == 2);
        writer.store.leases[1](LeaseId{6});
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.writes[1].expected == StoreRevision{0});
        reader.receive(writer.store.writes[1], 13);
        CHECK(reader.crashes == std::vector{report("b1"), report("b2")});
    }
    // Lease ids and revisions are assigned again by a store that came back from a copy. Guards
    // against reports that end with the lease of another process, or are lost.
    SECTION("after the store came back from a copy, the key is written again under a new lease")
    {
        write.done(StoreRevision{11});
        writer.receive(write, 11);
        writer.store.restore(10, {});
        scheduler.advance(CrashReportExchange::BatchDelay);
        REQUIRE(writer.store.leases.size() == 2);
        writer.store.leases[1](LeaseId{5});
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.writes[1].expected == StoreRevision{0});
        reader.receive(writer.store.writes[1], 13);
        CHECK(reader.crashes == std::vector{report("b1"), report("b2")});
    }
    SECTION("a lease of an earlier era is not used, although this mirror does not know of it yet")
    {
        write.done(StoreRevision{11});
        writer.receive(write, 11);
        ++writer.store.currentEra.value;
        writer.exchange.publish(report("b9"));
        scheduler.advance(CrashReportExchange::BatchDelay);
        CHECK(writer.store.writes.size() == 1);
        REQUIRE(writer.store.leases.size() == 2);
        writer.store.leases[1](LeaseId{5});
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.writes[1].expected == StoreRevision{0});
    }
    SECTION("a write that the restored store has answered is repeated with a new lease")
    {
        ++writer.store.currentEra.value;
        write.done(Error{ResultCode::StoreRestored, "era 2"});
        REQUIRE(writer.store.getCalls == 1);
        writer.store.getDone(std::optional(
                KeyValueEntry{"crashes/one", write.value, StoreRevision{8}, LeaseId{5}}));
        scheduler.advance(CrashReportExchange::RetryDelay);
        REQUIRE(writer.store.leases.size() == 2);
        writer.store.leases[1](LeaseId{6});
        REQUIRE(writer.store.writes.size() == 2);
        CHECK(writer.store.writes[1].expected == StoreRevision{8});
    }
    SECTION("what others have reported stays known when the copy lacks it")
    {
        reader.receive(write, 11);
        reader.store.restore(10, {});
        CHECK(reader.crashes.size() == 2);
        scheduler.advance(1s);
        CHECK(reader.store.leases.empty());
    }
    SECTION("a key that has ended with all that was in it is not")
    {
        write.done(StoreRevision{11});
        writer.receive(write, 11);
        scheduler.advance(CrashReportExchange::ReportLifetime);
        writer.store.handlers.onEvents({{{write.key, {}, StoreRevision{12}, {}}, true}});
        scheduler.advance(CrashReportExchange::BatchDelay);
        CHECK(writer.store.leases.size() == 1);
    }
    // One malformed message must not end the process or the watch.
    SECTION("a record that cannot be read is ignored")
    {
        const std::vector<std::string> texts{
                "",
                "{",
                "[]",
                "null",
                "\xff",
                R"({"crashes":3})",
                R"({"crashes":[null]})",
                R"({"harmless":[3]})",
                R"({"crashes":[{"instance":3}]})",
                R"({"crashes":[{"instance":{"backend":"b","born_ms":-1}}]})",
                R"({"crashes":[{"instance":{"backend":"b","born_ms":1e400}}]})",
                R"({"crashes":[{"instance":{"backend":"b","born_ms":99999999999999999999}}]})",
                R"({"crashes":[{"instance":{"backend":"b"},"suspects":"k"}]})",
                std::string(200'000, '[') + std::string(200'000, ']')};
        std::uint64_t revision = 20;
        for (const std::string &text : texts) {
            RecordingStore::Write malformed = write;
            malformed.value = text;
            reader.receive(malformed, ++revision);
        }
        CHECK(reader.crashes.empty());
        CHECK(reader.harmless.empty());
        reader.receive(write, 40);
        CHECK(reader.crashes.size() == 2);
    }
}

// Load pattern: responses are lost in numbers, and each lost one looks like a crash. Guards against
// a write for each of them, and against retries without pause while the store is away.
TEST_CASE("CrashReportExchange writes no more often than the others need")
{
    VirtualScheduler scheduler;
    Process writer(scheduler, "one");
    std::uint64_t revision = 10;
    std::size_t answered = 0;
    const auto answerCalls = [&](bool succeed) {
        if (!writer.store.leases.empty())
            std::exchange(writer.store.leases, {}).back()(LeaseId{5});
        for (; answered < writer.store.writes.size(); ++answered) {
            const auto done = writer.store.writes[answered].done;
            if (succeed) {
                done(StoreRevision{++revision});
                continue;
            }
            done(Error{ResultCode::PlatformTimeout, "away"});
            writer.store.getDone(Error{ResultCode::PlatformTimeout, "away"});
        }
    };
    const auto crashFor = [&](Duration time, bool succeed) {
        const TimePoint end = scheduler.now() + time;
        for (int i = 0; scheduler.now() < end; ++i) {
            writer.exchange.publish(report("b" + std::to_string(i)));
            scheduler.advance(20ms);
            answerCalls(succeed);
        }
    };

    SECTION("the first ones at once, all within the interval")
    {
        crashFor(100ms, true);
        CHECK(writer.store.writes.size() >= 2);
        crashFor(15s, true);
        CHECK(writer.store.writes.size() <= 15s / CrashReportExchange::WriteInterval + 4);
        const std::size_t before = writer.store.writes.size();
        writer.exchange.publish(report("last"));
        scheduler.advance(CrashReportExchange::WriteInterval);
        CHECK(writer.store.writes.size() > before);
    }
    SECTION("after a quiet time at once again")
    {
        crashFor(5s, true);
        scheduler.advance(CrashReportExchange::WriteInterval);
        answerCalls(true);
        scheduler.advance(10s);
        const std::size_t before = writer.store.writes.size();
        writer.exchange.publish(report("later"));
        scheduler.advance(CrashReportExchange::BatchDelay);
        CHECK(writer.store.writes.size() == before + 1);
    }
    SECTION("ever more rarely while the store is away")
    {
        crashFor(20s, false);
        CHECK(writer.store.writes.size() <= 9);
    }
}
