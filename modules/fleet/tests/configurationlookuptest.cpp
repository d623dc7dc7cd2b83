#include <godwit/fleet/configurationlookup.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

// Guards against many host processes each receiving a configuration of a thousand routes over the
// links that the entry processes need for it.
TEST_CASE("ConfigurationLookup")
{
    FeedFixture it;
    std::vector<std::uint64_t> versions;
    ConfigurationLookup lookup(it.platform, it.store, it.scheduler, Random(1),
                               [&](const GatewayConfiguration &configuration) {
                                   versions.push_back(configuration.version);
                               });
    const auto respond = [&](const std::string &value) {
        const auto done = it.store.getDone;
        done(KeyValueEntry{"op/config", value, StoreRevision{3}, LeaseId{}});
    };
    lookup.lookUp();
    REQUIRE(it.store.getCalls == 1);

    SECTION("retries until there is a configuration")
    {
        const auto done = it.store.getDone;
        done(std::nullopt);
        it.scheduler.advance(1100ms);
        REQUIRE(it.store.getCalls == 2);
        const auto second = it.store.getDone;
        second(Error{ResultCode::PlatformUnreachable, "down"});
        it.scheduler.advance(1100ms);
        REQUIRE(it.store.getCalls == 3);
        respond("4");
        CHECK(versions == std::vector<std::uint64_t>{4});
        it.scheduler.advance(1h);
        CHECK(it.store.getCalls == 3);
    }
    // Guards against the origin of an older configuration after the store came back from a copy.
    SECTION("ignores a configuration that is older than the last one")
    {
        respond("4");
        it.scheduler.advance(6s);
        lookup.lookUp();
        respond("3");
        CHECK(versions == std::vector<std::uint64_t>{4});
        it.scheduler.advance(6s);
        lookup.lookUp();
        respond("5");
        CHECK(versions == std::vector<std::uint64_t>{4, 5});
    }
    SECTION("reads once for several requests in quick succession")
    {
        lookup.lookUp();
        CHECK(it.store.getCalls == 1);
        respond("4");
        lookup.lookUp();
        CHECK(it.store.getCalls == 1);
        it.scheduler.advance(6s);
        lookup.lookUp();
        CHECK(it.store.getCalls == 2);
        respond("5");
        CHECK(versions == std::vector<std::uint64_t>{4, 5});
    }
    // Guards against a configuration that never comes because it was asked for too early, and
    // against all hosts reading it at once.
    SECTION("reads later on request")
    {
        respond("4");
        it.scheduler.advance(6s);
        lookup.lookUpWithin(60s);
        lookup.lookUpWithin(60s);
        CHECK(it.store.getCalls == 1);
        it.scheduler.advance(60s);
        REQUIRE(it.store.getCalls == 2);
        respond("5");
        it.scheduler.advance(1h);
        CHECK(it.store.getCalls == 2);
        CHECK(versions == std::vector<std::uint64_t>{4, 5});
    }
    SECTION("reads sooner on a more urgent request")
    {
        respond("4");
        it.scheduler.advance(6s);
        lookup.lookUpWithin(1h);
        lookup.lookUpWithin(1s);
        it.scheduler.advance(1s);
        REQUIRE(it.store.getCalls == 2);
        respond("5");
        it.scheduler.advance(2h);
        CHECK(it.store.getCalls == 2);
    }
    SECTION("reads on request after a read that may have begun before it")
    {
        SECTION("and is in progress at the time of the next one")
        {
            lookup.lookUpWithin(1s);
            it.scheduler.advance(2s);
            respond("4");
        }
        SECTION("and has just completed")
        {
            lookup.lookUpWithin(1s);
            respond("4");
        }
        SECTION("and had just completed")
        {
            respond("4");
            lookup.lookUpWithin(1s);
        }
        it.scheduler.advance(3s);
        CHECK(it.store.getCalls == 1);
        it.scheduler.advance(20s);
        REQUIRE(it.store.getCalls == 2);
        respond("5");
        it.scheduler.advance(1h);
        CHECK(it.store.getCalls == 2);
    }
}
