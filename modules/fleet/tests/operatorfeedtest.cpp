#include <godwit/fleet/operatorfeed.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture : FeedFixture
{
    FleetBounds bounds;
    std::vector<std::pair<std::uint64_t, std::optional<VersionTerms>>> versions;
    OperatorFeed feed{
            platform,
            platform.operatorPrefix(),
            store,
            scheduler,
            bounds,
            Random(1),
            {[](const GatewayConfiguration &) {},
             [this](const WantedVersion &wanted, const std::optional<VersionTerms> &terms) {
                 versions.emplace_back(wanted.version, terms);
             },
             [](TimePoint) {}}};

    Fixture()
    {
        feed.start();
        store.listed(10, {entry(1, 3)});
    }

    static KeyValueEntry entry(std::uint64_t version, std::uint64_t revision)
    {
        return {"op/version/m", std::to_string(version), StoreRevision{revision}, LeaseId{}};
    }

    void name(std::uint64_t version, std::uint64_t revision)
    {
        store.handlers.onEvents({{entry(version, revision), false}});
    }

    TimePoint lastUseOfOlder() const
    {
        const VersionTerms terms = versions.back().second.value();
        return terms.namedAt + terms.time;
    }
};

} // namespace

TEST_CASE("OperatorFeed tells how long older versions may serve")
{
    Fixture it;

    SECTION("a version that was there at the start may have been named long ago")
    {
        REQUIRE(it.versions.size() == 1);
        CHECK_FALSE(it.versions[0].second);
    }
    SECTION("one that is named in calm has the whole time")
    {
        it.scheduler.advance(500ms);
        it.name(2, 11);
        CHECK(it.lastUseOfOlder() <= it.scheduler.now() + it.bounds.versionChangeLimit);
        CHECK(it.lastUseOfOlder() >= it.scheduler.now() + it.bounds.versionChangeLimit - 500ms);
    }
    // Pattern: the store is away for longer than the time of a version that is named meanwhile. All
    // engines were given up at the moment of its return, seconds before any host had the weights.
    SECTION("one that is named in an outage has some time after the last failed call")
    {
        TimePoint lastFailure;
        for (int i = 0; i < 15; ++i) {
            it.store.handlers.onEnd(Error{ResultCode::PlatformRefused, "busy"});
            lastFailure = it.scheduler.now();
            const int before = it.store.watches;
            while (it.store.watches == before)
                it.scheduler.advance(10ms);
        }
        it.name(2, 11);
        CHECK(it.lastUseOfOlder() == lastFailure + it.bounds.reconnectionGracePeriod);
        CHECK(it.lastUseOfOlder() > it.scheduler.now());
        CHECK(it.versions.back().second->time > it.bounds.versionChangeLimit);
    }
}
