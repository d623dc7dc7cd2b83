#include "hostcore.h"

#include <godwit/settings/settingsparser.h>

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

// Nothing listens on port 1, so the services of the platform are unreachable.
constexpr const char *Settings = R"(
role = "host"
host = "h1"
zone = "z1"
region = "r1"
[listen]
address = "127.0.0.1"
[platform]
key_value = "127.0.0.1:1"
host_list = "127.0.0.1:1"
weight_store = "127.0.0.1:1"
origin = "127.0.0.1:1"
[[zones]]
id = "z1"
region = "r1"
[[backend]]
id = "b1"
kind = "plain"
deployment = "booking"
endpoint = "127.0.0.1:1"
)";

GossipMessage suspicionOf(const HostId &host, Incarnation incarnation)
{
    GossipMessage message;
    message.self.host = HostId("h2");
    message.self.address = "127.0.0.1:1";
    message.self.zone = ZoneId("z1");
    message.self.incarnation = incarnation;
    Member suspect = message.self;
    suspect.host = host;
    suspect.status = MemberStatus::Suspect;
    message.updates.push_back(suspect);
    return message;
}

} // namespace

// Guards against a host that gets no requests after a suspicion: attempts carry the incarnation of
// the report, and the attempt table accepts only the one from the start of the process.
TEST_CASE("The report of a host process keeps its incarnation after a refuted suspicion")
{
    const auto parsed = parseDaemonSettings(Settings, "test.toml");
    REQUIRE(std::holds_alternative<DaemonSettings>(parsed));
    const auto &settings = std::get<DaemonSettings>(parsed);
    MetricsRegistry metrics;
    ControlIo io(settings, metrics);
    io.setPostToControl([](const auto &) {});
    std::vector<HostReport> reports;
    HostCore::Outputs outputs;
    outputs.publishReport = [&](HostReport report) { reports.push_back(std::move(report)); };
    outputs.publishConfiguration = [](const auto &) {};
    outputs.publishPeers = [](const auto &) {};
    outputs.serveUpload = [](const auto &) {};
    outputs.refuseUpload = [](auto...) {};
    outputs.cancelUploads = [](const auto &) {};
    HostCore core(settings, io, metrics, std::move(outputs));
    core.handle(TimerTick{});
    REQUIRE(reports.size() == 1);
    const Incarnation process = reports.front().incarnation;
    core.handle(GossipArrived{suspicionOf(HostId("h1"), process)});
    core.handle(ShutdownRequested{});
    REQUIRE(reports.size() == 2);
    CHECK(reports.back().incarnation == process);
}
