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
}
