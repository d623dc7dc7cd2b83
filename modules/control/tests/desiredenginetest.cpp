#include <godwit/control/desiredengine.h>

#include <catch2/catch.hpp>

using namespace godwit;

// Guards against a rolling change in which the first hosts wait for chunks from hosts of later
// steps.
TEST_CASE("Hosts of a version in a rolling change")
{
    LoadOrder order;
    order.hosts = {HostId("a"), HostId("b"), HostId("c")};
    order.version = VersionId("v2");

    SECTION("without a change all hosts have the version of the order")
    {
        CHECK(hostsWithVersion(order, VersionId("v2")) == order.hosts);
        CHECK(hostsWithVersion(order, VersionId("v1")).empty());
    }

    SECTION("during a change only the hosts of the steps so far have the target version")
    {
        order.state = OrderState::Rolling;
        order.previousVersion = VersionId("v1");
        order.steppedHosts = 1;
        CHECK(hostsWithVersion(order, VersionId("v2")) == std::vector{HostId("a")});
        CHECK(hostsWithVersion(order, VersionId("v1")) == std::vector{HostId("b"), HostId("c")});
    }
}
