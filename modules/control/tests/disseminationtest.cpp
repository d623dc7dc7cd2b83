#include <godwit/control/command.h>
#include <godwit/control/configurationspread.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(3600s)};

std::shared_ptr<const Configuration> documentAt(std::uint64_t revision)
{
    Configuration c;
    for (std::uint64_t i = 1; i <= revision; ++i) {
        CommandContext context;
        context.operation = OperationId("op" + std::to_string(i));
        context.who = "ann";
        context.when = static_cast<std::int64_t>(i);
        const Command command = DrainHost{HostId("h" + std::to_string(i))};
        c = std::get<0>(capture([&] { return applyCommand(c, command, context); }));
    }
    return std::make_shared<const Configuration>(c);
}

StorageReply stored(std::uint64_t revision)
{
    return {StorageStatus::Success, revision, toJsonText(*documentAt(revision))};
}

std::vector<HostLocation> threeMembers()
{
    return {{HostId("a"), ZoneId("z")}, {HostId("b"), ZoneId("z")}, {HostId("c"), ZoneId("y")}};
}

ConfigurationPush pushOf(std::uint64_t base, std::uint64_t revision)
{
    ConfigurationPush push;
    push.state.applied = push.state.confirmed = Revision{revision};
    const auto to = documentAt(revision);
    push.deltas.push_back({Revision{base}, Revision{revision}, Digest::of(toJsonText(*to)).toHex(),
                           mergePatch(toJson(*documentAt(base)), toJson(*to))});
    return push;
}

template <typename T>
std::size_t count(const std::vector<DisseminationAction> &actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            actions, [](const auto &action) { return std::holds_alternative<T>(action); }));
}

} // namespace

TEST_CASE("Configuration dissemination")
{
    ConfigurationDissemination dissemination(HostId("a"), ZoneId("z"), {}, Random(1));
    const HostId b("b");
    dissemination.onMembers(Start, threeMembers(), 3);
    const auto first = dissemination.onWatch(Start, stored(5));
    REQUIRE(dissemination.applied() == Revision{5});
    CHECK(count<SendConfigurationPush>(first) == 2);

    SECTION("a delta on the applied revision takes effect and is pushed on")
    {
        const auto actions = dissemination.onPush(Start, b, pushOf(5, 7));
        CHECK(count<PublishConfiguration>(actions) == 1);
        CHECK(*dissemination.current() == *documentAt(7));
        CHECK(count<SendConfigurationPush>(actions) == 1);
    }

    // Guards against a document that mixes two revisions.
    SECTION("a delta with another base or another result is not applied")
    {
        auto push = GENERATE(pushOf(4, 7), pushOf(6, 7), pushOf(5, 7));
        if (push.deltas[0].base == Revision{5})
            push.deltas[0].patch.as_object()["drained"] = boost::json::array{"torn"};
        CHECK(count<PublishConfiguration>(dissemination.onPush(Start, b, push)) == 0);
        CHECK(dissemination.applied() == Revision{5});
    }

    // Guards against reverting to an older revision (P7 in docs/design.md), received from peers or
    // from a key-value service that has lost data.
    SECTION("older documents are rejected")
    {
        dissemination.onGossip(Start, b, {Revision{5}, Revision{9}, {}});
        CHECK(dissemination.confirmed() == Revision{9});
        CHECK(count<PublishConfiguration>(dissemination.onWatch(Start, stored(7))) == 0);
        CHECK(dissemination.rejectedDocuments() == 1);
        ConfigurationPush push;
        push.document = *documentAt(8);
        CHECK(count<PublishConfiguration>(dissemination.onPush(Start, b, push)) == 0);
        CHECK(dissemination.staleness(Start).behind);
        CHECK(count<PublishConfiguration>(dissemination.onWatch(Start, stored(9))) == 1);
    }

    SECTION("corrupt documents and implausible revisions are rejected")
    {
        const auto reply =
                GENERATE(StorageReply{StorageStatus::Success, 6, "{"},
                         StorageReply{StorageStatus::Success, 6, R"({"revision":1})"},
                         StorageReply{StorageStatus::Success, 0, ""},
                         StorageReply{StorageStatus::Success, 6, R"({"revision":99999999})"});
        dissemination.onWatch(Start, reply);
        dissemination.onGossip(Start, b, {Revision{1ULL << 60}, Revision{1ULL << 60}, {}});
        CHECK(dissemination.rejectedDocuments() == 2);
        CHECK(dissemination.confirmed() == Revision{5});
        CHECK_FALSE(dissemination.nextTimer());
    }

    SECTION("a newer revision that gossip reports is pulled")
    {
        dissemination.onGossip(Start, b, {Revision{8}, Revision{8}, {}});
        REQUIRE(dissemination.nextTimer());
        const auto actions = dissemination.onTimer(*dissemination.nextTimer());
        REQUIRE(count<SendConfigurationPull>(actions) == 1);
        CHECK(std::get<SendConfigurationPull>(actions[0]).message.applied == Revision{5});
    }

    SECTION("a pull is answered with deltas, or with the document if the history is too short")
    {
        dissemination.onWatch(Start, stored(6));
        dissemination.onWatch(Start, stored(8));
        const auto answer = [&](std::uint64_t applied) {
            const auto actions = dissemination.onPull(Start, b, {Revision{applied}});
            return *std::get<SendConfigurationPush>(actions.at(0)).message;
        };
        CHECK(answer(5).deltas.size() == 2);
        CHECK(answer(7).document.has_value());
        CHECK_FALSE(answer(8).document.has_value());
        ConfigurationDissemination peer(HostId("b"), ZoneId("z"), {}, Random(1));
        peer.onWatch(Start, stored(5));
        peer.onPush(Start, HostId("a"), answer(5));
        CHECK(*peer.current() == *documentAt(8));
    }

    // Guards against an isolated process that continues to send engine orders.
    SECTION("a process detects that it is stale and that it is isolated")
    {
        struct Row
        {
            Duration later;
            std::size_t known;
            ControlAction action;
            bool safe;
        };
        const auto row = GENERATE(Row{19s, 3, ControlAction::AcceptCommand, true},
                                  Row{21s, 3, ControlAction::AcceptCommand, false},
                                  Row{21s, 3, ControlAction::RepairPlacement, false},
                                  Row{21s, 3, ControlAction::OrderEngine, true},
                                  Row{21s, 30, ControlAction::OrderEngine, false},
                                  Row{21s, 30, ControlAction::Route, true});
        dissemination.onMembers(Start, threeMembers(), row.known);
        CHECK(dissemination.staleness(Start + row.later).isSafe(row.action) == row.safe);
    }
}

TEST_CASE("Start of the dissemination in an outage")
{
    ConfigurationDissemination dissemination(HostId("n"), ZoneId("x"), {}, Random(1));
    auto members = threeMembers();
    members.push_back({HostId("n"), ZoneId("w")});
    const auto pulls = dissemination.onMembers(Start, members, 4);
    REQUIRE(count<SendConfigurationPull>(pulls) == 3);

    // Guards against a timer that stays in the past, so that its owner calls onTimer() in a busy
    // loop.
    SECTION("without peers it waits for a member without a timer")
    {
        dissemination.onMembers(Start, {{HostId("n"), ZoneId("w")}}, 4);
        dissemination.onTimer(Start + 1s);
        CHECK_FALSE(dissemination.nextTimer());
        CHECK(count<SendConfigurationPull>(dissemination.onMembers(Start + 2s, members, 4)) == 3);
    }

    // Guards against starting with an old document although another peer has a newer one.
    SECTION("the newest document of the peers takes effect")
    {
        ConfigurationPush older;
        older.document = *documentAt(3);
        ConfigurationPush newer;
        newer.document = *documentAt(6);
        CHECK(count<PublishConfiguration>(dissemination.onPush(Start, HostId("a"), older)) == 0);
        dissemination.onPush(Start, HostId("b"), newer);
        CHECK(dissemination.status(Start).source == ConfigurationSource::None);
        const auto actions = dissemination.onTimer(Start + 1s);
        CHECK(count<PublishConfiguration>(actions) == 1);
        CHECK(dissemination.applied() == Revision{6});
        CHECK(dissemination.status(Start + 1s).source == ConfigurationSource::Peers);
        CHECK(dissemination.status(Start + 1s).describe().find("2 of 3 peers")
              != std::string::npos);
        dissemination.onGossip(Start + 1s, HostId("a"), {Revision{6}, Revision{6}, 2s});
        CHECK(dissemination.status(Start + 1s).source == ConfigurationSource::Service);
    }
}
