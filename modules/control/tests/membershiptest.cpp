#include <fleet.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::bench;
using namespace std::chrono_literals;

namespace {

const TimePoint Start{Duration(3600s)};

Member memberOf(const std::string &name, std::uint64_t process = 1)
{
    return {HostId(name),      name + ":1",         ZoneId("z"),
            ProcessRole::Host, MemberStatus::Alive, Incarnation{process * RefutationsPerProcess}};
}

GossipMessage messageFrom(const Member &self, std::vector<Member> updates = {})
{
    GossipMessage message;
    message.self = self;
    message.updates = std::move(updates);
    return message;
}

Member withStatus(Member member, MemberStatus status)
{
    member.status = status;
    return member;
}

std::size_t countSent(const std::vector<MembershipAction> &actions)
{
    return static_cast<std::size_t>(std::ranges::count_if(actions, [](const auto &action) {
        return std::holds_alternative<SendGossip>(action);
    }));
}

std::size_t countDead(Fleet &fleet)
{
    std::size_t dead = 0;
    for (auto &p : fleet.processes) {
        for (auto &q : fleet.processes) {
            const auto *member = p.membership->find(q.host);
            dead += !member || member->status == MemberStatus::Dead ? 1 : 0;
        }
    }
    return dead;
}

Fleet::Settings fleetSettings(std::size_t members)
{
    Fleet::Settings settings;
    settings.members = members;
    return settings;
}

} // namespace

TEST_CASE("Membership of one process")
{
    Membership membership(memberOf("a"), {}, Random(1));
    membership.start(Start, {});
    const Member b = memberOf("b");
    membership.onMessage(Start, messageFrom(b));

    // Guards against declaring a live process dead because it does not refute a suspicion.
    SECTION("a suspicion of this process is refuted at once")
    {
        const auto actions = membership.onMessage(
                Start, messageFrom(b, {withStatus(memberOf("a"), MemberStatus::Suspect)}));
        CHECK(membership.self().incarnation.value == RefutationsPerProcess + 1);
        REQUIRE(countSent(actions) == 1);
        // Guards against a process that refuses its own requests because its incarnation has
        // changed.
        CHECK(membership.startIncarnation().value == RefutationsPerProcess);
    }

    // Guards against applying a late update about a process that has been replaced or has refuted.
    SECTION("older incarnations and weaker states do not override")
    {
        struct Row
        {
            MemberStatus known;
            Member update;
            MemberStatus after;
        };
        const auto row = GENERATE_COPY(
                Row{MemberStatus::Dead, b, MemberStatus::Dead},
                Row{MemberStatus::Dead, memberOf("b", 2), MemberStatus::Alive},
                Row{MemberStatus::Leaving, withStatus(b, MemberStatus::Suspect),
                    MemberStatus::Leaving},
                Row{MemberStatus::Alive, withStatus(memberOf("b", 0), MemberStatus::Dead),
                    MemberStatus::Alive});
        membership.onMessage(Start, messageFrom(memberOf("c"), {withStatus(b, row.known)}));
        membership.onMessage(Start, messageFrom(memberOf("c"), {row.update}));
        CHECK(membership.find(b.host)->status == row.after);
    }

    // Guards against sending requests to a process whose address belongs to another one now.
    SECTION("another host at the same address replaces the old one")
    {
        Member next = memberOf("n", 2);
        next.address = b.address;
        membership.onMessage(Start, messageFrom(next));
        CHECK(membership.find(b.host)->status == MemberStatus::Dead);
        CHECK(membership.find(next.host)->status == MemberStatus::Alive);
    }

    // Guards against moving work back and forth with a host that goes up and down repeatedly.
    SECTION("a flapping member is put into hold-down")
    {
        TimePoint now = Start;
        for (std::uint64_t i = 2; i < 8; ++i) {
            now += 2s;
            membership.onMessage(now, messageFrom(memberOf("c"), {withStatus(memberOf("b", i),
                                                                             MemberStatus::Dead)}));
            now += 2s;
            membership.onMessage(now, messageFrom(memberOf("b", i + 1)));
        }
        CHECK(membership.find(b.host)->status == MemberStatus::Alive);
        CHECK_FALSE(membership.isUsable(now + 9s, b.host));
        CHECK(membership.isUsable(now + 121s, b.host));
    }

    // Guards against a recovering zone that takes over all its work at once.
    SECTION("members that recover together become usable one after the other")
    {
        for (std::uint64_t process = 1; process <= 3; ++process) {
            std::vector<Member> updates;
            updates.reserve(40);
            for (int i = 0; i < 40; ++i)
                updates.push_back(
                        withStatus(memberOf("m" + std::to_string(i), process),
                                   process == 2 ? MemberStatus::Dead : MemberStatus::Alive));
            membership.onMessage(Start, messageFrom(b, updates));
        }
        const auto usable = [&](Duration later) {
            int n = 0;
            for (int i = 0; i < 40; ++i)
                n += membership.isUsable(Start + later, HostId("m" + std::to_string(i))) ? 1 : 0;
            return n;
        };
        CHECK(usable(0s) < 5);
        CHECK(usable(3s) < 40);
        CHECK(usable(10s) == 40);
    }

    // Guards against messages that grow with the size of the fleet.
    SECTION("updates per message are bounded")
    {
        for (int i = 0; i < 100; ++i)
            membership.onMessage(Start, messageFrom(memberOf("m" + std::to_string(i))));
        auto probe = messageFrom(b);
        probe.kind = GossipKind::Probe;
        for (const auto &action : membership.onMessage(Start, probe)) {
            if (const auto *gossip = std::get_if<SendGossip>(&action))
                CHECK(gossip->message.updates.size() <= Membership::Settings{}.maxUpdates);
        }
    }

    SECTION("invalid messages do not change the member table")
    {
        const auto message =
                GENERATE_COPY(GossipMessage{}, messageFrom(memberOf("a", 9)),
                              messageFrom(memberOf("x", 1ULL << 47)),
                              messageFrom(memberOf("x"), std::vector<Member>(6000, memberOf("y"))),
                              messageFrom(withStatus(memberOf("x"), MemberStatus::Dead)));
        membership.onMessage(Start, message);
        CHECK(membership.known() == 2);
    }

    // Guards against sending new requests to a host that the platform lists as leaving.
    SECTION("the host list marks leaving hosts, and hosts missing from it are kept")
    {
        membership.onHostList(Start, {});
        CHECK(membership.isUsable(Start, b.host));
        membership.onHostList(Start, {{b.host, b.address, b.zone, true}});
        CHECK_FALSE(membership.isUsable(Start, b.host));
    }

    SECTION("silent traffic makes a member unusable until it is heard again")
    {
        CHECK(countSent(membership.onTraffic(Start, b.host, TrafficEvidence::Silent)) > 0);
        CHECK_FALSE(membership.isUsable(Start, b.host));
        membership.onTraffic(Start, b.host, TrafficEvidence::Heard);
        CHECK(membership.isUsable(Start, b.host));
    }

    SECTION("messages of older versions are accepted, malformed ones are not")
    {
        const auto old =
                capture([] { return parseJson<GossipMessage>(R"({"self":{"host":"o"}})"); });
        REQUIRE(succeeded(old));
        CHECK(std::get<0>(old).kind == GossipKind::Announce);
        const auto bad = GENERATE(R"({"self":[]})", R"({"kind":"later"})", R"({"updates":7})");
        CHECK_FALSE(succeeded(capture([&] { return parseJson<GossipMessage>(bad); })));
    }
}

TEST_CASE("Membership of a fleet")
{
    Fleet fleet(fleetSettings(12));
    fleet.run(10s);
    REQUIRE(countDead(fleet) == 0);

    SECTION("a stopped process is declared dead within seconds")
    {
        fleet.stopProcess(fleet.processes[5]);
        fleet.run(20s);
        CHECK(fleet.processes[0].membership->find(fleet.processes[5].host)->status
              == MemberStatus::Dead);
    }

    // Guards against declaring a member dead because a single network path is broken.
    SECTION("no process is declared dead in a partition of two zones that a third zone reaches")
    {
        const bool bothWays = GENERATE(false, true);
        fleet.unreachableZones[0].insert(1);
        if (bothWays)
            fleet.unreachableZones[1].insert(0);
        for (int i = 0; i < 60; ++i) {
            fleet.run(500ms);
            REQUIRE(countDead(fleet) == 0);
        }
    }

    // Guards against a process that declares all others dead after it was paused itself.
    SECTION("a process that was paused declares no member dead")
    {
        std::size_t declared = 0;
        fleet.onMemberChanged = [&](Fleet::Process &p, const MemberChanged &change) {
            declared += p.index == 4 && change.member.status == MemberStatus::Dead ? 1 : 0;
        };
        // The process is paused while it suspects another one.
        auto &p = fleet.processes[4];
        fleet.perform(p, p.membership->onMessage(
                                 fleet.queue.now(),
                                 messageFrom(fleet.processes[1].membership->self(),
                                             {withStatus(fleet.processes[2].membership->self(),
                                                         MemberStatus::Suspect)})));
        fleet.pause(p, 20s);
        fleet.run(25s);
        CHECK(declared == 0);
    }

    // Guards against two partitions that stay separate after the network has recovered.
    SECTION("a zone rejoins after a partition")
    {
        fleet.partition(1, true);
        fleet.run(60s);
        CHECK(countDead(fleet) > 0);
        fleet.partition(1, false);
        fleet.run(40s);
        CHECK(countDead(fleet) == 0);
    }

    // Guards against sending new requests to a host that is leaving.
    SECTION("a leaving host informs its peers at once")
    {
        auto &p = fleet.processes[7];
        for (auto &q : fleet.processes)
            p.membership->onTraffic(fleet.queue.now(), q.host, TrafficEvidence::Heard);
        fleet.perform(p, p.membership->leave(fleet.queue.now()));
        fleet.run(50ms);
        for (auto &q : fleet.processes) {
            if (q.index != p.index)
                CHECK_FALSE(q.membership->isUsable(fleet.queue.now(), p.host));
        }
    }
}
