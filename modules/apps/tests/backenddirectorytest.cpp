#include "backenddirectory.h"
#include "slotservice.h"

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

const HostId Host1("h1");
const DeploymentId Assistant("assistant");
const ModelId Model1("m");
const VersionId V1("v1");
const VersionId V2("v2");

std::shared_ptr<Configuration> configuration()
{
    auto result = std::make_shared<Configuration>();
    result->deployments[Assistant] = {};
    LoadOrder order;
    order.deployment = Assistant;
    order.model = Model1;
    order.version = V1;
    order.hosts = {Host1};
    result->orders[OperationId("o")] = order;
    return result;
}

HostReport report(const VersionId &version)
{
    HostReport report;
    report.host = Host1;
    report.incarnation = {5};
    BackendReport backend;
    backend.backend = BackendId("e1");
    backend.up = true;
    backend.loaded = {{Model1, {}, version}};
    report.backends.push_back(backend);
    return report;
}

struct Directory
{
    BackendDirectory directory;
    TimePoint now{std::chrono::seconds(1)};

    Directory()
    {
        directory.setConfiguration(configuration());
        directory.setHost(Host1, {"127.0.0.1", 1}, ZoneId("z"), true, true);
        directory.applyReport(report(V1), now);
    }
    std::size_t engines() const { return directory.eligibleEngines(Assistant, Model1, {}).size(); }
};

} // namespace

TEST_CASE("Backend servers that may receive requests")
{
    Directory it;

    SECTION("an engine with the ordered version is offered")
    {
        CHECK(it.engines() == 1);
    }

    // Guards against requests to hosts that leave, and to versions that no order allows.
    SECTION("each reason against an engine removes it")
    {
        SECTION("its host is not usable")
        {
            it.directory.setHost(Host1, {"127.0.0.1", 1}, ZoneId("z"), false, true);
        }
        SECTION("its host process announces that it leaves")
        {
            auto leaving = report(V1);
            leaving.leaving = true;
            it.directory.applyReport(leaving, it.now);
            // A delayed older report does not revert it.
            it.directory.applyReport(report(V1), it.now);
        }
        SECTION("the operator drains the host")
        {
            auto drained = configuration();
            drained->drained.insert(Host1);
            it.directory.setConfiguration(drained);
        }
        SECTION("it serves a version that no order asks for")
        {
            it.directory.applyReport(report(V2), it.now);
        }
        SECTION("the order was cancelled")
        {
            auto cancelled = configuration();
            cancelled->orders.begin()->second.state = OrderState::Cancelled;
            it.directory.setConfiguration(cancelled);
        }
        SECTION("the deployment denies it")
        {
            auto denied = configuration();
            denied->deployments[Assistant].deniedBackends.insert(BackendId("e1"));
            it.directory.setConfiguration(denied);
        }
        SECTION("it is down")
        {
            auto down = report(V1);
            down.backends[0].up = false;
            it.directory.applyReport(down, it.now);
        }
        CHECK(it.engines() == 0);
    }

    // Guards against a report of a replaced process that arrives late.
    SECTION("a report of an older process is ignored")
    {
        auto old = report(V2);
        old.incarnation = {4};
        it.directory.applyReport(old, it.now);
        CHECK(it.engines() == 1);
    }

    // Guards against attempts addressed to a process that has ended. Its successor refuses them
    // at once, so that the host looks idle and attracts all requests.
    SECTION("a host that was lost is used again after the report of its new process")
    {
        SECTION("the membership reported the loss")
        {
            it.directory.setHost(Host1, {"127.0.0.1", 1}, ZoneId("z"), false, true);
            it.directory.setHost(Host1, {"127.0.0.1", 1}, ZoneId("z"), true, true);
        }
        SECTION("it refused an attempt")
        {
            it.directory.clearReport(Host1);
        }
        CHECK(it.engines() == 0);
        auto fresh = report(V1);
        fresh.incarnation = {GENERATE(std::uint64_t(6), std::uint64_t(4))};
        it.directory.applyReport(fresh, it.now);
        CHECK(it.engines() == 1);
    }

    SECTION("during a version change both versions are allowed")
    {
        auto rolling = configuration();
        auto &order = rolling->orders.begin()->second;
        order.state = OrderState::Rolling;
        order.previousVersion = V1;
        order.version = V2;
        it.directory.setConfiguration(rolling);
        CHECK(it.engines() == 1);
        it.directory.applyReport(report(V2), it.now);
        CHECK(it.engines() == 1);
    }
}

// Guards against duplicate requests that get a different response from the first one.
TEST_CASE("A stored response is restored unchanged")
{
    HttpResponse response;
    response.status = GENERATE(200, 409, 500);
    response.headers.add("Content-Type", GENERATE("application/json", ""));
    response.body = GENERATE("", "a\nb\n\n", "{\"x\":1}");
    const HttpResponse restored = decodeResponse(encodeResponse(response));
    CHECK(restored.status == response.status);
    CHECK(restored.body == response.body);
    CHECK(restored.headers.value("Content-Type") == response.headers.value("Content-Type"));
}
