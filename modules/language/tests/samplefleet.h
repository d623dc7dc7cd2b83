#pragma once

#include <godwit/control/command.h>
#include <godwit/language/fleetview.h>
#include <godwit/language/parser.h>

#include <catch2/catch.hpp>

namespace godwit {

/// Four host processes h0 to h3, alternating between zone z0 of region r0 and zone z1 of region r1,
/// and an entry process e0. Host hN has the backend server bN. Load order "o1" loads version v1 of
/// model m on h0 to h3.
class SampleFleet
{
public:
    SampleFleet()
    {
        addMember("e0", "0", ProcessRole::Entry);
        for (int i = 0; i < 4; ++i)
            addHost(std::to_string(i), std::to_string(i % 2));
        const std::string hex = Digest::of("x").toHex();
        apply("create deployment d", "op1");
        apply("create model m in deployment d", "op2");
        apply("create version v1 of model m manifest " + hex + " size 1000", "op3");
        apply("create version v2 of model m manifest " + hex + " size 2000", "op4");
        apply("create adapter a of model m version v1", "op5");
        apply("create version av of model m adapter a manifest " + hex + " size 10", "op6");
        apply("load m version v1 on hosts h0, h1, h2, h3 in deployment d", "o1");
    }

    CommandContext context(const std::string &operation) const
    {
        CommandContext context;
        context.operation = OperationId(operation);
        context.who = "ann";
        context.when = 1'700'000'000'000;
        for (const MemberView &member : view.members) {
            if (member.member.role == ProcessRole::Host)
                context.hosts.push_back({member.member.host, member.member.zone});
        }
        return context;
    }

    static Command command(const std::string &text)
    {
        auto statement = readStatement(text);
        INFO(text);
        REQUIRE(statement.index() == 0);
        return std::get<Command>(std::get<Statement>(statement));
    }

    void apply(const std::string &text, const std::string &operation)
    {
        auto outcome = capture([&] {
            return applyCommand(*view.configuration, command(text), context(operation));
        });
        INFO((succeeded(outcome) ? std::string() : toString(std::get<1>(outcome))));
        REQUIRE(succeeded(outcome));
        view.configuration = std::make_shared<const Configuration>(std::move(std::get<0>(outcome)));
    }

    FleetView view;

private:
    void addMember(const std::string &host, const std::string &zone, ProcessRole role)
    {
        MemberView member;
        member.member.host = HostId(host);
        member.member.zone = ZoneId("z" + zone);
        member.member.role = role;
        member.region = RegionId("r" + zone);
        member.applied = Revision{100};
        view.members.push_back(std::move(member));
    }

    void addHost(const std::string &number, const std::string &zone)
    {
        addMember("h" + number, zone, ProcessRole::Host);
        LoadView load;
        load.load = {ModelId("m"), {}, VersionId("v1")};
        BackendView backend;
        backend.backend = BackendId("b" + number);
        backend.host = HostId("h" + number);
        backend.loads.push_back(std::move(load));
        view.backends.push_back(std::move(backend));
    }
};

} // namespace godwit
