#include "slotservice.h"

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

DaemonSettings hostSettings()
{
    DaemonSettings settings;
    settings.host = HostId("h1");
    BackendSettings backend;
    backend.id = BackendId("b1");
    backend.kind = BackendKind::Plain;
    backend.deployment = DeploymentId("booking");
    settings.backends.push_back(backend);
    return settings;
}

Configuration withBooking(bool anyHost, const std::set<HostId> &hosts)
{
    Configuration configuration;
    Deployment &deployment = configuration.deployments[DeploymentId("booking")];
    deployment.options.idempotent = false;
    deployment.anyHost = anyHost;
    deployment.allowedHosts = hosts;
    return configuration;
}

} // namespace

// Guards against a host that takes ownership of all slots because it read the configuration between
// `create deployment ... hosts listed` and `allow hosts`.
TEST_CASE("A host takes no part in a deployment with listed hosts until it has a list")
{
    const DaemonSettings settings = hostSettings();
    AttemptTable attempts(Incarnation{1}, {});
    std::vector<SlotStorageCall> calls;
    SlotService::Environment environment;
    environment.storage = [&](const SlotStorageCall &call, const auto &) { calls.push_back(call); };
    SlotService slots(settings, Incarnation{1}, attempts, std::move(environment));

    slots.setConfiguration(withBooking(false, {}));
    slots.tick();
    CHECK_FALSE(slots.serves(DeploymentId("booking")));
    CHECK(calls.empty());

    slots.setConfiguration(withBooking(false, {HostId("h1"), HostId("h2")}));
    slots.tick();
    CHECK(slots.serves(DeploymentId("booking")));
    CHECK_FALSE(calls.empty());

    SECTION("a deployment that any host may serve starts at once")
    {
        SlotService other(settings, Incarnation{1}, attempts, {});
        other.setConfiguration(withBooking(true, {}));
        CHECK(other.serves(DeploymentId("booking")));
    }
}
