#include <godwit/mirror/prefixmirror.h>
#include <godwit/platform/platformstore.h>
#include <godwit/ports/asioscheduler.h>
#include <godwit/standin/fleetstorestandin.h>

#include "loopback.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
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
    platform::PlatformStore store{
            client,
            scheduler,
            {standin.endpoint(), [] { return Duration(50ms); }, Duration{0}, 600ms, 500ms}};

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
    const auto watch = it.store.watch("p/", StoreRevision{1}, handlers);
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
