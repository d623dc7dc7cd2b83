#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

const RegionId North("north");
const RegionId South("south");

/// Two backend servers in each of the zones n (north), s (south) and x, whose region is unknown.
struct PlacementFixture : Fixture
{
    PlacementFixture()
        : Fixture(placementOptions())
    {}

    static GatewayOptions placementOptions()
    {
        GatewayOptions it = options();
        it.zone = ZoneId("n");
        it.zoneRegions = {{ZoneId("n"), North}, {ZoneId("s"), South}};
        return it;
    }

    /// Limits the stream route to \a ofRoute and the customer with the key l to \a ofCustomer.
    void configureRegions(std::vector<RegionId> ofRoute, std::vector<RegionId> ofCustomer)
    {
        GatewayConfiguration limited = configuration(++m_version);
        limited.routes.back().allowedRegions = std::move(ofRoute);
        limited.customers.back().allowedRegions = std::move(ofCustomer);
        gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(limited)));
        gateway.onConfigurationConfirmed(scheduler.now());
        for (const std::string id : {"n1", "n2", "s1", "s2", "x1", "x2"})
            gateway.backends().update(backend(id), scheduler.now());
    }

    static BackendRecord backend(const std::string &id)
    {
        BackendRecord it;
        it.id = BackendId(id);
        it.service = "desk";
        it.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1 + id[0] + 100 * (id[1] - '0'))};
        it.zone = ZoneId(id.substr(0, 1));
        it.slots = 6;
        it.startTimeMs = 1;
        return it;
    }

    std::shared_ptr<ClientView> send(const std::string &target, const std::string &key = "k")
    {
        auto view = std::make_shared<ClientView>();
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.headers = {{"id", "r" + std::to_string(++m_requests)},
                           {"Host", "h"},
                           {"key", key},
                           {"patience", "2000"}};
        gateway.handle(std::move(request), view);
        return view;
    }

    /// Zones of the backend servers that \a n requests reach; a space for a refused one.
    std::set<char> zonesOf(int n, const std::string &target, const std::string &key = "k")
    {
        std::set<char> zones;
        for (int i = 0; i < n; ++i) {
            const std::size_t before = backendCalls.size();
            send(target, key);
            zones.insert(backendCalls.size() == before ? ' ' : backendCalls.back()->backend()[0]);
        }
        return zones;
    }

private:
    std::uint64_t m_version = 0;
    int m_requests = 0;
};

} // namespace

TEST_CASE("commonRegions intersects the regions of a route and of a customer")
{
    CHECK_FALSE(commonRegions({}, {}));
    CHECK(commonRegions({North}, {}) == std::set{North});
    CHECK(commonRegions({}, {South}) == std::set{South});
    CHECK(commonRegions({North, South}, {South}) == std::set{South});
    CHECK(commonRegions({North}, {South}) == std::set<RegionId>{});
}

// Guards against requests that run, or whose bodies are sent, outside the regions to which the
// operator limits them, whatever the load in those regions.
TEST_CASE("Gateway keeps requests in the regions of their route and their customer")
{
    PlacementFixture it;

    SECTION("of the route, also when it has many requests")
    {
        it.configureRegions({South}, {});
        CHECK(it.zonesOf(60, "/stream/x").contains('s'));
        for (const auto &call : it.backendCalls)
            CHECK(call->backend()[0] == 's');
        CHECK(it.zonesOf(6, "/safe/x").contains('n'));
    }
    SECTION("of the customer")
    {
        it.configureRegions({}, {South});
        CHECK(it.zonesOf(4, "/safe/x", "l") == std::set{'s'});
        CHECK(it.zonesOf(4, "/safe/x", "k").contains('n'));
    }
    SECTION("of both, so that none are left if these differ")
    {
        it.configureRegions({North}, {South});
        const auto view = it.send("/stream/x", "l");
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
        CHECK(it.backendCalls.empty());
    }
    SECTION("a retry stays there too, and is refused if no backend server is left")
    {
        it.configureRegions({}, {South});
        const auto view = it.send("/book/x", "l");
        it.backendCalls[0]->reject(503);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->backend()[0] == 's');
        it.backendCalls[1]->reject(503);
        CHECK(it.backendCalls.size() == 2);
        CHECK(view->status == 503);
    }
    SECTION("a request keeps the regions with which it began")
    {
        it.configureRegions({}, {South});
        it.send("/safe/x", "l");
        it.configureRegions({}, {North});
        it.backendCalls[0]->reject(503);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->backend()[0] == 's');
    }
}

// Guards against requests that are sent to a zone which the operator evacuates, and against
// evacuations that end the requests in progress there.
TEST_CASE("Gateway sends nothing to a zone that is being evacuated")
{
    PlacementFixture it;
    it.configureRegions({}, {South});

    SECTION("until the evacuation ends")
    {
        it.gateway.setEvacuated(ZoneId("n"), true);
        CHECK_FALSE(it.zonesOf(20, "/safe/x").contains('n'));
        it.gateway.setEvacuated(ZoneId("n"), false);
        CHECK(it.zonesOf(6, "/safe/x").contains('n'));
    }
    SECTION("also if the zone has no backend server yet")
    {
        it.gateway.setEvacuated(ZoneId("y"), true);
        it.gateway.backends().update(PlacementFixture::backend("y1"), it.scheduler.now());
        CHECK_FALSE(it.zonesOf(40, "/safe/x").contains('y'));
    }
    SECTION("also when all other zones are full: requests are refused instead")
    {
        it.zonesOf(200, "/safe/x");
        const std::size_t before = it.backendCalls.size();
        it.gateway.setEvacuated(ZoneId("n"), true);
        it.zonesOf(50, "/safe/x");
        for (std::size_t i = before; i < it.backendCalls.size(); ++i)
            CHECK(it.backendCalls[i]->backend()[0] != 'n');
    }
    SECTION("requests in progress there end normally, and retries go elsewhere")
    {
        const auto first = it.send("/safe/x");
        const auto second = it.send("/safe/x");
        it.gateway.setEvacuated(ZoneId("n"), true);
        CHECK_FALSE(it.backendCalls[0]->cancelled);
        it.backendCalls[0]->respond(200, "done");
        CHECK(first->body == "done");
        it.backendCalls[1]->reject(503);
        REQUIRE(it.backendCalls.size() == 3);
        CHECK(it.backendCalls[2]->backend()[0] != 'n');
    }
    SECTION("a stream that breaks goes on in another zone")
    {
        const auto view = it.send("/stream/x");
        it.backendCalls[0]->head(200, {{"seal", "s"}, {"events", "1"}});
        it.backendCalls[0]->data("id: 1\ndata: a\n\n");
        const char zone = it.backendCalls[0]->backend()[0];
        it.gateway.setEvacuated(ZoneId(std::string(1, zone)), true);
        it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(it.backendCalls[1]->backend()[0] != zone);
        CHECK_FALSE(view->aborted);
    }
    SECTION("requests are refused at once if all zones are evacuated, or the only allowed one")
    {
        it.gateway.setEvacuated(ZoneId("s"), true);
        CHECK(it.send("/safe/x", "l")->status == 503);
        CHECK(it.send("/safe/x", "k")->status == 0);
        it.gateway.setEvacuated(ZoneId("n"), true);
        it.gateway.setEvacuated(ZoneId("x"), true);
        const auto view = it.send("/safe/x");
        CHECK(view->status == 503);
        CHECK(view->headers.find("Retry-After"));
    }
    SECTION("a process that starts meanwhile becomes ready all the same")
    {
        it.gateway.setEvacuated(ZoneId("n"), true);
        it.gateway.setEvacuated(ZoneId("s"), true);
        it.gateway.setEvacuated(ZoneId("x"), true);
        CHECK(it.gateway.isReady());
    }
}
