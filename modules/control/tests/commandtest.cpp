#include <godwit/control/command.h>
#include <godwit/control/placement.h>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace godwit;

namespace {

CommandContext contextOf(const std::string &operation, std::int64_t when = 1000)
{
    CommandContext context;
    context.operation = OperationId(operation);
    context.who = "ann";
    context.when = when;
    for (int i = 0; i < 12; ++i)
        context.hosts.push_back(
                {HostId("h" + std::to_string(i)), ZoneId("z" + std::to_string(i % 3))});
    return context;
}

Outcome<Configuration> apply(const Configuration &configuration, const Command &command,
                             const CommandContext &context)
{
    return capture([&] { return applyCommand(configuration, command, context); });
}

Configuration applied(const Configuration &configuration, const Command &command,
                      const std::string &operation)
{
    auto outcome = apply(configuration, command, contextOf(operation));
    INFO((succeeded(outcome) ? std::string() : toString(std::get<1>(outcome))));
    REQUIRE(succeeded(outcome));
    return std::get<0>(std::move(outcome));
}

ModelVersion someVersion()
{
    return {Digest::of("x"), 100};
}

Configuration sample()
{
    const DeploymentId d("d");
    const ModelId m("m");
    auto c = applied({}, CreateDeployment{d, {}}, "op1");
    c = applied(c, CreateModel{m, d}, "op2");
    c = applied(c, CreateVersion{m, {}, VersionId("v1"), someVersion()}, "op3");
    c = applied(c, CreateVersion{m, {}, VersionId("v2"), someVersion()}, "op4");
    return applied(c, LoadModel{d, m, {}, VersionId("v1"), 6, {}}, "order");
}

} // namespace

TEST_CASE("Commands")
{
    const auto c = sample();
    const OperationId order("order");

    SECTION("a command survives a JSON round trip")
    {
        const Command command =
                LoadModel{DeploymentId("d"), ModelId("m"), AdapterId("a"), VersionId("v1"), 2,
                          {HostId("h1")}};
        const auto back = capture([&] { return commandFromJson(commandToJson(command)); });
        REQUIRE(succeeded(back));
        CHECK(std::get<0>(back) == command);
    }

    // Guards against an order that uses the options of its deployment although it overrides them.
    SECTION("an order keeps its own weights policy and priority")
    {
        const LoadModel load{DeploymentId("d"),
                             ModelId("m"),
                             {},
                             VersionId("v1"),
                             1,
                             {},
                             WeightsPolicy::BytesFirst,
                             9};
        const auto next = applied(c, load, "own");
        CHECK(next.orders.at(OperationId("own")).weightsPolicy == WeightsPolicy::BytesFirst);
        CHECK(next.orders.at(OperationId("own")).priority == 9);
        CHECK_FALSE(c.orders.at(order).priority.has_value());
        const auto back = capture([&] { return parseConfiguration(toJsonText(next)); });
        REQUIRE(succeeded(back));
        CHECK(std::get<0>(back) == next);
    }

    // Guards against an invalid command that is accepted or refused with the wrong result code.
    SECTION("invalid commands are refused with a result code")
    {
        struct Row
        {
            Command command;
            ResultCode code;
        };
        const DeploymentId d("d");
        const ModelId m("m");
        const VersionId v1("v1");
        const auto row = GENERATE_COPY(
                Row{CreateDeployment{DeploymentId("a b"), {}}, ResultCode::NameInvalid},
                Row{CreateDeployment{DeploymentId(std::string(200, 'x')), {}},
                    ResultCode::NameInvalid},
                Row{CreateDeployment{d, {}}, ResultCode::ObjectExists},
                Row{CreateModel{ModelId("n"), DeploymentId("nil")}, ResultCode::ObjectUnknown},
                Row{CreateVersion{m, {}, v1, someVersion()}, ResultCode::ObjectExists},
                Row{CreateVersion{m, {}, VersionId("v3"), {}}, ResultCode::ValueOutOfRange},
                Row{CreateAdapter{AdapterId("a"), m, VersionId("v9")}, ResultCode::ObjectUnknown},
                Row{Allow{d, {}, {}, {{CustomerId("c"), {-1, {}}}}}, ResultCode::ValueOutOfRange},
                Row{LoadModel{d, m, {}, v1, 13, {}}, ResultCode::PlacementImpossible},
                Row{LoadModel{d, m, {}, v1, 0, {}}, ResultCode::ValueOutOfRange},
                Row{LoadModel{d, m, {}, v1, 1, {}, {}, 0}, ResultCode::ValueOutOfRange},
                Row{LoadModel{d, m, {}, v1, 1, {}, {}, 1001}, ResultCode::ValueOutOfRange},
                Row{LoadModel{d, m, {}, v1, 0, {HostId("h99")}}, ResultCode::PlacementImpossible},
                Row{LoadModel{d, m, {}, v1, 0, {HostId("h1"), HostId("h1")}},
                    ResultCode::ValueOutOfRange},
                Row{ChangeVersion{order, v1, 1, 0}, ResultCode::OrderStateInvalid},
                Row{ChangeVersion{order, VersionId("v2"), 0, 0}, ResultCode::ValueOutOfRange},
                Row{StepOrder{order, 0, 0}, ResultCode::OrderStateInvalid},
                Row{ReturnHost{HostId("h1")}, ResultCode::ObjectUnknown},
                Row{RepairPlacement{order, HostId("h99")}, ResultCode::OrderStateInvalid});
        const auto outcome = apply(c, row.command, contextOf("opx"));
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<1>(outcome).code == row.code);
    }

    // Guards against applying a resent operation twice.
    SECTION("a resent operation changes nothing")
    {
        const auto outcome = apply(c, CreateDeployment{DeploymentId("d"), {}}, contextOf("op1"));
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome) == c);
        CHECK(findOperation(c, OperationId("op1"))->revision == Revision{1});
        const auto reused = apply(c, DrainHost{HostId("h1")}, contextOf("op1"));
        CHECK(std::get<1>(reused).code == ResultCode::OperationIdReused);
    }

    // Guards against applying an operation twice whose log entry has been dropped.
    SECTION("an operation that may have been dropped from the log is refused")
    {
        auto next = c;
        for (std::size_t i = 0; i < Configuration::MaxOperations + 10; ++i) {
            const bool drain = i % 2 == 0;
            auto context = contextOf("fill" + std::to_string(i), 2000 + static_cast<int>(i));
            const Command command =
                    drain ? Command(DrainHost{HostId("h1")}) : Command(ReturnHost{HostId("h1")});
            next = std::get<0>(apply(next, command, context));
        }
        CHECK(next.operations.size() == Configuration::MaxOperations);
        const auto outcome = apply(next, DrainHost{HostId("h2")}, contextOf("fill0", 2000));
        CHECK(std::get<1>(outcome).code == ResultCode::OperationTooOld);
    }

    // Guards against an operator overwriting a change that the operator has not seen.
    SECTION("a conflict names the other operation, its revision and the current state")
    {
        const auto drained = applied(c, DrainHost{HostId("h1")}, "winner");
        auto context = contextOf("loser");
        context.decidedOn = c.revision;
        const auto outcome = apply(drained, ReturnHost{HostId("h1")}, context);
        const Error error = std::get<1>(outcome);
        CHECK(error.code == ResultCode::ConfigurationConflict);
        for (const char *part : {"winner", "ann", "revision 6", "current state: drained"})
            CHECK(error.detail.find(part) != std::string::npos);
        CHECK(succeeded(apply(drained, DrainHost{HostId("h2")}, context)));
        context.decidedOn = Revision{99};
        CHECK(std::get<1>(apply(drained, DrainHost{HostId("h2")}, context)).code
              == ResultCode::ValueOutOfRange);
    }

    SECTION("a version change advances in steps, stops on errors and can be reversed")
    {
        auto next = applied(c, ChangeVersion{order, VersionId("v2"), 2, 0}, "change");
        CHECK(next.orders.at(order).steppedHosts == 2);
        next = applied(next, StepOrder{order, 2, 0}, "step1");
        CHECK(next.orders.at(order).steppedHosts == 4);
        const auto hosts = next.orders.at(order).hosts;
        next = applied(next, StepOrder{order, 4, 1}, "step2");
        CHECK(next.orders.at(order).state == OrderState::Stopped);
        next = applied(next, ChangeVersion{order, VersionId("v1"), 1, 0}, "back");
        CHECK(next.orders.at(order).hosts.front() == hosts[4]);
        CHECK(next.orders.at(order).steppedHosts == 3);
        for (std::uint32_t step = 3; step <= 6; ++step)
            next = applied(next, StepOrder{order, step, 0}, "b" + std::to_string(step));
        CHECK(next.orders.at(order).state == OrderState::Active);
        CHECK(next.orders.at(order).version == VersionId("v1"));
    }

    SECTION("a repair replaces only a lost or drained host")
    {
        const HostId lost = c.orders.at(order).hosts[0];
        CHECK_FALSE(succeeded(apply(c, RepairPlacement{order, lost}, contextOf("r"))));
        auto context = contextOf("r");
        std::erase_if(context.hosts, [&](const auto &host) { return host.host == lost; });
        const auto outcome = apply(c, RepairPlacement{order, lost}, context);
        REQUIRE(succeeded(outcome));
        const auto hosts = std::get<0>(outcome).orders.at(order).hosts;
        CHECK(std::ranges::find(hosts, lost) == hosts.end());
        CHECK(std::set<HostId>(hosts.begin(), hosts.end()).size() == 6);
    }
}

// Guards against placing all replicas of an order in one zone.
TEST_CASE("Placement is distributed over zones")
{
    const auto context = contextOf("x");
    std::map<std::string, int> perZone;
    for (const HostId &host : choosePlacement("key", context.hosts, {}, 6)) {
        const auto it = std::ranges::find(context.hosts, host, &HostLocation::host);
        ++perZone[it->zone.value()];
    }
    CHECK(perZone == std::map<std::string, int>{{"z0", 2}, {"z1", 2}, {"z2", 2}});
}

TEST_CASE("Configuration document")
{
    const auto c = sample();

    SECTION("survives a JSON round trip")
    {
        const auto outcome = capture([&] { return parseConfiguration(toJsonText(c)); });
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome) == c);
    }

    // Guards against replacing the last valid document by a corrupt one from the key-value service.
    SECTION("malformed documents are refused")
    {
        auto dangling = c;
        dangling.deployments.clear();
        auto future = c;
        future.operations[OperationId("op1")].revision = Revision{99};
        auto format = c;
        format.format = 2;
        const auto text = GENERATE_COPY(
                std::string(), std::string("{"), std::string("[]"), std::string("{}"),
                std::string(R"({"revision":-4})"), std::string(R"({"revision":1,"orders":[]})"),
                std::string(Configuration::MaxBytes + 1, ' '), toJsonText(dangling),
                toJsonText(future), toJsonText(format));
        const auto outcome = capture([&] { return parseConfiguration(text); });
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<1>(outcome).code == ResultCode::ConfigurationMalformed);
    }
}
