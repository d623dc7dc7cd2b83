#include <godwit/control/orderreconciler.h>
#include <godwit/control/placementrepair.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(3600s)};
const LoadedModel V1{ModelId("m"), {}, VersionId("v1")};
const LoadedModel V2{ModelId("m"), {}, VersionId("v2")};
const LoadedModel OnV1{ModelId("m"), AdapterId("a"), VersionId("a1")};
const LoadedModel Other{ModelId("o"), {}, VersionId("v1")};

/// An AuthorLease that has read a missing record and holds the first fencing number.
struct LeaseDriver
{
    AuthorLease lease{"p", {}, Random(1)};
    TimePoint now = Start;

    LeaseDriver()
    {
        lease.start(now);
        lease.setOrdersPending(now, true);
        lease.onRead(now, 1, {});
        lease.onWrite(now, 2, {StorageStatus::Success, 1, {}});
    }
    void tickUntil(TimePoint end)
    {
        for (; now < end; now += 500ms)
            lease.onTimer(now);
    }
};

} // namespace

TEST_CASE("Author lease")
{
    LeaseDriver d;
    REQUIRE(d.lease.state() == AuthorLease::State::Held);
    CHECK(d.lease.fencing() == FencingNumber{1});
    CHECK(d.lease.canSendOrder(d.now, false, OutageOrders::Stop));

    // Guards against sending an order under a lease that may have expired.
    SECTION("orders stop after three quarters of the lease")
    {
        d.tickUntil(Start + 9s);
        CHECK_FALSE(d.lease.canSendOrder(Start + 9s, false, OutageOrders::Stop));
    }

    // Guards against a paused process that sends an order before it has renewed its lease.
    SECTION("no order after a pause until the lease is renewed")
    {
        CHECK_FALSE(d.lease.canSendOrder(Start + 3s, true, OutageOrders::Continue));
        const auto actions = d.lease.onTimer(Start + 3s);
        REQUIRE(actions.size() == 1);
        CHECK_FALSE(d.lease.canSendOrder(Start + 3s, true, OutageOrders::Continue));
        d.lease.onWrite(Start + 3s, 3, {StorageStatus::Success, 2, {}});
        CHECK(d.lease.canSendOrder(Start + 3s, false, OutageOrders::Stop));
    }

    SECTION("in an outage orders depend on fencing checks and on the deployment")
    {
        struct Row
        {
            bool checks;
            OutageOrders outage;
            bool may;
        };
        const auto row =
                GENERATE(Row{false, OutageOrders::Stop, false}, Row{true, OutageOrders::Stop, true},
                         Row{false, OutageOrders::Continue, true});
        d.tickUntil(Start + 20s); // No call receives a reply.
        CHECK(d.lease.canSendOrder(d.now, row.checks, row.outage) == row.may);
    }

    // Guards against two processes that send orders after one has replaced the other.
    SECTION("a process sends no orders after it has seen a higher fencing number")
    {
        d.tickUntil(Start + 5s);
        d.lease.onWrite(d.now, 3, {StorageStatus::CompareFailed, 7, {}});
        const AuthorRecord other{FencingNumber{2}, "q", 1, 12s};
        d.lease.onRead(d.now, 4, {StorageStatus::Success, 7, toJsonText(other)});
        CHECK(d.lease.state() == AuthorLease::State::Lost);
        CHECK_FALSE(d.lease.canSendOrder(d.now, true, OutageOrders::Continue));
    }

    SECTION("an idle process makes no calls")
    {
        d.lease.setOrdersPending(Start, false);
        std::size_t calls = 0;
        for (TimePoint now = Start; now < Start + 120s; now += 500ms) {
            for (const auto &action : d.lease.onTimer(now)) {
                ++calls;
                if (const auto *write = std::get_if<WriteAuthor>(&action))
                    d.lease.onWrite(now, write->call, {StorageStatus::Success, 2, {}});
            }
        }
        CHECK(calls == 1); // The release of the lease.
    }

    // Guards against taking over while the previous holder may still send orders.
    SECTION("a process waits for the lease of the previous holder")
    {
        AuthorLease next("q", {}, Random(1));
        next.start(Start);
        const AuthorRecord record{FencingNumber{1}, "p", 1, 12s};
        next.onRead(Start, 1, {StorageStatus::Success, 1, toJsonText(record)});
        CHECK(next.onTimer(Start + 11s).empty());
        CHECK(next.onTimer(Start + 12s).size() == 1);
    }

    // Guards against a restarted process that waits for the old lease although its engines refuse
    // orders of the previous process themselves.
    SECTION("a process does not wait if its engines check fencing numbers")
    {
        AuthorLease::Settings settings;
        settings.waitsForPreviousLease = false;
        AuthorLease next("q", settings, Random(1));
        next.start(Start);
        const AuthorRecord record{FencingNumber{1}, "p", 1, 12s};
        const auto actions = next.onRead(Start, 1, {StorageStatus::Success, 1, toJsonText(record)});
        REQUIRE(actions.size() == 1);
        next.onWrite(Start, 2, {StorageStatus::Success, 2, {}});
        CHECK(next.fencing() == FencingNumber{2});
    }
}

TEST_CASE("Order reconciler")
{
    LeaseDriver d;
    OrderReconciler reconciler({}, Random(1));
    const auto orderFor = [&](std::set<LoadedModel> desired, ObservedEngine state) {
        DesiredEngine target;
        target.loads = std::move(desired);
        reconciler.onDesired(Start, target);
        REQUIRE(reconciler.onTimer(Start, d.lease).size() == 1);
        reconciler.onState(Start, state);
        std::optional<ModelOrder> order;
        for (const auto &action : reconciler.onTimer(Start, d.lease)) {
            if (const auto *send = std::get_if<SendEngineOrder>(&action))
                order = send->order;
        }
        return order;
    };

    // Guards against orders that interrupt running requests and adapters that are loaded on a wrong
    // base version.
    SECTION("the next order")
    {
        struct Row
        {
            std::set<LoadedModel> desired;
            ObservedEngine state;
            std::optional<ModelOrder> order;
        };
        const auto load = [](const LoadedModel &item) {
            return ModelOrder{ModelOrderKind::Load, item, {}, FencingNumber{1}};
        };
        const auto unload = [](const LoadedModel &item) {
            return ModelOrder{ModelOrderKind::Unload, item, {}, FencingNumber{1}};
        };
        using Role = BackendRole;
        const auto row = GENERATE_COPY(
                Row{{V1}, {{V1}, Role::Mixed, 0}, {}}, Row{{V1}, {{}, Role::Mixed, 9}, load(V1)},
                Row{{V1, OnV1}, {{}, Role::Mixed, 0}, load(V1)},
                Row{{V1, OnV1}, {{V1}, Role::Mixed, 9}, load(OnV1)},
                Row{{V2, OnV1}, {{V1}, Role::Mixed, 0}, load(V2)},
                Row{{V2}, {{V1}, Role::Mixed, 9}, {}}, Row{{V2}, {{V1}, Role::Mixed, 0}, load(V2)},
                Row{{V2}, {{V1, OnV1}, Role::Mixed, 0}, unload(OnV1)},
                Row{{V1}, {{V1, Other}, Role::Mixed, 0}, unload(Other)},
                Row{{V1}, {{V1, Other}, Role::Mixed, 1}, {}},
                Row{{V1},
                    {{V1}, Role::Decode, 0},
                    ModelOrder{ModelOrderKind::SwitchRole, {}, Role::Mixed, FencingNumber{1}}});
        CHECK(orderFor(row.desired, row.state) == row.order);
    }

    // Guards against sending a second order while the first one is in flight.
    SECTION("one order is in flight at a time, then the engine state is read")
    {
        REQUIRE(orderFor({V1}, {}));
        CHECK(reconciler.onTimer(Start + 30s, d.lease).empty());
        reconciler.onOrderDone(Start + 30s, true);
        const auto actions = reconciler.onTimer(Start + 30s, d.lease);
        REQUIRE(actions.size() == 1);
        CHECK(std::holds_alternative<ReadEngine>(actions[0]));
    }

    // Guards against a load that starts half a second late although the lease was granted within
    // milliseconds.
    SECTION("an order is sent soon after the lease is granted")
    {
        d.lease.setOrdersPending(Start, false);
        CHECK_FALSE(orderFor({V1}, {}));
        CHECK(reconciler.nextTimer() <= Start + 100ms);
        d.lease.setOrdersPending(Start, true);
        reconciler.onTimer(Start + 100ms, d.lease);
        reconciler.onState(Start + 100ms, {});
        CHECK(reconciler.onTimer(Start + 100ms, d.lease).size() == 1);
    }
    SECTION("failed orders are retried with backoff")
    {
        REQUIRE(orderFor({V1}, {}));
        reconciler.onOrderDone(Start, false);
        CHECK(reconciler.nextTimer() >= Start + 500ms);
        CHECK(reconciler.failures() == 1);
    }
}

TEST_CASE("Placement repair")
{
    Configuration c;
    c.revision = Revision{1};
    c.deployments[DeploymentId("d")];
    c.models[ModelId("m")].deployment = DeploymentId("d");
    LoadOrder order;
    order.deployment = DeploymentId("d");
    order.model = ModelId("m");
    order.version = VersionId("v2");
    order.hosts = {HostId("h1"), HostId("h2"), HostId("h3")};
    const OperationId id("o");
    c.orders[id] = order;
    PlacementRepair repair(HostId("e"), {}, Random(1));
    const std::vector<HostLocation> entries{{HostId("e"), ZoneId("z")}};
    std::vector<HostLocation> hosts{{HostId("h1"), {}}, {HostId("h2"), {}}, {HostId("h3"), {}}};
    const auto publish = [&] {
        repair.onConfiguration(Start, std::make_shared<const Configuration>(c));
    };
    repair.onMembers(Start, entries, hosts);
    publish();

    // Guards against moving weights at every restart of a process.
    SECTION("a lost host is replaced after the delay, at a bounded rate")
    {
        hosts.pop_back();
        repair.onMembers(Start, entries, hosts);
        CHECK(repair.onTimer(Start + 59s, true).empty());
        CHECK(repair.onTimer(Start + 60s, false).empty());
        const auto commands = repair.onTimer(Start + 60s, true);
        REQUIRE(commands.size() == 1);
        CHECK(commands[0].command == Command(RepairPlacement{id, HostId("h3")}));
        CHECK(repair.onTimer(Start + 60500ms, true).empty());
        CHECK(repair.onTimer(Start + 70s, true).empty());
    }

    SECTION("an order that has lost most of its hosts is not repaired")
    {
        hosts.resize(1);
        repair.onMembers(Start, entries, hosts);
        CHECK(repair.onTimer(Start + 100s, true).empty());
    }

    // Guards against a version change that stalls because no process receives the reports of its
    // hosts, and against sending these reports to all entry processes.
    SECTION("the hosts of a version change are observed by one entry process")
    {
        CHECK(repair.observedHosts().empty());
        c.orders[id].state = OrderState::Rolling;
        publish();
        CHECK(repair.observedHosts().size() == 3);
        int observers = 0;
        const std::vector<HostLocation> several{{HostId("e"), {}}, {HostId("f"), {}}};
        for (const auto &entry : several) {
            PlacementRepair other(entry.host, {}, Random(1));
            other.onConfiguration(Start, std::make_shared<const Configuration>(c));
            other.onMembers(Start, several, hosts);
            observers += other.observedHosts().empty() ? 0 : 1;
        }
        CHECK(observers == 1);
    }

    // Guards against a version change that continues although loads fail.
    SECTION("a step is reported when its hosts serve or their loads have failed")
    {
        c.orders[id].state = OrderState::Rolling;
        c.orders[id].steppedHosts = 2;
        publish();
        repair.onHostReport(HostId("h1"), {V2}, {});
        CHECK(repair.onTimer(Start + 1s, true).empty());
        const bool fails = GENERATE(false, true);
        if (fails)
            repair.onHostReport(HostId("h2"), {V1}, {V2});
        else
            repair.onHostReport(HostId("h2"), {V2}, {});
        const auto commands = repair.onTimer(Start + 2s, true);
        REQUIRE(commands.size() == 1);
        CHECK(commands[0].command == Command(StepOrder{id, 2, fails ? 1U : 0U}));
    }
}
