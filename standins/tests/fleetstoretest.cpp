#include <godwit/mirror/prefixmirror.h>
#include <godwit/mirror/sharedwatch.h>
#include <godwit/platform/platformstore.h>
#include <godwit/ports/asioscheduler.h>
#include <godwit/standin/fleetstorestandin.h>

#include "loopback.h"

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    boost::asio::io_context io;
    FleetStoreStandin standin{io};
    HttpClient client{io};
    AsioScheduler scheduler{io};
    std::map<std::string, int> callsByKind; ///< As reported by the store below.
    platform::PlatformStore store{
            client,
            scheduler,
            {standin.endpoint(), [] { return Duration(50ms); }, Duration{0}, 600ms, 500ms,
             makeSharedStoreEra(),
             [this](std::string_view kind) { ++callsByKind[std::string(kind)]; }}};

    template <typename T>
    Outcome<T> wait(const std::function<void(Completion<T>)> &call)
    {
        std::optional<Outcome<T>> result;
        call([&](Outcome<T> outcome) { result = std::move(outcome); });
        runUntil(io, [&] { return result.has_value(); });
        return *result;
    }

    Outcome<StoreRevision> swap(const std::string &key, std::uint64_t expected,
                                const std::string &value, LeaseId lease = {})
    {
        return wait<StoreRevision>([&](Completion<StoreRevision> done) {
            store.compareAndSwap(key, StoreRevision{expected}, value, lease, std::move(done));
        });
    }

    Outcome<std::optional<KeyValueEntry>> get(const std::string &key)
    {
        return wait<std::optional<KeyValueEntry>>(
                [&](auto done) { store.get(key, std::move(done)); });
    }
};

template <typename T>
ResultCode codeOf(const Outcome<T> &outcome)
{
    return succeeded(outcome) ? ResultCode::Ok : std::get<Error>(outcome).code;
}

} // namespace

TEST_CASE("PlatformStore works with the simulated metadata store")
{
    Fixture it;

    SECTION("compare and swap")
    {
        const auto first = it.swap("my/a", 0, "one");
        REQUIRE(succeeded(first));
        CHECK(codeOf(it.swap("my/a", 0, "two")) == ResultCode::CompareFailed);
        CHECK(succeeded(it.swap("my/a", std::get<0>(first).value, "two")));
        CHECK(std::get<0>(it.get("my/a"))->value == "two");
        CHECK_FALSE(std::get<0>(it.get("my/b")));
    }
    SECTION("a write whose reply is lost may have taken effect")
    {
        it.standin.dropNextReplies = 1;
        CHECK(codeOf(it.swap("my/a", 0, "one")) == ResultCode::PlatformReplyLost);
        CHECK(std::get<0>(it.get("my/a"))->value == "one");
    }
    SECTION("a refused write has no effect")
    {
        it.standin.rejectNextCalls = 1;
        CHECK(codeOf(it.swap("my/a", 0, "one")) == ResultCode::PlatformRefused);
        CHECK_FALSE(std::get<0>(it.get("my/a")));
    }
    SECTION("revoking a lease deletes its keys")
    {
        const auto lease = it.wait<LeaseId>([&](auto done) { it.store.grantLease(3s, done); });
        REQUIRE(succeeded(lease));
        CHECK(succeeded(it.swap("my/a", 0, "one", std::get<0>(lease))));
        CHECK(succeeded(it.wait<Duration>(
                [&](auto done) { it.store.keepLeaseAlive(std::get<0>(lease), done); })));
        CHECK(succeeded(
                it.wait<Done>([&](auto done) { it.store.revokeLease(std::get<0>(lease), done); })));
        CHECK_FALSE(std::get<0>(it.get("my/a")));
        CHECK(codeOf(it.wait<Duration>(
                      [&](auto done) { it.store.keepLeaseAlive(std::get<0>(lease), done); }))
              == ResultCode::LeaseExpired);
        CHECK(codeOf(it.swap("my/b", 0, "one", std::get<0>(lease))) == ResultCode::LeaseExpired);
    }
    SECTION("a list of several pages is complete")
    {
        it.standin.pageSize = 3;
        for (int i = 0; i < 10; ++i)
            it.standin.put("p/" + std::to_string(i), std::to_string(i));
        it.standin.put("q/x", "other");
        const auto list = it.wait<KeyValueList>([&](auto done) { it.store.list("p/", done); });
        REQUIRE(succeeded(list));
        CHECK(std::get<0>(list).entries.size() == 10);
    }
}

// Guards against a watch that claims to have waited although the service answered with an event: a
// version would be taken for newer than it is.
// Guards against calls that the metric of a process does not count although callers pay for them.
TEST_CASE("PlatformStore reports its calls by kind")
{
    Fixture it;
    it.standin.pageSize = 2;
    for (int i = 0; i < 4; ++i)
        it.standin.put("p/" + std::to_string(i), "1");
    it.get("p/1");
    it.wait<KeyValueList>([&](auto done) { it.store.list("p/", done); });
    it.swap("my/a", 0, "one");
    it.wait<Done>([&](auto done) { it.store.deleteKey("my/a", {}, done); });
    const auto lease = it.wait<LeaseId>([&](auto done) { it.store.grantLease(3s, done); });
    it.wait<Duration>([&](auto done) { it.store.keepLeaseAlive(std::get<0>(lease), done); });
    it.wait<Done>([&](auto done) { it.store.revokeLease(std::get<0>(lease), done); });
    CHECK(it.callsByKind
          == std::map<std::string, int>{{"get", 1}, {"list", 2}, {"write", 2}, {"lease", 3}});
    int polls = 0;
    WatchHandlers handlers;
    handlers.onEvents = [](const std::vector<WatchEvent> &) {};
    handlers.onEnd = [](const Outcome<Done> &) {};
    handlers.onPollStarted = [&] { ++polls; };
    const auto watch = it.store.watch("p/", {it.store.era(), {5}}, handlers);
    runUntil(it.io, [&] { return polls == 3; });
    CHECK(it.callsByKind["watch"] == 3);
    CHECK(it.standin.callCount == 1 + 2 + 2 + 3 + 2);
    watch->cancel();
}

TEST_CASE("PlatformStore tells whether a watch call has waited in vain")
{
    Fixture it;
    std::vector<std::string> log;
    TimePoint pollStart;
    TimePoint quietUntil;
    WatchHandlers handlers;
    handlers.onPollStarted = [&] { pollStart = it.scheduler.now(); };
    handlers.onQuietUntil = [&](TimePoint time) {
        log.emplace_back("quiet");
        quietUntil = time;
        CHECK(time >= pollStart + 50ms);
        CHECK(time <= it.scheduler.now());
    };
    handlers.onEvents = [&](const auto &) { log.emplace_back("event"); };
    handlers.onConfirmed = [&](StoreRevision, TimePoint requestTime) {
        log.emplace_back("confirmed");
        CHECK(requestTime >= pollStart);
    };
    handlers.onEnd = [](const Outcome<Done> &) {};
    const auto watch =
            it.store.watch("p/", {StoreEra{it.standin.era()}, StoreRevision{1}}, handlers);
    runUntil(it.io, [&] { return log.size() == 2; });
    CHECK(log == std::vector<std::string>{"quiet", "confirmed"});
    it.standin.put("p/a", "1");
    runUntil(it.io, [&] { return std::ranges::find(log, "event") != log.end(); });
    runUntil(it.io, [&] { return log.back() == "confirmed"; });
    CHECK(log[log.size() - 2] == "event");
    watch->cancel();
}

TEST_CASE("PrefixMirror follows the simulated store through refused calls and a compaction")
{
    Fixture it;
    std::map<std::string, std::string> seen;
    bool confirmed = false;
    PrefixMirror mirror(it.store, it.scheduler, Random(1), "p/",
                        {[&](const KeyValueEntry &entry, const std::optional<WriteTime> &) {
                             seen[entry.key] = entry.value;
                         },
                         [&](const std::string &key) { seen.erase(key); },
                         [&](TimePoint) { confirmed = true; }, [](bool, const std::string &) {}});
    it.standin.put("p/a", "1");
    it.standin.put("p/b", "1");
    mirror.start();
    runUntil(it.io, [&] { return seen.size() == 2 && confirmed; });

    it.standin.put("p/a", "2");
    it.standin.remove("p/b");
    runUntil(it.io, [&] { return seen == std::map<std::string, std::string>{{"p/a", "2"}}; });

    it.standin.rejectNextCalls = 3;
    it.standin.put("p/c", "3");
    runUntil(it.io, [&] { return seen.contains("p/c"); });

    it.standin.remove("p/a");
    it.standin.put("p/d", "4");
    it.standin.compact();
    runUntil(it.io, [&] {
        return seen == std::map<std::string, std::string>{{"p/c", "3"}, {"p/d", "4"}};
    });
}

namespace {

/// Watches the prefix "p/" from the position of its list, and records what is reported.
struct RecordedWatch
{
    Fixture &it;
    std::vector<std::string> reported;
    std::optional<Outcome<Done>> end;
    StorePosition from;
    std::shared_ptr<CallHandle> handle;

    explicit RecordedWatch(Fixture &fixture)
        : it(fixture)
    {
        const auto list = it.wait<KeyValueList>([&](auto done) { it.store.list("p/", done); });
        from = std::get<0>(list).position;
    }

    void start()
    {
        WatchHandlers handlers;
        handlers.onEvents = [this](const std::vector<WatchEvent> &events) {
            for (const WatchEvent &event : events)
                reported.push_back(event.entry.value);
        };
        handlers.onConfirmed = [this](StoreRevision, TimePoint) {
            reported.emplace_back("confirmed");
        };
        handlers.onEnd = [this](Outcome<Done> outcome) { end = std::move(outcome); };
        handle = it.store.watch("p/", {from.era, {from.revision.value + 1}}, handlers);
    }
    void finish()
    {
        runUntil(it.io, [&] { return end || !reported.empty(); });
        handle->cancel();
    }
};

} // namespace

// Revisions are assigned again after the store has come back from a copy. Guards against a watch
// that takes those of the new era for later ones of the old era: what was written again with a
// lower revision would never be reported.
TEST_CASE("PlatformStore ends a watch when the store has come back from a copy")
{
    Fixture it;
    it.standin.put("p/a", "1");
    it.standin.copy();
    it.standin.put("p/a", "2");
    RecordedWatch watch(it);

    SECTION("and has had as many writes since as the copy lacks")
    {
        it.standin.restore();
        it.standin.put("p/b", "3");
        it.standin.put("p/c", "4");
        REQUIRE(it.standin.revision() > watch.from.revision.value);
        watch.start();
        watch.finish();
    }
    SECTION("and has fewer revisions")
    {
        it.standin.restore();
        watch.start();
        watch.finish();
    }
    SECTION("and refuses the call")
    {
        it.standin.restore();
        it.standin.rejectNextCalls = 1;
        watch.start();
        watch.finish();
    }
    REQUIRE(watch.end);
    CHECK(watch.reported.empty());
    CHECK(codeOf(*watch.end) == ResultCode::StoreRestored);
}

// Guards against a store without eras, whose watches must not end.
TEST_CASE("PlatformStore watches a store that states no era")
{
    Fixture it;
    it.standin.statesEra = false;
    it.standin.put("p/a", "1");
    RecordedWatch watch(it);
    it.standin.put("p/a", "2");
    watch.start();
    watch.finish();
    CHECK_FALSE(watch.end);
    CHECK(watch.reported == std::vector<std::string>{"2", "confirmed"});
    CHECK(it.store.era() == StoreEra{});
}

// Guards against leases and revisions of an earlier era in the hands of their holder: the ids are
// assigned again, and a key could end with the lease of another process.
TEST_CASE("PlatformStore reports a write that the restored store has answered")
{
    Fixture it;
    REQUIRE(codeOf(it.get("my/a")) == ResultCode::Ok);
    it.standin.copy();
    const auto lease = it.wait<LeaseId>([&](auto done) { it.store.grantLease(3s, done); });
    REQUIRE(succeeded(lease));
    it.standin.restore();

    SECTION("as uncertain")
    {
        const auto other = it.wait<LeaseId>([&](auto done) { it.store.grantLease(3s, done); });
        CHECK(codeOf(other) == ResultCode::StoreRestored);
        CHECK(it.store.era() == StoreEra{it.standin.era()});
        // The next ones begin in the new era.
        CHECK(codeOf(it.swap("my/a", 0, "one")) == ResultCode::Ok);
    }
    SECTION("also if it was refused")
    {
        CHECK(codeOf(it.swap("my/a", 0, "one", std::get<0>(lease))) == ResultCode::StoreRestored);
    }
    SECTION("and not a read, which needs nothing of the old era")
    {
        CHECK(codeOf(it.get("my/a")) == ResultCode::Ok);
        CHECK(it.store.era() == StoreEra{it.standin.era()});
    }
}

// The connections of a process have different delays. Guards against a response from before the
// copy was restored that arrives after one from the restored store, and is taken for newer.
TEST_CASE("PlatformStore uses no response of an earlier era than one that another client has seen")
{
    Fixture it;
    it.standin.copy();
    it.standin.restore();
    const auto newest = makeSharedStoreEra();
    const auto open = [&](const HttpEndpoint &endpoint) {
        return platform::PlatformStore(
                it.client, it.scheduler,
                {endpoint, [] { return Duration(50ms); }, Duration{0}, 600ms, 500ms, newest});
    };
    platform::PlatformStore first = open(it.standin.endpoint());
    FleetStoreStandin late(it.io);
    platform::PlatformStore second = open(late.endpoint());
    const auto current = it.wait<KeyValueList>([&](auto done) { first.list("p/", done); });
    CHECK(std::get<0>(current).position.era == StoreEra{2});
    CHECK(codeOf(it.wait<KeyValueList>([&](auto done) { second.list("p/", done); }))
          == ResultCode::StoreRestored);
    CHECK(codeOf(it.wait<std::optional<KeyValueEntry>>([&](auto done) { second.get("p/a", done); }))
          == ResultCode::StoreRestored);
}

// Guards against a list of which some pages lack what others have.
TEST_CASE("PlatformStore fails a list whose pages are of different eras")
{
    Fixture it;
    it.standin.pageSize = 1;
    it.standin.put("p/a", "1");
    it.standin.put("p/b", "1");
    it.standin.copy();
    std::optional<Outcome<KeyValueList>> result;
    const int before = it.standin.callCount;
    it.store.list("p/", [&](Outcome<KeyValueList> outcome) { result = std::move(outcome); });
    runUntil(it.io, [&] { return it.standin.callCount > before; });
    it.standin.restore();
    runUntil(it.io, [&] { return result.has_value(); });
    CHECK(codeOf(*result) == ResultCode::StoreRestored);
}

// Guards against a process that polls a restored store without a delay and never sees its changes.
TEST_CASE("PrefixMirror follows the simulated store through a restoration")
{
    Fixture it;
    std::map<std::string, std::string> seen;
    int confirmations = 0;
    int restorations = 0;
    MirrorHandlers handlers{[&](const KeyValueEntry &entry, const std::optional<WriteTime> &) {
                                seen[entry.key] = entry.value;
                            },
                            [&](const std::string &key) { seen.erase(key); },
                            [&](TimePoint) { ++confirmations; }, [](bool, const std::string &) {}};
    handlers.onRestored = [&](const StoreRestoration &) { ++restorations; };
    PrefixMirror mirror(it.store, it.scheduler, Random(1), "p/", handlers);
    it.standin.put("p/a", "1");
    it.standin.copy();
    it.standin.put("p/a", "2");
    it.standin.put("p/b", "2");
    mirror.start();
    runUntil(it.io, [&] { return seen.size() == 2; });

    for (int i = 1; i <= 2; ++i) {
        it.standin.restore();
        runUntil(it.io, [&] { return seen == std::map<std::string, std::string>{{"p/a", "1"}}; });
        CHECK(restorations == i);
        it.standin.put("p/a", "2");
        it.standin.put("p/b", "2");
        runUntil(it.io, [&] { return seen.size() == 2 && seen["p/a"] == "2"; });
    }
    const int before = it.standin.callCount;
    const int from = confirmations;
    runUntil(it.io, [&] { return confirmations >= from + 5; });
    CHECK(it.standin.callCount <= before + 6);
}

// Guards against a common watch that loses or mixes up keys of its mirrors with the calls and
// connections of the adapter, among them calls that it replaces.
TEST_CASE("Mirrors of one SharedWatch follow the simulated store")
{
    Fixture it;
    it.standin.statesEra = true;
    SharedWatch shared(it.store, it.scheduler, {50ms, 20ms});
    using Keys = std::map<std::string, std::string>;
    std::map<std::string, Keys> seen;
    std::map<std::string, int> confirmations;
    std::vector<std::unique_ptr<PrefixMirror>> mirrors;
    for (const std::string prefix : {"a/", "b/", "c/"}) {
        it.standin.put(prefix + "1", "1");
        mirrors.push_back(std::make_unique<PrefixMirror>(
                shared, it.scheduler, Random(mirrors.size()), prefix,
                MirrorHandlers{[&seen, prefix](const KeyValueEntry &entry,
                                               const std::optional<WriteTime> &) {
                                   seen[prefix][entry.key] = entry.value;
                               },
                               [&seen, prefix](const std::string &key) { seen[prefix].erase(key); },
                               [&confirmations, prefix](TimePoint) { ++confirmations[prefix]; },
                               [](bool, const std::string &) {}}));
        mirrors.back()->start();
    }
    const auto awaitAll = [&](const std::string &value) {
        runUntil(it.io, [&] {
            return seen
                   == std::map<std::string, Keys>{{"a/", {{"a/1", value}}},
                                                  {"b/", {{"b/1", value}}},
                                                  {"c/", {{"c/1", value}}}};
        });
    };
    const auto putAll = [&](const std::string &value) {
        for (const std::string prefix : {"c/", "a/", "b/"})
            it.standin.put(prefix + "1", value);
    };
    awaitAll("1");

    SECTION("through writes, also of other keys")
    {
        for (int i = 2; i < 10; ++i) {
            it.standin.put("other/1", std::to_string(i));
            putAll(std::to_string(i));
            awaitAll(std::to_string(i));
        }
    }
    SECTION("through refused calls")
    {
        it.standin.rejectNextCalls = 4;
        putAll("2");
        awaitAll("2");
        it.standin.rejectNextCalls = 2;
        runUntil(it.io, [&] { return it.standin.rejectNextCalls == 0; });
        putAll("3");
        awaitAll("3");
    }
    SECTION("through a compaction")
    {
        putAll("2");
        it.standin.compact();
        awaitAll("2");
    }
    SECTION("through a restoration")
    {
        it.standin.copy();
        putAll("2");
        awaitAll("2");
        it.standin.restore();
        awaitAll("1");
        putAll("3");
        awaitAll("3");
    }
    const int before = it.standin.callCount;
    const int from = confirmations["a/"];
    runUntil(it.io, [&] { return confirmations["a/"] >= from + 10; });
    CHECK(confirmations["c/"] >= 10);
    CHECK(it.standin.callCount <= before + 14);
}

// Guards against a stand-in that ends by itself: a key is written as the time of a watch ends, so
// that the watch has been answered when the handler of its timer runs.
TEST_CASE("A watch that is answered as its time ends")
{
    Fixture it;
    HttpCall call;
    call.endpoint = it.standin.endpoint();
    call.target = "/godwitrun/kv-watch?prefix=a/&after=0&wait_ms=30";
    std::optional<Outcome<HttpResponse>> result;
    it.client.call(call, [&](auto response) { result = std::move(response); });
    runUntil(it.io, [&] { return it.standin.callCount == 1; });
    // Expires before the watch; both handlers are ready when the loop goes on.
    boost::asio::steady_timer writer(it.io, 1ms);
    writer.async_wait([&](const auto &) { it.standin.put("a/1", "text"); });
    std::this_thread::sleep_for(60ms);
    runUntil(it.io, [&] { return result.has_value(); });
    REQUIRE(std::holds_alternative<HttpResponse>(*result));
    CHECK(std::get<HttpResponse>(*result).status == 200);
    it.io.restart();
    it.io.poll();
}
