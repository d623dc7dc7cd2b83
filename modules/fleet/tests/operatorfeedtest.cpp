#include <godwit/fleet/operatorfeed.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

#include <set>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture : FeedFixture
{
    FleetBounds bounds;
    std::vector<std::pair<std::uint64_t, std::optional<VersionWindow>>> versions;
    std::vector<std::uint64_t> configurations;
    std::set<std::string> evacuated;
    OperatorFeed feed{
            platform,
            platform.operatorPrefix(),
            store,
            scheduler,
            bounds,
            Random(1),
            {[this](const GatewayConfiguration &configuration) {
                 configurations.push_back(configuration.version);
             },
             [this](const WantedVersion &wanted, const std::optional<VersionWindow> &window) {
                 versions.emplace_back(wanted.version, window);
             },
             [](TimePoint) {},
             [this](const ZoneId &zone, bool isEvacuated) {
                 if (isEvacuated)
                     evacuated.insert(zone.value());
                 else
                     evacuated.erase(zone.value());
             }}};

    Fixture()
    {
        feed.start();
        store.completeList(10, {entry(1, 3)});
    }

    static KeyValueEntry entry(std::uint64_t version, std::uint64_t revision)
    {
        return {"op/version/m", std::to_string(version), StoreRevision{revision}, LeaseId{}};
    }

    void setVersion(std::uint64_t version, std::uint64_t revision)
    {
        store.handlers.onEvents({{entry(version, revision), false}});
    }

    static KeyValueEntry evacuation(const std::string &zone, std::uint64_t revision)
    {
        return {"op/evacuate/" + zone, "{}", StoreRevision{revision}, LeaseId{}};
    }

    TimePoint olderVersionsDeadline() const
    {
        const VersionWindow window = versions.back().second.value();
        return window.announcedAt + window.gracePeriod;
    }
};

} // namespace

TEST_CASE("OperatorFeed reports how long older versions may serve")
{
    Fixture it;

    SECTION("a version that was there at the start may have been specified long ago")
    {
        REQUIRE(it.versions.size() == 1);
        CHECK_FALSE(it.versions[0].second);
    }
    SECTION("one that is specified while the store is reachable has the full time")
    {
        it.scheduler.advance(500ms);
        it.setVersion(2, 11);
        CHECK(it.olderVersionsDeadline() <= it.scheduler.now() + it.bounds.versionChangeLimit);
        CHECK(it.olderVersionsDeadline()
              >= it.scheduler.now() + it.bounds.versionChangeLimit - 500ms);
    }
    // Guards against an entry process that sends requests to older weights for too long because the
    // event of the version was delayed on a busy link.
    SECTION("older versions are certain to serve only from the last time at which it was absent")
    {
        const TimePoint absent = it.scheduler.now();
        it.scheduler.advance(900ms);
        it.setVersion(2, 11);
        const VersionWindow window = it.versions.back().second.value();
        CHECK(window.earliestEnd() == absent + it.bounds.versionChangeLimit);
        CHECK(window.end() > window.earliestEnd());
    }
    // A version is specified during an outage of the store that lasts longer than its version
    // change may take. Guards against excluding all engines as soon as the outage ends, which is
    // seconds before any host has received the weights.
    SECTION("one that is specified during an outage has some time after the last failed call")
    {
        TimePoint lastFailure;
        for (int i = 0; i < 15; ++i) {
            lastFailure = it.scheduler.now();
            it.failCall();
        }
        it.setVersion(2, 11);
        CHECK(it.olderVersionsDeadline() == lastFailure + it.bounds.reconnectionGracePeriod);
        CHECK(it.olderVersionsDeadline() > it.scheduler.now());
        CHECK(it.versions.back().second->earliestEnd()
              == it.failedCallStart + it.bounds.reconnectionGracePeriod);
        CHECK(it.versions.back().second->gracePeriod > it.bounds.versionChangeLimit);
    }
    // The last call of an outage is silent, and the store is back soon after it was sent. Guards
    // against older versions being used for as much longer as that call took to fail.
    SECTION("the outage may have ended as soon as the last failed call was sent")
    {
        const TimePoint outage = it.scheduler.now();
        while (it.scheduler.now() < outage + 6s)
            it.failCall();
        const TimePoint sent = it.callStart;
        it.scheduler.advance(1600ms - (it.scheduler.now() - sent));
        it.failCall();
        it.setVersion(2, 11);
        CHECK(it.versions.back().second->earliestEnd() == sent + it.bounds.reconnectionGracePeriod);
    }
}

// Guards against one record of the operator that cannot be read ending the watch, and with it all
// later versions and configurations.
TEST_CASE("OperatorFeed goes on after a record that cannot be read")
{
    Fixture it;
    const auto odd = [](const std::string &key, const std::string &value, std::uint64_t revision) {
        return WatchEvent{{key, value, StoreRevision{revision}, LeaseId{}}, false};
    };
    CHECK_NOTHROW(it.store.handlers.onEvents(
            {odd("op/version/m", "no number", 11), odd("op/version/m", "", 12),
             odd("op/version/m", std::string(400, '9'), 13), odd("op/config", "no number", 14),
             odd("op/version/m", "5", 15)}));
    CHECK(it.versions.back().first == 5);
    CHECK_NOTHROW(it.store.handlers.onConfirmed(StoreRevision{15}, it.scheduler.now()));
    it.setVersion(6, 16);
    CHECK(it.versions.back().first == 6);
    CHECK(it.versions.size() == 3);
}

// Guards against an older configuration, or an older version of weights, that comes into force
// again because the store came back from a copy.
TEST_CASE("OperatorFeed reports nothing older than what it has reported")
{
    Fixture it;
    const auto configuration = [](std::uint64_t version, std::uint64_t revision) {
        return KeyValueEntry{"op/config", std::to_string(version), StoreRevision{revision}, {}};
    };
    it.store.handlers.onEvents({{configuration(4, 11), false}});
    it.setVersion(2, 12);
    it.setVersion(3, 13);
    it.store.handlers.onEvents({{configuration(5, 14), false}});
    REQUIRE(it.configurations == std::vector<std::uint64_t>{4, 5});
    REQUIRE(it.versions.size() == 3);
    it.store.restore(12, {configuration(4, 11), Fixture::entry(2, 12)});

    SECTION("from the copy")
    {
        CHECK(it.configurations.size() == 2);
        CHECK(it.versions.size() == 3);
    }
    // The limits on callers and the schedule of loads begin with what is reported.
    SECTION("and nothing that is known already when it is written again")
    {
        it.setVersion(3, 13);
        it.store.handlers.onEvents({{configuration(5, 14), false}});
        CHECK(it.configurations.size() == 2);
        CHECK(it.versions.size() == 3);
    }
    SECTION("what is newer is reported whatever its revision")
    {
        it.setVersion(4, 13);
        it.store.handlers.onEvents({{configuration(6, 14), false}});
        CHECK(it.configurations.back() == 6);
        CHECK(it.versions.back().first == 4);
    }
}

// Guards against an evacuation that is missed or that ends early, because the process started
// meanwhile or because the store came back from a copy that lacks it.
TEST_CASE("OperatorFeed reports the evacuation of zones")
{
    Fixture it;
    it.store.handlers.onEvents({{Fixture::evacuation("z1", 11), false}});
    REQUIRE(it.evacuated == std::set<std::string>{"z1"});

    SECTION("until the key is removed")
    {
        it.store.handlers.onEvents({{Fixture::evacuation("z2", 12), false}});
        it.store.handlers.onEvents({{Fixture::evacuation("z1", 13), true}});
        CHECK(it.evacuated == std::set<std::string>{"z2"});
    }
    SECTION("that was requested before the process started")
    {
        std::set<std::string> seen;
        FakeStore store;
        OperatorFeed feed{it.platform,
                          it.platform.operatorPrefix(),
                          store,
                          it.scheduler,
                          it.bounds,
                          Random(1),
                          {[](const GatewayConfiguration &) {},
                           [](const WantedVersion &, const std::optional<VersionWindow> &) {},
                           [](TimePoint) {},
                           [&](const ZoneId &zone, bool) { seen.insert(zone.value()); }}};
        feed.start();
        store.completeList(12, {Fixture::evacuation("z1", 11)});
        CHECK(seen == std::set<std::string>{"z1"});
    }
    SECTION("in force during an outage of the store")
    {
        it.store.handlers.onEnd(Error{ResultCode::PlatformUnreachable, "down"});
        it.scheduler.advance(20s);
        CHECK(it.evacuated == std::set<std::string>{"z1"});
    }
    SECTION("that a copy of the store lacks, until the operator could have written it again")
    {
        it.store.restore(5, {Fixture::entry(1, 3)});
        CHECK(it.evacuated == std::set<std::string>{"z1"});
        SECTION("it has not")
        {
            it.scheduler.advance(PrefixMirror::RewritePeriod);
            CHECK(it.evacuated.empty());
        }
        SECTION("it has")
        {
            it.scheduler.advance(1s);
            it.store.handlers.onEvents({{Fixture::evacuation("z1", 6), false}});
            it.scheduler.advance(10s);
            CHECK(it.evacuated == std::set<std::string>{"z1"});
        }
    }
}
