#include "contract.h"

#include <godwit/ports/base64.h>
#include <godwit/ports/calleffect.h>
#include <godwit/ports/etcdkeyvalue.h>
#include <godwit/standin/keyvaluestandin.h>

using namespace godwit;
using namespace godwit::standin;
using namespace std::chrono_literals;

namespace {

struct Fixture : Contract<KeyValueStandin, EtcdKeyValue, KeyValueConfig>
{
    using Contract::Contract;

    std::optional<KeyValueEntry> get(const std::string &key)
    {
        return valueOf(
                await<std::optional<KeyValueEntry>>([&](auto done) { port->get(key, done); }));
    }
    Outcome<StoreRevision> swap(const std::string &key, StoreRevision expected,
                                const std::string &value, LeaseId lease = {})
    {
        return await<StoreRevision>(
                [&](auto done) { port->compareAndSwap(key, expected, value, lease, done); });
    }
    ResultCode remove(const std::string &key, StoreRevision expected)
    {
        return codeOf(await<Done>([&](auto done) { port->deleteKey(key, expected, done); }));
    }
    LeaseId lease(Duration span)
    {
        return valueOf(await<LeaseId>([&](auto done) { port->grantLease(span, done); }));
    }
    Outcome<Duration> keepAlive(LeaseId id)
    {
        return await<Duration>([&](auto done) { port->keepLeaseAlive(id, done); });
    }
    ResultCode revoke(LeaseId id)
    {
        return codeOf(await<Done>([&](auto done) { port->revokeLease(id, done); }));
    }
};

/// Collects the notifications of a watch.
struct WatchRecorder
{
    std::optional<StoreRevision> started;
    std::vector<WatchEvent> events;
    std::optional<Outcome<Done>> end;

    WatchHandlers handlers()
    {
        return {[this](StoreRevision revision) { started = revision; },
                [this](const std::vector<WatchEvent> &more) {
                    events.insert(events.end(), more.begin(), more.end());
                },
                [this](Outcome<Done> outcome) { end = std::move(outcome); }};
    }
};

constexpr StoreRevision Absent{0};

} // namespace

TEST_CASE("Key-value compare-and-swap")
{
    Fixture f;
    const std::string binary("\0\xFF\n\"value", 9);
    const StoreRevision first = valueOf(f.swap("/k", Absent, binary));

    SECTION("a key keeps its bytes and its revision")
    {
        const auto entry = f.get("/k");
        REQUIRE(entry);
        CHECK(*entry == KeyValueEntry{"/k", binary, first, LeaseId{}});
        CHECK_FALSE(f.get("/other"));
    }
    // Guards against a lost update.
    SECTION("a write with an unexpected revision changes nothing")
    {
        CHECK(codeOf(f.swap("/k", Absent, "x")) == ResultCode::CompareFailed);
        CHECK(codeOf(f.swap("/k", {first.value + 1}, "x")) == ResultCode::CompareFailed);
        CHECK(codeOf(f.swap("/new", first, "x")) == ResultCode::CompareFailed);
        CHECK(f.get("/k")->value == binary);
        const StoreRevision second = valueOf(f.swap("/k", first, "x"));
        CHECK(second > first);
        CHECK(f.get("/k")->modified == second);
    }
    SECTION("delete")
    {
        CHECK(f.remove("/k", {first.value + 1}) == ResultCode::CompareFailed);
        CHECK(f.get("/k"));
        CHECK(f.remove("/k", GENERATE_COPY(first, Absent)) == ResultCode::Ok);
        CHECK_FALSE(f.get("/k"));
        CHECK(f.remove("/k", Absent) == ResultCode::Ok);
    }
    SECTION("list by prefix")
    {
        const std::string prefix = GENERATE(std::string("/p/"), std::string("/p\xFF"));
        valueOf(f.swap(prefix + "b", Absent, "2"));
        valueOf(f.swap(prefix + "a", Absent, "1"));
        const StoreRevision last = valueOf(f.swap("/q", Absent, "3"));
        const auto list =
                valueOf(f.await<KeyValueList>([&](auto done) { f.port->list(prefix, done); }));
        REQUIRE(list.entries.size() == 2);
        CHECK(list.entries[0].key == prefix + "a");
        CHECK(list.position == StorePosition{{}, last});
        const auto all = valueOf(f.await<KeyValueList>([&](auto done) { f.port->list("", done); }));
        CHECK(all.entries.size() == 4);
    }
    SECTION("values up to 1 MB")
    {
        CHECK(codeOf(f.swap("/big", Absent, std::string(1'000'000, 'x'))) == ResultCode::Ok);
        CHECK(codeOf(f.swap("/huge", Absent, std::string(1'000'001, 'x')))
              == ResultCode::PlatformRejected);
    }
    // Guards against treating a write whose reply was lost as one without effect.
    SECTION("effect of a failed write")
    {
        struct Row
        {
            const char *fault;
            bool written;
        };
        const auto row = GENERATE(Row{"reply_lost", true}, Row{"refuse", false},
                                  Row{"write_rate", false}, Row{"outage", false});
        f.setFault({row.fault, true, 1, -1, 0, "/txn"});
        const auto outcome = f.swap("/k", first, "x");
        CHECK(f.standin.counterValue("txn") == 2);
        REQUIRE_FALSE(succeeded(outcome));
        if (row.written)
            CHECK(mayHaveTakenEffect(codeOf(outcome)));
        CHECK((f.get("/k")->value == "x") == row.written);
    }
    SECTION("calls are counted by kind")
    {
        f.get("/k");
        f.get("/k");
        CHECK(f.standin.counterValue("txn") == 1);
        CHECK(f.standin.counterValue("range") == 2);
    }
}

TEST_CASE("Key-value leases")
{
    Fixture f;
    const LeaseId lease = f.lease(9500ms);
    valueOf(f.swap("/leased", Absent, "x", lease));
    CHECK(f.get("/leased")->lease == lease);
    CHECK(valueOf(f.keepAlive(lease)) == 10s);

    SECTION("revoking or expiring a lease deletes its keys")
    {
        if (GENERATE(true, false))
            CHECK(f.revoke(lease) == ResultCode::Ok);
        else
            f.setFault({"expire_leases", true, 1, -1, 0, ""});
        CHECK_FALSE(f.get("/leased"));
        CHECK(codeOf(f.keepAlive(lease)) == ResultCode::LeaseExpired);
        CHECK(f.revoke(lease) == ResultCode::LeaseExpired);
        CHECK(codeOf(f.swap("/leased", Absent, "x", lease)) == ResultCode::LeaseExpired);
    }
    SECTION("a key that was detached from its lease is kept")
    {
        valueOf(f.swap("/leased", f.get("/leased")->modified, "y"));
        CHECK(f.revoke(lease) == ResultCode::Ok);
        CHECK(f.get("/leased")->value == "y");
    }
    SECTION("a lease that is not renewed expires")
    {
        WatchRecorder watched;
        f.port->watch("/short", {}, watched.handlers());
        runUntil(f.io, [&] { return watched.started.has_value(); });
        const auto written = f.swap("/short", Absent, "x", f.lease(1s));
        // On a very busy machine the lease may expire before the write.
        if (codeOf(written) != ResultCode::LeaseExpired) {
            runUntil(f.io, [&] { return watched.events.size() == 2; });
            CHECK(watched.events[1].deleted);
        }
    }
}

TEST_CASE("Key-value watches")
{
    Fixture f;
    WatchRecorder watched;
    const StoreRevision first = valueOf(f.swap("/w/a", Absent, "1"));

    SECTION("reports writes below the prefix, from now on or from a revision")
    {
        const bool past = GENERATE(false, true);
        f.port->watch("/w/", {{}, past ? first : Absent}, watched.handlers());
        runUntil(f.io, [&] { return watched.started.has_value(); });
        CHECK(*watched.started == first);
        valueOf(f.swap("/other", Absent, "x"));
        const StoreRevision second = valueOf(f.swap("/w/a", first, "2"));
        CHECK(f.remove("/w/a", second) == ResultCode::Ok);
        const std::size_t n = past ? 3 : 2;
        runUntil(f.io, [&] { return watched.events.size() >= n; });
        REQUIRE(watched.events.size() == n);
        CHECK(watched.events.front().entry.value == (past ? "1" : "2"));
        CHECK(watched.events[n - 2].entry.modified == second);
        CHECK(watched.events[n - 1].deleted);
        CHECK(watched.events[n - 1].entry.modified > second);
    }
    // Guards against a watch that silently skips compacted events.
    SECTION("a watch from a compacted revision fails")
    {
        f.setFault({"compact", true, 1, -1, 0, ""});
        f.port->watch("/w/", {{}, first}, watched.handlers());
        runUntil(f.io, [&] { return watched.end.has_value(); });
        CHECK(codeOf(*watched.end) == ResultCode::WatchCompacted);
        CHECK(watched.events.empty());
    }
    SECTION("an outage ends the watch")
    {
        f.port->watch("/w/", {}, watched.handlers());
        runUntil(f.io, [&] { return watched.started.has_value(); });
        f.setFault({"outage", true, 1, -1, 0, ""});
        runUntil(f.io, [&] { return watched.end.has_value(); });
        CHECK(codeOf(*watched.end) == ResultCode::PlatformReplyLost);
    }
    SECTION("a silent service ends the watch")
    {
        KeyValueConfig config;
        config.progressInterval = std::chrono::hours(1);
        Fixture silent(config);
        EtcdKeyValue port(silent.client, silent.options, 200ms);
        port.watch("/w/", {}, watched.handlers());
        runUntil(silent.io, [&] { return watched.end.has_value(); });
        CHECK(codeOf(*watched.end) == ResultCode::PlatformTimeout);
    }
    // Guards against cancelled watches that stay registered at the service.
    SECTION("a cancelled watch is removed from the service")
    {
        const auto call = f.port->watch("/w/", {}, watched.handlers());
        runUntil(f.io, [&] { return watched.started.has_value(); });
        CHECK(f.standin.pendingWatches() == 1);
        call->cancel();
        runUntil(f.io, [&] { return watched.end && f.standin.pendingWatches() == 0; });
        CHECK(codeOf(*watched.end) == ResultCode::CallCancelled);
        CHECK(f.standin.counterValue("watch") == 1);
    }
}

TEST_CASE("Key-value store in virtual time")
{
    const TimePoint start(1h);
    KeyValueStore store(3);
    const auto put = [&](const std::string &name, std::uint64_t lease = 0) {
        return succeeded(capture([&]() -> Result<bool> {
            BOOST_LEAF_CHECK(store.apply({{false, name, {}, "v", lease}}));
            return true;
        }));
    };

    SECTION("a lease expires at its expiry time and not before")
    {
        const auto lease = store.grantLease(10, start);
        CHECK(put("k", lease));
        CHECK_FALSE(store.expire(start + 9999ms));
        CHECK(store.keepAlive(lease, start + 9s) == 10);
        CHECK_FALSE(store.expire(start + 18s));
        CHECK(store.nextExpiry() == start + 19s);
        CHECK(store.expire(start + 19s));
        CHECK(store.find("k") == nullptr);
        CHECK_FALSE(put("k", lease));
    }
    SECTION("the history is bounded")
    {
        for (int i = 0; i < 5; ++i)
            CHECK(put("k" + std::to_string(i)));
        CHECK_FALSE(store.eventsFrom(store.revision() - 3).has_value());
        CHECK(store.eventsFrom(store.revision() - 2)->size() == 3);
    }
}

TEST_CASE("Base64")
{
    for (const std::string &bytes : {std::string(), std::string("f"), std::string("fo"),
                                     std::string("foo"), std::string("\0\xFF\x80", 3)})
        CHECK(base64Decode(base64Encode(bytes)) == bytes);
    CHECK(base64Encode("foobar!") == "Zm9vYmFyIQ==");
    for (const char *text : {"Zg=", "Zg=a", "Z===", "Zm9v!A==", "=AAA"})
        CHECK_FALSE(base64Decode(text).has_value());
}
