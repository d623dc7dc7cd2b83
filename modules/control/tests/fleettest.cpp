#include <fleet.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::bench;
using namespace std::chrono_literals;

// Guards against processes that do not discover each other or miss a revision.
TEST_CASE("A fleet converges on members and configuration")
{
    Fleet::Settings settings;
    settings.members = 20;
    Fleet fleet(settings);
    fleet.run(10s);
    for (auto &p : fleet.processes)
        CHECK(p.membership->live().size() == 20);
    WriteResult result;
    fleet.submit(fleet.processes[0], CreateDeployment{DeploymentId("d"), {}}, "op1",
                 [&](const WriteResult &r) { result = r; });
    fleet.run(3s);
    REQUIRE(result.decision == WriteDecision::Accepted);
    for (auto &p : fleet.processes)
        CHECK(p.dissemination->applied() == Revision{1});
}
