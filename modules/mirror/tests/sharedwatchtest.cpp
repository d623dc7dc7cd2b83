#include <godwit/mirror/sharedwatch.h>

#include "pollingstore.h"

#include <godwit/mirror/prefixmirror.h>

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr SharedWatchOptions Options{PollingStore::Wait, 250ms};
using Log = std::vector<std::string>;

struct Subscriber
{
    Log events;
    Log ends;
    std::vector<TimePoint> confirmations;
    std::vector<TimePoint> quiet;
    int polls = 0;
    std::function<void()> onEvent = [] {};
    std::function<void()> onConfirmed = [] {};
    std::function<void()> onEnd = [] {};
    std::function<void()> onPoll = [] {};
    std::shared_ptr<CallHandle> watch;

    void start(KeyValuePort &store, const std::string &prefix, std::uint64_t from,
               StoreEra era = {1})
    {
        WatchHandlers handlers;
        handlers.onStarted = [](StoreRevision) {};
        handlers.onEvents = [this](const std::vector<WatchEvent> &found) {
            for (const WatchEvent &it : found)
                events.push_back(it.entry.key + (it.deleted ? "" : "=" + it.entry.value));
            onEvent();
        };
        handlers.onEnd = [this](const Outcome<Done> &outcome) {
            const auto *error = std::get_if<Error>(&outcome);
            ends.emplace_back(error ? resultCodeName(error->code) : "done");
            onEnd();
        };
        handlers.onPollStarted = [this] {
            ++polls;
            onPoll();
        };
        handlers.onQuietUntil = [this](TimePoint time) { quiet.push_back(time); };
        handlers.onConfirmed = [this](StoreRevision, TimePoint time) {
            confirmations.push_back(time);
            onConfirmed();
        };
        watch = store.watch(prefix, {era, {from}}, std::move(handlers));
    }
};

struct Fixture
{
    VirtualScheduler scheduler;
    PollingStore store{scheduler};
    std::unique_ptr<SharedWatch> shared = std::make_unique<SharedWatch>(store, scheduler, Options);
    Subscriber a;
    Subscriber b;
    Subscriber c;

    void startAll()
    {
        const std::uint64_t next = store.revision() + 1;
        a.start(*shared, "a/", next);
        b.start(*shared, "b/", next);
        c.start(*shared, "c/", next);
        scheduler.advance(SharedWatch::JoinPeriod + PollingStore::LinkDelay);
    }
};

} // namespace

TEST_CASE("SharedWatch gives each subscriber its own events once")
{
    Fixture it;
    it.startAll();
    REQUIRE(it.store.watchCalls == 1);
    REQUIRE(it.store.prefixes == Log{""});

    SECTION("in order, also if they arrive in several calls")
    {
        it.store.put("a/1", "x");
        it.store.put("b/1", "y");
        it.store.put("a/1", "z");
        it.store.remove("a/1");
        it.scheduler.advance(3s);
        CHECK(it.a.events == Log{"a/1=x", "a/1=z", "a/1"});
        CHECK(it.b.events == Log{"b/1=y"});
        CHECK(it.c.events.empty());
    }
    SECTION("and nobody those of other keys")
    {
        it.store.put("d/1", "x");
        it.scheduler.advance(100ms);
        CHECK(it.a.events.empty());
        CHECK(it.a.confirmations.size() == 1);
        CHECK(it.a.ends.empty());
    }
    // Guards against an odd item that hides all later ones from every subscriber.
    SECTION("also after an event with a wrong revision")
    {
        it.store.putWithWrongRevision("b/1", 100000);
        it.scheduler.advance(2s);
        it.store.put("a/1", "x");
        it.store.put("b/2", "y");
        it.scheduler.advance(2s);
        CHECK(it.a.events == Log{"a/1=x"});
        CHECK(it.b.events == Log{"b/1=odd", "b/2=y"});
        CHECK(it.a.ends.empty());
    }
}

TEST_CASE("SharedWatch starts from the oldest position")
{
    Fixture it;
    it.store.put("a/1", "1"); // Revision 11.
    it.store.put("b/1", "2");
    it.store.put("a/1", "3");
    it.store.put("b/1", "4");
    it.a.start(*it.shared, "a/", 13);
    it.b.start(*it.shared, "b/", 12);
    it.scheduler.advance(2s);
    CHECK(it.store.started.front() == StorePosition{{1}, {12}});
    CHECK(it.a.events == Log{"a/1=3"});
    CHECK(it.b.events == Log{"b/1=2", "b/1=4"});
}

TEST_CASE("A subscriber may join while a call is waiting")
{
    Fixture it;
    it.a.start(*it.shared, "a/", 11);
    it.scheduler.advance(300ms);
    REQUIRE(it.store.watchCalls == 1);

    SECTION("from the position of the call")
    {
        it.b.start(*it.shared, "b/", 11);
        it.scheduler.advance(SharedWatch::JoinPeriod);
        CHECK(it.store.watchCalls == 2);
        CHECK(it.store.openWatches() == 1);
        it.scheduler.advance(20ms);
        it.store.put("b/1", "x");
        it.store.put("a/1", "y");
        it.scheduler.advance(1s);
        CHECK(it.a.events == Log{"a/1=y"});
        CHECK(it.b.events == Log{"b/1=x"});
    }
    // Guards against events that are lost because the waiting call began after them.
    SECTION("from an earlier position")
    {
        it.store.put("b/1", "1"); // Revision 11, reported to the call that waits.
        it.scheduler.advance(400ms);
        it.b.start(*it.shared, "b/", 11);
        it.store.put("a/1", "2");
        it.store.put("b/1", "3");
        it.scheduler.advance(2s);
        CHECK(it.a.events == Log{"a/1=2"});
        CHECK(it.b.events == Log{"b/1=1", "b/1=3"});
    }
    // Guards against events twice after the waiting call was replaced.
    SECTION("from a later position")
    {
        it.store.put("a/1", "1");
        it.store.put("b/1", "2");
        it.b.start(*it.shared, "b/", it.store.revision() + 1);
        it.store.put("b/1", "3");
        it.scheduler.advance(2s);
        CHECK(it.a.events == Log{"a/1=1"});
        CHECK(it.b.events == Log{"b/1=3"});
    }
    // Guards against a confirmation of writes that the call has not reported to the subscriber.
    SECTION("and is confirmed only by a call that covered its position")
    {
        it.scheduler.advance(730ms); // The wait of the first call ends within the join period.
        const TimePoint joined = it.scheduler.now();
        it.b.start(*it.shared, "b/", 5);
        it.scheduler.advance(49ms);
        REQUIRE(it.a.confirmations.size() == 1);
        CHECK(it.b.confirmations.empty());
        CHECK(it.b.quiet.empty());
        // The answered call is not repeated for the first subscriber alone.
        CHECK(it.store.watchCalls == 2);
        CHECK(it.b.polls == 1);
        it.scheduler.advance(2s);
        REQUIRE_FALSE(it.b.confirmations.empty());
        CHECK(it.b.confirmations.front() >= joined);
    }
    SECTION("and others that join shortly after it share the next call")
    {
        it.b.start(*it.shared, "b/", 11);
        it.scheduler.advance(30ms);
        it.c.start(*it.shared, "c/", 11);
        it.scheduler.advance(500ms);
        CHECK(it.store.watchCalls == 2);
        CHECK(it.c.polls == 1);
    }
}

TEST_CASE("SharedWatch confirms no later than the request time of a call")
{
    Fixture it;
    it.startAll();
    for (int i = 0; i < 20; ++i) {
        it.scheduler.advance(std::chrono::milliseconds(137 * (i % 9)));
        it.store.put(i % 2 == 0 ? "a/1" : "b/1", std::to_string(i));
    }
    it.scheduler.advance(3s);
    CHECK(it.a.events.size() == 10);
    CHECK(it.b.events.size() == 10);
    for (const Subscriber *subscriber : {&it.a, &it.b, &it.c}) {
        REQUIRE(subscriber->confirmations.size() <= it.store.requestTimes.size());
        CHECK(std::equal(subscriber->confirmations.begin(), subscriber->confirmations.end(),
                         it.store.requestTimes.begin()));
        CHECK(subscriber->polls == it.store.watchCalls);
    }
    SECTION("and reports quiet times to all")
    {
        CHECK_FALSE(it.a.quiet.empty());
        CHECK(it.c.quiet == it.a.quiet);
    }
}

TEST_CASE("The end of the common watch ends those of all subscribers")
{
    Fixture it;
    it.startAll();
    std::string expected;
    SECTION("when the store is away")
    {
        it.store.setReachable(false);
        expected = resultCodeName(ResultCode::PlatformUnreachable);
    }
    SECTION("when the history is compacted")
    {
        it.store.compact();
        expected = resultCodeName(ResultCode::WatchCompacted);
    }
    SECTION("when the store comes back from a copy")
    {
        it.store.restore();
        expected = resultCodeName(ResultCode::StoreRestored);
    }
    it.scheduler.advance(5s);
    CHECK(it.a.ends == Log{expected});
    CHECK(it.b.ends == Log{expected});
    CHECK(it.c.ends == Log{expected});
    CHECK(it.store.watchCalls == 1);
}

// Guards against events of two eras in one watch: one user may learn of a restoration by a list
// while the call of the others waits.
TEST_CASE("A subscriber of a later era ends the watches of earlier ones")
{
    Fixture it;
    it.startAll();
    it.store.copy();
    it.a.watch->cancel();
    it.a.start(*it.shared, "a/", 11, StoreEra{2});
    it.scheduler.advance(SharedWatch::JoinPeriod);
    CHECK(it.b.ends == Log{std::string(resultCodeName(ResultCode::StoreRestored))});
    CHECK(it.c.ends == it.b.ends);
    CHECK(it.a.ends.empty());
    CHECK(it.store.started.back() == StorePosition{{2}, {11}});
}

TEST_CASE("Callbacks of SharedWatch may end watches")
{
    Fixture it;
    it.startAll();

    SECTION("a cancelled one leaves the others alone")
    {
        it.a.watch->cancel();
        it.store.put("a/1", "x");
        it.store.put("b/1", "y");
        it.scheduler.advance(2s);
        CHECK(it.a.events.empty());
        CHECK(it.a.ends.empty());
        CHECK(it.b.events == Log{"b/1=y"});
        CHECK(it.b.ends.empty());
        CHECK(it.store.openWatches() == 1);
    }
    SECTION("the last cancelled one ends the call")
    {
        it.a.watch->cancel();
        it.b.watch->cancel();
        it.c.watch->cancel();
        CHECK(it.store.openWatches() == 0);
        it.scheduler.advance(5s);
        CHECK(it.store.watchCalls == 1);
    }
    SECTION("one cancels the next one while events are delivered")
    {
        it.a.onEvent = [&] { it.b.watch->cancel(); };
        it.store.put("a/1", "x");
        it.scheduler.advance(300ms);
        CHECK(it.b.confirmations.empty());
        CHECK(it.c.confirmations.size() == 1);
    }
    SECTION("all end when a poll starts")
    {
        it.a.onPoll = [&] {
            it.a.watch->cancel();
            it.b.watch->cancel();
            it.c.watch->cancel();
        };
        it.store.put("a/1", "x");
        it.scheduler.advance(5s);
        CHECK(it.store.watchCalls == 2);
        CHECK(it.b.polls == 1);
    }
    SECTION("one starts a new watch when its old one ends")
    {
        it.a.onEnd = [&] { it.a.start(*it.shared, "a/", it.store.revision() + 1); };
        it.store.compact();
        it.scheduler.advance(200ms);
        it.store.put("a/1", "x");
        it.scheduler.advance(2s);
        CHECK(it.a.ends.size() == 1);
        CHECK(it.b.ends.size() == 1);
        CHECK(it.a.events == Log{"a/1=x"});
    }
    // Guards against access to a destroyed store at the end of a process.
    SECTION("the store is destroyed")
    {
        bool isInEvents = false;
        std::function<void()> destroy = [&] { it.shared.reset(); };
        SECTION("while events are delivered")
        {
            it.a.onEvent = destroy;
            isInEvents = true;
        }
        SECTION("while a call is confirmed")
        {
            it.a.onConfirmed = destroy;
        }
        SECTION("when a call starts")
        {
            it.a.onPoll = destroy;
        }
        SECTION("when the watch ends")
        {
            it.a.onEnd = destroy;
            it.store.compact();
        }
        it.store.put("a/1", "x");
        it.scheduler.advance(5s);
        CHECK_FALSE(it.shared);
        // The callback that destroyed the store was the last one.
        const auto callbacks = [](const Subscriber &subscriber) {
            return subscriber.confirmations.size() + subscriber.ends.size()
                   + static_cast<std::size_t>(subscriber.polls);
        };
        CHECK(callbacks(it.a) == callbacks(it.b) + (isInEvents ? 0 : 1));
        CHECK(it.b.events.empty());
        CHECK(it.store.watchCalls <= 2);
        it.a.watch->cancel();
    }
}

// Load pattern: hundreds of processes watch the store, which charges every call.
TEST_CASE("SharedWatch makes few calls")
{
    Fixture it;
    it.startAll();
    const int before = it.store.watchCalls;

    SECTION("one for each wait while nothing is written")
    {
        it.scheduler.advance(102s);
        CHECK(it.store.watchCalls - before == 100);
    }
    SECTION("one in a batch delay while events of one kind flow")
    {
        for (int i = 0; i < 1000; ++i) {
            it.store.put("b/1", std::to_string(i));
            it.scheduler.advance(10ms);
        }
        CHECK(it.store.watchCalls - before <= 40);
        it.scheduler.advance(2s);
        CHECK(it.b.events.size() == 1000);
    }
    SECTION("and starts the next one no later than without events")
    {
        it.scheduler.advance(900ms);
        it.store.put("b/1", "x");
        it.scheduler.advance(100ms);
        REQUIRE(it.store.requestTimes.size() == 2);
        CHECK(it.store.requestTimes[1] - it.store.requestTimes[0] == PollingStore::Wait);
    }
    SECTION("and an event in the batch delay comes with the next one")
    {
        it.store.put("b/1", "x");
        it.scheduler.advance(20ms);
        it.store.put("a/1", "y");
        it.scheduler.advance(Options.batchDelay + 2 * PollingStore::LinkDelay);
        CHECK(it.a.events == Log{"a/1=y"});
    }
}

TEST_CASE("SharedWatch passes all other calls on")
{
    Fixture it;
    it.shared->get("k", nullptr);
    it.shared->compareAndSwap("k", {}, "v", {}, nullptr);
    it.shared->deleteKey("k", {}, nullptr);
    it.shared->grantLease(1s, nullptr);
    it.shared->keepLeaseAlive({}, nullptr);
    it.shared->revokeLease({}, nullptr);
    CHECK(it.store.otherCalls == Log{"get k", "put k", "delete k", "grant", "keep", "revoke"});
    CHECK(it.shared->era() == StoreEra{1});
}

namespace {

/// Three mirrors of one store, each with the keys that it has reported.
struct Mirrors
{
    struct One
    {
        std::map<std::string, std::string> keys;
        std::optional<TimePoint> confirmedAt;
        int restorations = 0;
        int lost = 0;
        std::unique_ptr<PrefixMirror> mirror;
    };

    VirtualScheduler scheduler;
    PollingStore store{scheduler};
    SharedWatch shared{store, scheduler, Options};
    std::map<std::string, One> mirrors;

    explicit Mirrors(bool isShared)
    {
        KeyValuePort &port = isShared ? static_cast<KeyValuePort &>(shared) : store;
        std::uint64_t seed = 0;
        for (const std::string prefix : {"a/", "b/", "c/"}) {
            store.put(prefix + "1", "old");
            One &one = mirrors[prefix];
            MirrorHandlers handlers;
            handlers.onPut = [&one](const KeyValueEntry &it, const std::optional<WriteTime> &) {
                one.keys[it.key] = it.value;
            };
            handlers.onRemoved = [&one](const std::string &key) { one.keys.erase(key); };
            handlers.onConfirmed = [&one](TimePoint asOf) { one.confirmedAt = asOf; };
            handlers.onReachable = [&one](bool reachable, const std::string &) {
                one.lost += reachable ? 0 : 1;
            };
            handlers.onRestored = [&one](const StoreRestoration &) { ++one.restorations; };
            one.mirror = std::make_unique<PrefixMirror>(port, scheduler, Random(++seed), prefix,
                                                        std::move(handlers));
            one.mirror->start();
        }
    }

    /// Each mirror has exactly its own keys with their latest values.
    void checkKeys(const std::string &value)
    {
        for (const auto &[prefix, it] : mirrors)
            CHECK(it.keys == std::map<std::string, std::string>{{prefix + "1", value}});
    }

    Duration oldestConfirmation() const
    {
        Duration oldest{0};
        for (const auto &[prefix, it] : mirrors)
            oldest = std::max(oldest, scheduler.now() - it.confirmedAt.value());
        return oldest;
    }

    void putAll(const std::string &value)
    {
        for (const std::string prefix : {"a/", "b/", "c/"})
            store.put(prefix + "1", value);
    }
};

} // namespace

// Guards against mirrors that behave differently on one common watch than on watches of their own.
TEST_CASE("Mirrors behave alike with a shared watch and with watches of their own")
{
    const bool isShared = GENERATE(true, false);
    CAPTURE(isShared);
    Mirrors it(isShared);
    it.scheduler.advance(5s);
    it.checkKeys("old");

    SECTION("number of calls in calm")
    {
        const int before = it.store.watchCalls;
        it.scheduler.advance(102s);
        CHECK(it.store.watchCalls - before == (isShared ? 100 : 300));
        CHECK(it.store.lists == 3);
    }
    SECTION("changes are reported, and confirmations get no older than two calls")
    {
        for (int i = 0; i < 200; ++i) {
            it.store.put("b/1", std::to_string(i));
            it.scheduler.advance(std::chrono::milliseconds(7 * (i % 60)));
            CHECK(it.oldestConfirmation()
                  <= 2 * (PollingStore::Wait + 2 * PollingStore::LinkDelay));
        }
        it.putAll("new");
        it.scheduler.advance(2s);
        it.checkKeys("new");
        CHECK(it.store.lists == 3);
    }
    SECTION("an outage is reported once, and what was written meanwhile afterwards")
    {
        it.store.setReachable(false);
        it.scheduler.advance(10s);
        it.putAll("new");
        it.store.setReachable(true);
        it.scheduler.advance(3s);
        it.checkKeys("new");
        for (const auto &[prefix, one] : it.mirrors) {
            CHECK(one.lost == 1);
            CHECK(one.mirror->lastFailedCall());
        }
        CHECK(it.oldestConfirmation() <= 2 * (PollingStore::Wait + 2 * PollingStore::LinkDelay));
    }
    SECTION("a compacted history is replaced by a list")
    {
        it.store.compact();
        it.putAll("new");
        it.scheduler.advance(2s);
        it.checkKeys("new");
        CHECK(it.store.lists == 6);
    }
    SECTION("a restored copy replaces what was reported")
    {
        it.putAll("copied");
        it.store.copy();
        it.putAll("lost");
        it.scheduler.advance(2s);
        it.checkKeys("lost");
        it.store.restore();
        it.scheduler.advance(2s);
        it.checkKeys("copied");
        it.putAll("new");
        it.scheduler.advance(3s);
        it.checkKeys("new");
        for (const auto &[prefix, one] : it.mirrors)
            CHECK(one.restorations == 1);
    }
}

// Guards against one call for each mirror at the start of a process.
TEST_CASE("Mirrors that start together share their first call")
{
    Mirrors it(true);
    it.scheduler.advance(500ms);
    CHECK(it.store.watchCalls == 1);
}

// Guards against a destroyed mirror that is called by the common watch.
TEST_CASE("A mirror may be destroyed in a callback of the shared watch")
{
    Mirrors it(true);
    it.scheduler.advance(500ms);
    Subscriber other;
    other.onEvent = [&] { it.mirrors.at("b/").mirror.reset(); };
    other.start(it.shared, "c/", it.store.revision() + 1);
    it.scheduler.advance(200ms);
    it.store.put("c/1", "x");
    it.scheduler.advance(1s);
    it.store.put("b/1", "x");
    it.store.put("a/1", "x");
    it.scheduler.advance(1s);
    CHECK(it.mirrors.at("b/").keys.at("b/1") == "old");
    CHECK(it.mirrors.at("a/").keys.at("a/1") == "x");
}
