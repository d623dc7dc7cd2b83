#include <godwit/mirror/prefixmirror.h>

#include "virtualscheduler.h"

#include <catch2/catch.hpp>

#include <stdexcept>
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
    PrefixMirror mirror{store, scheduler, Random(1), "p/", handlers()};

    MirrorHandlers handlers()
    {
        return {[this](const KeyValueEntry &it, const std::optional<WriteTime> &time) {
                    log.push_back("put " + it.key + '=' + it.value);
                    times.push_back(time);
                },
                [this](const std::string &key) { log.push_back("removed " + key); },
                [this](TimePoint asked) { confirmedAt = asked; },
                [this](bool reachable, const std::string &) {
                    log.push_back(reachable ? "reached" : "lost");
                }};
    }

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
    // Guards against a loop of lists and watches without a delay, which takes the rate limit of all
    // processes, if each list is followed by the same end of its watch.
    SECTION("a watch that ends again and again after a list backs off")
    {
        const auto code = GENERATE(ResultCode::WatchCompacted, ResultCode::StoreRestored);
        const auto endWatch = [&] {
            it.store.watches.back().second.onEnd(Error{code, "again"});
            it.scheduler.advance(1ms);
        };
        endWatch();
        CHECK(it.store.lists.size() == 2); // The first time at once.
        const TimePoint start = it.scheduler.now();
        while (it.scheduler.now() < start + 10s) {
            const std::size_t lists = it.store.lists.size();
            it.listed(12, {});
            endWatch();
            while (it.store.lists.size() == lists)
                it.scheduler.advance(5ms);
        }
        CHECK(it.store.lists.size() < 30);

        const std::size_t lists = it.store.lists.size();
        it.listed(12, {});
        it.store.watches.back().second.onConfirmed(StoreRevision{12}, it.scheduler.now());
        endWatch();
        CHECK(it.store.lists.size() == lists + 1);
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

// Guards against a process that stops following the keys because the handling of one entry throws:
// an exception that leaves the callbacks of a watch ends it for good.
TEST_CASE("PrefixMirror goes on after an exception of a handler")
{
    VirtualScheduler scheduler;
    FakeStore store;
    std::vector<std::string> log;
    int confirmations = 0;
    PrefixMirror mirror(store, scheduler, Random(1), "p/",
                        {[&](const KeyValueEntry &it, const std::optional<WriteTime> &) {
                             if (it.value == "throws")
                                 throw std::length_error("record too long");
                             log.push_back("put " + it.key);
                         },
                         [&](const std::string &key) {
                             if (key == "p/a")
                                 throw std::out_of_range("key");
                             log.push_back("removed " + key);
                         },
                         [&](TimePoint) {
                             ++confirmations;
                             throw std::runtime_error("not now");
                         },
                         [](bool, const std::string &) {}});
    mirror.start();

    const auto complete = store.lists.back();
    CHECK_NOTHROW(complete(KeyValueList{{StoreEra{}, StoreRevision{10}},
                                        {entry("p/a", "throws", 7), entry("p/b", "2", 9)}}));
    CHECK(log == std::vector<std::string>{"put p/b"});
    REQUIRE(store.watches.size() == 1);

    const WatchHandlers watch = store.watches[0].second;
    CHECK_NOTHROW(watch.onEvents({{entry("p/c", "throws", 11), false},
                                  {entry("p/d", "1", 12), false},
                                  {entry("p/a", "", 13), true},
                                  {entry("p/d", "", 14), true}}));
    CHECK_NOTHROW(watch.onConfirmed(StoreRevision{14}, scheduler.now()));
    CHECK(log == std::vector<std::string>{"put p/b", "put p/d", "removed p/d"});
    CHECK(confirmations == 2);
}

// The store comes back from a copy that is some seconds old. Revisions begin again at that of the
// copy, and what was written since is written again with any of them.
TEST_CASE("PrefixMirror follows a store that has come back from a copy")
{
    Fixture it;
    std::vector<StoreRestoration> restorations;
    MirrorHandlers handlers = it.handlers();
    handlers.onRestored = [&](const StoreRestoration &restoration) {
        it.log.emplace_back("restored");
        restorations.push_back(restoration);
    };
    PrefixMirror mirror(it.store, it.scheduler, Random(1), "p/", handlers);
    const StoreEra before{1};
    const StoreEra after{2};
    mirror.start();
    it.listed(100, {entry("p/a", "1", 7), entry("p/b", "2", 95), entry("p/c", "3", 98)}, before);
    it.scheduler.advance(5s);
    const TimePoint confirmedBefore = it.scheduler.now();
    it.store.watches.back().second.onConfirmed(StoreRevision{100}, confirmedBefore);
    it.log.clear();
    const auto restore = [&](std::uint64_t revision, const std::vector<KeyValueEntry> &entries) {
        it.store.watches.back().second.onEnd(Error{ResultCode::StoreRestored, "era 2"});
        it.listed(revision, entries, after);
    };
    const std::vector<KeyValueEntry> copy{entry("p/a", "1", 7), entry("p/b", "0", 60)};

    // Guards against confirmed changes that never come into force, because their revisions in the
    // new era are not above those of the old one.
    SECTION("what is written again with a lower revision is reported")
    {
        restore(90, copy);
        it.log.clear();
        it.store.watches.back().second.onEvents({{entry("p/b", "2", 91), false}});
        it.store.watches.back().second.onEvents({{entry("p/c", "4", 92), false}});
        CHECK(it.log == std::vector<std::string>{"put p/b=2", "put p/c=4"});
    }
    // Guards against a loop: a watch from a revision that the store does not have ends at once.
    SECTION("the watch goes on from the position of the new list")
    {
        CHECK(it.store.watches.back().first == StorePosition{before, {101}});
        restore(90, copy);
        CHECK(it.store.watches.back().first == StorePosition{after, {91}});
    }
    SECTION("the differences are reported, and what is the same is not")
    {
        restore(90, copy);
        CHECK(it.log == std::vector<std::string>{"restored", "put p/b=0", "removed p/c"});
        REQUIRE(restorations.size() == 1);
        CHECK(restorations[0] == StoreRestoration{{before, {100}}, {after, {90}}, 1, 1, 0, 0, 1});
        CHECK(mirror.lastFailedCall().has_value());
    }
    SECTION("a value that was written again before the list is reported like any other")
    {
        restore(93, {entry("p/a", "1", 7), entry("p/b", "5", 91), entry("p/d", "6", 93)});
        CHECK(it.log
              == std::vector<std::string>{"restored", "put p/b=5", "put p/d=6", "removed p/c"});
    }
    SECTION("a store that states no era is recognized by a lower revision")
    {
        it.store.watches.back().second.onEnd(Error{ResultCode::WatchCompacted, "410"});
        it.listed(90, copy, before);
        CHECK(restorations.size() == 1);
        CHECK(it.store.watches.back().first == StorePosition{before, {91}});
    }
    SECTION("a later list in the same era is not another restoration")
    {
        restore(90, copy);
        it.store.watches.back().second.onEnd(Error{ResultCode::WatchCompacted, "410"});
        it.listed(95, copy, after);
        CHECK(restorations.size() == 1);
    }
    // A host process refreshes its mirror when a peer knows a newer version. Guards against keys of
    // two eras beside each other.
    SECTION("a refresh that finds another era lists again")
    {
        mirror.refresh();
        it.listed(90, copy, after);
        CHECK(restorations.empty());
        it.listed(90, copy, after);
        CHECK(restorations.size() == 1);
        CHECK(it.store.watches.back().first == StorePosition{after, {91}});
    }
    // Guards against the copy being taken for all that was accepted: requests would be denied that
    // a lost change allows, and keys honoured that it has taken away.
    SECTION("nothing is confirmed until what was lost has been written again")
    {
        it.scheduler.advance(500ms);
        restore(90, copy);
        const TimePoint restoredAt = it.scheduler.now();
        CHECK(it.confirmedAt == confirmedBefore);
        it.scheduler.advance(PrefixMirror::RewritePeriod - 1ms);
        it.store.watches.back().second.onConfirmed(StoreRevision{90}, it.scheduler.now());
        CHECK(it.confirmedAt == confirmedBefore);

        SECTION("by a call that was sent later")
        {
            it.scheduler.advance(1ms);
            it.store.watches.back().second.onConfirmed(StoreRevision{90}, it.scheduler.now());
            CHECK(it.confirmedAt == restoredAt + PrefixMirror::RewritePeriod);
        }
        SECTION("by a call that has waited until then")
        {
            const TimePoint asked = it.scheduler.now();
            it.scheduler.advance(1s);
            it.store.watches.back().second.onQuietUntil(it.scheduler.now());
            it.store.watches.back().second.onConfirmed(StoreRevision{90}, asked);
            CHECK(it.confirmedAt == asked);
        }
    }
}

// Guards against a process that starts right after the store has come back, and denies what a lost
// change allows, or accepts a key whose lost revocation is older than the period in which it is
// written again.
TEST_CASE("A store that may have come back from a copy confirms nothing that the copy may lack")
{
    Fixture it;
    PrefixMirror mirror(it.store, it.scheduler, Random(1), "p/", it.handlers());
    mirror.start();
    const TimePoint asked = it.scheduler.now();

    SECTION("if it states an era")
    {
        it.listed(10, {}, StoreEra{3});
        const TimePoint start = it.scheduler.now();
        CHECK(it.confirmedAt == asked - PrefixMirror::MaxCopyAge);
        it.scheduler.advance(PrefixMirror::RewritePeriod - 1ms);
        const auto &watch = it.store.watches.back().second;
        watch.onConfirmed(StoreRevision{10}, it.scheduler.now());
        CHECK(it.confirmedAt < start - PrefixMirror::MaxCopyAge + PrefixMirror::RewritePeriod);
        it.scheduler.advance(1ms);
        watch.onConfirmed(StoreRevision{10}, it.scheduler.now());
        CHECK(it.confirmedAt == start + PrefixMirror::RewritePeriod);
    }
    SECTION("and not otherwise")
    {
        it.listed(10, {});
        CHECK(it.confirmedAt == asked);
    }
}

// Guards against requests with keys that are refused for seconds after each start and each return
// of the store, because the confirmations held back for lost writes are followed by a long poll.
TEST_CASE("PrefixMirror asks for a confirmation as soon as lost writes have been written again")
{
    Fixture it;
    PrefixMirror mirror(it.store, it.scheduler, Random(1), "p/", it.handlers());
    mirror.refreshUntilRewritten();
    mirror.start();
    const auto age = [&] { return it.scheduler.now() - it.confirmedAt.value(); };

    SECTION("after the start")
    {
        it.listed(10, {}, StoreEra{3});
        it.scheduler.advance(PrefixMirror::RewritePeriod - 1ms);
        CHECK(it.store.lists.size() == 1);
        it.scheduler.advance(1ms);
        REQUIRE(it.store.lists.size() == 2);
        it.listed(10, {}, StoreEra{3});
        CHECK(age() == Duration::zero());
        it.scheduler.advance(10s);
        CHECK(it.store.lists.size() == 2);
    }
    SECTION("after a return")
    {
        it.listed(10, {}, StoreEra{1});
        it.scheduler.advance(10s);
        it.store.watches.back().second.onEnd(Error{ResultCode::StoreRestored, "era 2"});
        it.listed(8, {}, StoreEra{2});
        const std::size_t lists = it.store.lists.size();
        it.scheduler.advance(PrefixMirror::RewritePeriod - 1ms);
        CHECK(it.store.lists.size() == lists);
        it.scheduler.advance(1ms);
        REQUIRE(it.store.lists.size() == lists + 1);
        it.listed(9, {}, StoreEra{2});
        CHECK(age() == Duration::zero());
        it.scheduler.advance(10s);
        CHECK(it.store.lists.size() == lists + 1);
    }
    SECTION("but not of a store that states no era")
    {
        it.listed(10, {});
        it.scheduler.advance(10s);
        CHECK(it.store.lists.size() == 1);
    }
}
