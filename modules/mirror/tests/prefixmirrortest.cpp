#include <godwit/mirror/prefixmirror.h>

#include "virtualscheduler.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

class FakeWatch : public CallHandle
{
public:
    void cancel() override {}
};

/// Key-value store that records calls; the test completes them.
class FakeStore : public KeyValuePort
{
public:
    std::vector<Completion<KeyValueList>> lists;
    std::vector<std::pair<StorePosition, WatchHandlers>> watches;

    void get(std::string, Completion<std::optional<KeyValueEntry>>) override {}
    void list(std::string, Completion<KeyValueList> done) override { lists.push_back(done); }
    void compareAndSwap(std::string, StoreRevision, std::string, LeaseId,
                        Completion<StoreRevision>) override
    {}
    void deleteKey(std::string, StoreRevision, Completion<Done>) override {}
    void grantLease(Duration, Completion<LeaseId>) override {}
    void keepLeaseAlive(LeaseId, Completion<Duration>) override {}
    void revokeLease(LeaseId, Completion<Done>) override {}
    std::shared_ptr<CallHandle> watch(std::string, StorePosition from,
                                      WatchHandlers handlers) override
    {
        watches.emplace_back(from, handlers);
        handlers.onPollStarted();
        return std::make_shared<FakeWatch>();
    }
};

KeyValueEntry entry(const std::string &key, const std::string &value, std::uint64_t revision)
{
    return {key, value, StoreRevision{revision}, LeaseId{}};
}

struct Fixture
{
    VirtualScheduler scheduler;
    FakeStore store;
    std::vector<std::string> log;
    std::vector<std::optional<WriteTime>> times;
    std::optional<TimePoint> confirmedAt;
    PrefixMirror mirror{store,
                        scheduler,
                        Random(1),
                        "p/",
                        {[this](const KeyValueEntry &it, const std::optional<WriteTime> &time) {
                             log.push_back("put " + it.key + '=' + it.value);
                             times.push_back(time);
                         },
                         [this](const std::string &key) { log.push_back("removed " + key); },
                         [this](TimePoint asked) { confirmedAt = asked; },
                         [this](bool reachable, const std::string &) {
                             log.push_back(reachable ? "reached" : "lost");
                         }}};

    void listed(std::uint64_t revision, std::vector<KeyValueEntry> entries, StoreEra era = {})
    {
        const auto done = store.lists.back();
        done(KeyValueList{{era, StoreRevision{revision}}, std::move(entries)});
    }
};

} // namespace

TEST_CASE("PrefixMirror")
{
    Fixture it;
    it.mirror.start();
    it.listed(10, {entry("p/a", "1", 7), entry("p/b", "2", 9)});
    REQUIRE(it.log == std::vector<std::string>{"put p/a=1", "put p/b=2"});

    SECTION("watches from the revision after the list, so that no write is missed")
    {
        REQUIRE(it.store.watches.size() == 1);
        CHECK(it.store.watches[0].first == StorePosition{{}, {11}});
        CHECK(it.confirmedAt == it.scheduler.now());
        CHECK_FALSE(it.times[0]);

        SECTION("an event older than the known revision is ignored")
        {
            it.log.clear();
            it.store.watches[0].second.onEvents({{entry("p/a", "0", 5), false}});
            CHECK(it.log.empty());
        }
        SECTION("an event late in a watch call probably reports a recent write")
        {
            it.scheduler.advance(800ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.times.back()->expected == it.scheduler.now() - PrefixMirror::UsualEventDelay);
        }
        // Links between regions carry pieces of weights, streams and configurations as well.
        // Guards against a version that is taken for newer than it is, so that engines with older
        // weights would be used after their time.
        SECTION("an event that was delayed on its way may be as old as the last confirmation")
        {
            const TimePoint confirmed = it.scheduler.now();
            it.scheduler.advance(1500ms);
            const TimePoint written = it.scheduler.now();
            it.scheduler.advance(900ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.times.back()->earliest <= written);
            CHECK(it.times.back()->earliest == confirmed);
        }
        SECTION("an event was written after the end of a call that waited in vain")
        {
            it.scheduler.advance(1050ms);
            const TimePoint quietUntil = it.scheduler.now() - 50ms;
            it.store.watches[0].second.onQuietUntil(quietUntil);
            it.store.watches[0].second.onConfirmed(StoreRevision{11}, it.scheduler.now() - 1050ms);
            it.store.watches[0].second.onPollStarted();
            it.scheduler.advance(900ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.times.back()->earliest == quietUntil);
            CHECK(it.confirmedAt == quietUntil - 1000ms);
        }
        SECTION("an event early in a watch call may be as old as the last confirmation")
        {
            const TimePoint confirmed = it.scheduler.now();
            it.scheduler.advance(100ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.times.back() == WriteTime{confirmed, confirmed});
        }
        // Load pattern: a configuration of hundreds of kilobytes is sent to all entry processes,
        // and a version is named meanwhile.
        SECTION("an event early in a watch call may have been written while the response before it "
                "was on its way")
        {
            const TimePoint requested = it.scheduler.now();
            it.scheduler.advance(1500ms);
            it.store.watches[0].second.onEvents({{entry("p/large", "x", 11), false}});
            it.store.watches[0].second.onConfirmed(StoreRevision{11}, requested);
            it.store.watches[0].second.onPollStarted();
            it.scheduler.advance(20ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.times.back() == WriteTime{requested, requested});
        }
        // The response with the configuration takes a second on the links that all of them share.
        SECTION("an event in a large response, or in the one after it, may be as old as the last "
                "confirmation")
        {
            const TimePoint requested = it.scheduler.now();
            const std::string large(64UL * 1024, 'x');
            it.scheduler.advance(1500ms);
            it.store.watches[0].second.onEvents(
                    {{entry("p/large", large, 11), false}, {entry("p/a", "3", 12), false}});
            CHECK(it.times.back()->earliest == requested);
            const TimePoint next = it.scheduler.now();
            it.store.watches[0].second.onConfirmed(StoreRevision{12}, requested);
            it.store.watches[0].second.onPollStarted();
            it.scheduler.advance(900ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "4", 13), false}});
            CHECK(it.times.back()->earliest == requested);
            it.store.watches[0].second.onConfirmed(StoreRevision{13}, next);
            it.store.watches[0].second.onPollStarted();
            it.scheduler.advance(900ms);
            it.store.watches[0].second.onEvents({{entry("p/a", "5", 14), false}});
            CHECK(it.times.back()->earliest == next);
        }
        // Guards against a call that takes long to fail being taken for an outage of that length.
        SECTION("a failed call is reported with its start, at which the outage may have ended")
        {
            const TimePoint started = it.scheduler.now();
            it.scheduler.advance(1600ms);
            it.store.watches[0].second.onEnd(Error{ResultCode::PlatformTimeout, "silent"});
            CHECK(it.mirror.lastFailedCall() == FailedCall{started, it.scheduler.now()});
        }
        SECTION("a refresh reports what a silent watch has missed, and keeps the watch")
        {
            it.log.clear();
            it.mirror.refresh();
            it.mirror.refresh();
            REQUIRE(it.store.lists.size() == 2);
            it.listed(14, {entry("p/a", "3", 12)});
            CHECK(it.log == std::vector<std::string>{"put p/a=3", "removed p/b"});
            CHECK(it.store.watches.size() == 1);
            it.store.watches[0].second.onEvents({{entry("p/a", "3", 12), false}});
            CHECK(it.log.size() == 2);
        }
    }
    SECTION("a lost connection is reported once and the watch resumes at its revision")
    {
        it.log.clear();
        it.store.watches[0].second.onEvents({{entry("p/c", "4", 15), false}});
        it.store.watches[0].second.onEnd(Error{ResultCode::PlatformTimeout, "silent"});
        CHECK(it.log == std::vector<std::string>{"put p/c=4", "lost"});
        it.scheduler.advance(100ms);
        REQUIRE(it.store.watches.size() == 2);
        CHECK(it.store.watches[1].first == StorePosition{{}, {16}});
        it.store.watches[1].second.onEnd(Error{ResultCode::PlatformTimeout, "silent"});
        it.scheduler.advance(2s);
        REQUIRE(it.store.watches.size() == 3);
        it.store.watches[2].second.onConfirmed(StoreRevision{20}, it.scheduler.now());
        CHECK(it.log == std::vector<std::string>{"put p/c=4", "lost", "reached"});
    }
    SECTION("after compaction the keys are listed again and missing ones removed")
    {
        it.log.clear();
        it.store.watches[0].second.onEnd(Error{ResultCode::WatchCompacted, "410"});
        it.listed(30, {entry("p/b", "5", 28)});
        CHECK(it.log == std::vector<std::string>{"put p/b=5", "removed p/a"});
        CHECK(it.store.watches.back().first == StorePosition{{}, {31}});
    }
    SECTION("calls to an unreachable store back off to at most 1.5 s")
    {
        it.store.watches[0].second.onEnd(Error{ResultCode::PlatformUnreachable, "refused"});
        for (int i = 0; i < 10; ++i) {
            const std::size_t before = it.store.watches.size();
            it.scheduler.advance(1500ms);
            REQUIRE(it.store.watches.size() == before + 1);
            it.store.watches.back().second.onEnd(Error{ResultCode::PlatformUnreachable, "refused"});
        }
    }
}
