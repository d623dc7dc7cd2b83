#include "contract.h"

#include <godwit/ports/calleffect.h>
#include <godwit/ports/etcdkeyvalue.h>
#include <godwit/ports/httpengine.h>
#include <godwit/ports/httphostlist.h>
#include <godwit/ports/httporigin.h>
#include <godwit/ports/httpplainservice.h>
#include <godwit/ports/httpweightstore.h>
#include <godwit/standin/enginestandin.h>
#include <godwit/standin/hostliststandin.h>
#include <godwit/standin/keyvaluestandin.h>
#include <godwit/standin/objectstandin.h>
#include <godwit/standin/plainservicestandin.h>

using namespace godwit;
using namespace godwit::standin;

namespace {

using KeyValue = Contract<KeyValueStandin, EtcdKeyValue, KeyValueConfig>;
using Hosts = Contract<HostListStandin, HttpHostList, HostListConfig>;
using Weights = Contract<ObjectStandin, HttpWeightStore, ObjectConfig>;
using Origin = Contract<ObjectStandin, HttpOrigin, ObjectConfig>;
using Engine = Contract<EngineStandin, HttpEngine, EngineConfig>;
using Plain = Contract<PlainServiceStandin, HttpPlainService, PlainServiceConfig>;

struct FaultRow
{
    const char *fault;
    double value;
    ResultCode code;
};

constexpr FaultRow GeneralFaults[] = {
        {"outage", 0, ResultCode::PlatformReplyLost},
        {"refuse", 0, ResultCode::PlatformRefused},
        {"call_rate", 0, ResultCode::PlatformRefused},
        {"silent", 0, ResultCode::PlatformTimeout},
        {"reply_lost", 0, ResultCode::PlatformReplyLost},
        {"slow", 0.01, ResultCode::Ok},
};

/// Checks that a call of the port reports each general fault, and succeeds after the fault has been
/// switched off. \a callPort calls the given port and returns the result code.
template <typename Fixture, typename Call>
void checkGeneralFaults(Fixture &f, Call callPort)
{
    const auto call = [&] { return callPort(*f.port); };
    REQUIRE(call() == ResultCode::Ok);
    for (const FaultRow &row : GeneralFaults) {
        INFO(row.fault);
        f.setFault({row.fault, true, 1, -1, row.value, ""});
        const bool unanswered = row.code == ResultCode::PlatformTimeout;
        CHECK(callPort(unanswered ? *f.shortTimeoutPort : *f.port) == row.code);
        f.setFault({row.fault, false, 1, -1, 0, ""});
        CHECK(call() == ResultCode::Ok);
    }
    f.setFault({"refuse", true, 1, 1, 0, ""});
    CHECK(call() == ResultCode::PlatformRefused);
    CHECK(call() == ResultCode::Ok);
}

} // namespace

// Guards against a port that reports a fault as success, or does not recover after a fault.
TEST_CASE("Every port reports the general faults and recovers")
{
    SECTION("key-value service, read")
    {
        KeyValue f;
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(f.await<std::optional<KeyValueEntry>>(
                    [&](auto done) { port.get("key", done); }));
        });
    }
    SECTION("key-value service, lease")
    {
        KeyValue f;
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(f.await<LeaseId>(
                    [&](auto done) { port.grantLease(std::chrono::seconds(9), done); }));
        });
    }
    SECTION("host list")
    {
        Hosts f;
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(f.await<HostList>([&](auto done) { port.fetch(done); }));
        });
    }
    SECTION("weight store")
    {
        Weights f;
        const ModelPin pin{ModelId("m"), AdapterId(), VersionId("1")};
        f.standin.setManifest(pin, "manifest");
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(f.await<std::string>([&](auto done) { port.fetchManifest(pin, done); }));
        });
    }
    SECTION("origin")
    {
        Origin f;
        f.standin.setObject("o", "0123456789");
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(
                    f.await<std::string>([&](auto done) { port.readRange("o", 2, 5, done); }));
        });
    }
    SECTION("engine")
    {
        Engine f;
        checkGeneralFaults(f, [&](auto &port) {
            return codeOf(f.await<EngineState>([&](auto done) { port.readState(done); }));
        });
    }
    SECTION("plain service")
    {
        Plain f;
        checkGeneralFaults(f, [&](auto &port) {
            PlainCall call;
            // This port takes the timeout from the call instead of the options.
            call.timeout = &port == f.port.get() ? Duration(std::chrono::seconds(15))
                                                 : f.options.replyTimeout;
            const auto outcome =
                    f.await<HttpResponse>([&](auto done) { port.forward(call, done); });
            // This port returns all complete replies unchanged, including errors.
            if (succeeded(outcome) && std::get<0>(outcome).status == 429)
                return ResultCode::PlatformRefused;
            return codeOf(outcome);
        });
    }
}

TEST_CASE("A call to a closed port fails as unreachable")
{
    Hosts f;
    const HttpEndpoint gone = f.standin.endpoint();
    {
        Hosts other;
        f.options.endpoint = other.standin.endpoint();
    }
    HttpHostList port(f.client, f.options);
    CHECK(f.options.endpoint != gone);
    CHECK(codeOf(f.await<HostList>([&](auto done) { port.fetch(done); }))
          == ResultCode::PlatformUnreachable);
}

TEST_CASE("Host list")
{
    HostListConfig config;
    config.hosts = {{HostId("h1"), ZoneId("z"), "127.0.0.1", HostState::Live}};
    const std::vector<ListedHost> changed{
            {HostId("h1"), ZoneId("z"), "127.0.0.1", HostState::Leaving},
            {HostId("h2"), ZoneId("z"), "127.0.0.2", HostState::Live}};
    // One hour is longer than this test runs.
    const bool lagging = GENERATE(false, true);
    config.lag = lagging ? Duration(std::chrono::hours(1)) : Duration(0);
    Hosts f(config);
    f.standin.setHosts(changed);
    const auto list = valueOf(f.await<HostList>([&](auto done) { f.port->fetch(done); }));
    CHECK(list.hosts == (lagging ? config.hosts : changed));
    CHECK(list.version == (lagging ? 1 : 2));
}

TEST_CASE("Origin and weight store")
{
    ObjectConfig config;
    config.objects = {{"weights", 300'000, 7}};
    const std::string whole = generateBytes(300'000, 7);
    Origin f(config);
    const auto read = [&](std::uint64_t offset, std::uint64_t length) {
        return f.await<std::string>(
                [&](auto done) { f.port->readRange("weights", offset, length, done); });
    };

    SECTION("ranges, with the sent bytes counted")
    {
        CHECK(valueOf(read(0, 300'000)) == whole);
        CHECK(valueOf(read(1000, 200'000)) == whole.substr(1000, 200'000));
        CHECK(f.standin.counterValue("object_bytes") == 500'000);
        CHECK(f.standin.counterValue("object") == 2);
    }
    SECTION("a rate limit delays but does not change the bytes")
    {
        config.bytesPerSecond = 20e6;
        Origin limited(config);
        int matching = 0;
        for (int i = 0; i < 3; ++i)
            limited.port->readRange("weights", 0, 300'000, [&](const auto &outcome) {
                matching += valueOf(outcome) == whole;
            });
        runUntil(limited.io, [&] { return matching == 3; });
    }
    SECTION("faults")
    {
        struct Row
        {
            const char *fault;
            ResultCode code;
        };
        const auto row = GENERATE(Row{"truncate", ResultCode::PlatformBadReply},
                                  Row{"cut", ResultCode::PlatformReplyLost});
        f.setFault({row.fault, true, 1, 1, 0, ""});
        CHECK(codeOf(read(0, 300'000)) == row.code);
        CHECK(valueOf(read(0, 300'000)) == whole);
    }
    SECTION("a corrupt chunk has the right size")
    {
        f.setFault({"corrupt", true, 1, 1, 0, ""});
        const std::string corrupt = valueOf(read(10, 100'000));
        CHECK(corrupt.size() == 100'000);
        CHECK(corrupt != whole.substr(10, 100'000));
    }
    SECTION("requests for missing objects, ranges and manifests fail")
    {
        CHECK(codeOf(read(300'000, 1)) == ResultCode::PlatformRejected);
        CHECK(codeOf(read(299'999, 2)) == ResultCode::PlatformBadReply);
        CHECK(codeOf(f.await<std::string>(
                      [&](auto done) { f.port->readRange("other", 0, 1, done); }))
              == ResultCode::NotFound);
        HttpWeightStore store(f.client, f.options);
        const ModelPin pin{ModelId("m/1"), AdapterId("a"), VersionId("1")};
        const auto fetch = [&] {
            return f.await<std::string>([&](auto done) { store.fetchManifest(pin, done); });
        };
        CHECK(codeOf(fetch()) == ResultCode::NotFound);
        f.standin.setManifest(pin, "bytes");
        CHECK(valueOf(fetch()) == "bytes");
    }
    SECTION("a cancelled transfer sends no further bytes")
    {
        config.bytesPerSecond = 1e6;
        Origin limited(config);
        std::optional<Outcome<std::string>> end;
        const auto call = limited.port->readRange("weights", 0, 300'000,
                                                  [&](auto outcome) { end = outcome; });
        runUntil(limited.io, [&] { return limited.standin.counterValue("object_bytes") > 0; });
        call->cancel();
        runUntil(limited.io, [&] { return end.has_value(); });
        CHECK(codeOf(*end) == ResultCode::CallCancelled);
        CHECK(limited.standin.counterValue("object_bytes") < 300'000);
    }
}

// Guards against a rate limit that is applied per client instead of to all clients together.
TEST_CASE("Rate limits are shared and hold in virtual time")
{
    const TimePoint start(std::chrono::hours(1));
    SECTION("reservations wait for earlier ones")
    {
        TokenBucket bucket;
        CHECK(bucket.reserve(100, 100, start) == std::chrono::seconds(1));
        CHECK(bucket.reserve(100, 100, start) == std::chrono::seconds(2));
        CHECK(bucket.reserve(100, 100, start + std::chrono::seconds(10))
              == std::chrono::seconds(1));
    }
    SECTION("a burst is limited to the amount of one second")
    {
        TokenBucket bucket;
        int passed = 0;
        for (int i = 0; i < 100; ++i)
            passed += bucket.take(1, 10, start);
        CHECK(passed == 10);
        CHECK(bucket.take(1, 10, start + std::chrono::milliseconds(100)));
        CHECK_FALSE(bucket.take(1, 10, start + std::chrono::milliseconds(100)));
    }
}

TEST_CASE("Plain service")
{
    Plain f;
    PlainCall call;
    call.target = "/bookings?bin=3";
    call.headers = {{"X-Custom", "1"}};
    call.body = "body";
    call.key = IdempotencyKey("k1");
    const auto forward = [&] {
        return f.await<HttpResponse>([&](auto done) { f.port->forward(call, done); });
    };

    SECTION("each call is one run in the ledger")
    {
        const HttpResponse response = valueOf(forward());
        CHECK(response.status == 200);
        CHECK(response.body.find(Digest::of("body").toHex()) != std::string::npos);
        forward();
        REQUIRE(f.standin.runs().size() == 2);
        CHECK(f.standin.runs()[1].key == "k1");
        CHECK(f.standin.runs()[1].target == "/bookings?bin=3");
        CHECK(f.standin.runs()[1].count == 2);
    }
    // Guards against an adapter that retries a call whose reply was lost.
    SECTION("a failed call runs once or not at all, depending on the fault")
    {
        struct Row
        {
            const char *fault;
            std::size_t runs;
        };
        const auto row = GENERATE(Row{"reply_lost", 1}, Row{"outage", 0}, Row{"silent", 0});
        const bool pooled = GENERATE(false, true);
        if (pooled)
            forward();
        f.setFault({row.fault, true, 1, -1, 0, ""});
        if (std::string_view(row.fault) == "silent")
            call.timeout = f.options.replyTimeout;
        const auto outcome = forward();
        runUntil(f.io, [&] { return f.standin.counterValue("POST") == (pooled ? 2 : 1); });
        CHECK(mayHaveTakenEffect(codeOf(outcome)));
        CHECK(f.standin.runs().size() == row.runs + (pooled ? 1 : 0));
        CHECK(f.standin.counterValue("POST") == (pooled ? 2 : 1));
    }
}
