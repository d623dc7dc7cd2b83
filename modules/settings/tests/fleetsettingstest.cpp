#include <godwit/settings/settingsparser.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const std::string Common = R"(
host = "edge-1"
zone = "z1"
region = "r1"
store = "10.200.1.7:8007"
link_bits_per_second = 7.3e6
[[zones]]
id = "z1"
region = "r1"
[bounds]
leave_s = 8
key_revocation_ms = 5000
strict_revocation = true
version_change_ms = 8000
reconnection_ms = 3500
retry_share = 0.2
retry_slack = 106
retry_window_s = 10
)";

const std::string Listen = R"([listen]
callers = "10.1.0.40:8005"
readiness = "10.1.0.40:8002"
peers = "10.1.0.40:7700"
metrics = "10.1.0.40:7701"
)";

std::vector<std::string> problemsOf(const std::string &text)
{
    const auto parsed = parseFleetSettings(text, "f.toml");
    std::vector<std::string> keys;
    if (const auto *problems = std::get_if<1>(&parsed)) {
        for (const SettingsProblem &it : *problems)
            keys.push_back(it.key);
    }
    return keys;
}

} // namespace

TEST_CASE("parseFleetSettings")
{
    SECTION("an entry process")
    {
        const auto parsed = parseFleetSettings("role = \"entry\"\n" + Common + Listen, "f.toml");
        REQUIRE(parsed.index() == 0);
        const FleetSettings &it = std::get<0>(parsed);
        CHECK(it.role == DaemonRole::Entry);
        CHECK(it.store == Endpoint{"10.200.1.7", 8007});
        CHECK(it.bounds.shutdownGracePeriod == 8s);
        CHECK(it.bounds.retryBudgetWindow == 10s);
        CHECK(it.linkBitsPerSecond == Approx(7.3e6));
        CHECK(it.zones.size() == 1);
    }
    // The platform leaves out bounds that a deployment does not have.
    SECTION("the bound for cold backend servers")
    {
        const auto without = parseFleetSettings("role = \"entry\"\n" + Common + Listen, "f.toml");
        REQUIRE(without.index() == 0);
        CHECK(std::get<0>(without).bounds.coldOverage == 1);
        CHECK(std::get<0>(without).bounds.coldSlack == 0);
        CHECK(std::get<0>(without).bounds.entryProcesses == 40);
        const auto parsed = parseFleetSettings(
                "role = \"entry\"\n" + Common
                        + "cold_overage = 1.5\ncold_slack = 5\nentry_processes = 15\n" + Listen,
                "f.toml");
        REQUIRE(parsed.index() == 0);
        CHECK(std::get<0>(parsed).bounds.coldOverage == 1.5);
        CHECK(std::get<0>(parsed).bounds.coldSlack == 5);
        CHECK(std::get<0>(parsed).bounds.entryProcesses == 15);
        CHECK(problemsOf("role = \"entry\"\n" + Common
                         + "cold_overage = -1\ncold_slack = \"\"\nentry_processes = 0\n" + Listen)
              == std::vector<std::string>{"bounds.cold_overage", "bounds.cold_slack",
                                          "bounds.entry_processes"});
    }
    SECTION("a host process needs its engine")
    {
        CHECK(problemsOf("role = \"host\"\n" + Common + Listen)
              == std::vector<std::string>{"engine"});
        CHECK(problemsOf("role = \"host\"\n" + Common + Listen
                         + "[engine]\nendpoint = \"10.1.0.42:8001\"\nservice = \"llm\"\n")
                      .empty());
    }
    SECTION("all problems are reported at once")
    {
        const auto keys = problemsOf("role = \"cook\"\nhost = \"a b\"\n[bounds]\nleave_s = -1\n"
                                     "retry_share = 2\nunknown = 1\n");
        for (const char *key : {"role", "host", "zone", "region", "store", "bounds.leave_s",
                                "bounds.retry_share", "bounds.unknown"})
            CHECK(std::find(keys.begin(), keys.end(), key) != keys.end());
    }
}

// Guards against features that change how a deployment is served although its settings do not ask
// for them.
TEST_CASE("parseFleetSettings switches features of routing on only if they are asked for")
{
    const auto settingsOf = [](const std::string &text) {
        const auto parsed =
                parseFleetSettings("role = \"entry\"\n" + Common + Listen + text, "f.toml");
        REQUIRE(parsed.index() == 0);
        return std::get<0>(parsed);
    };
    CHECK_FALSE(settingsOf("").ranksCallers);
    CHECK_FALSE(settingsOf("").learnsSpeed);
    CHECK(settingsOf("[routing]\nranked_callers = true\n").ranksCallers);
    CHECK(settingsOf("[routing]\nlearned_speed = true\n").learnsSpeed);
}

// Guards against defaults that an ordinary client reaches on the smallest host, and against ones
// that exceed its memory or its descriptors.
TEST_CASE("parseFleetSettings derives the limits for clients from those of the machine")
{
    const auto limitsOf = [](const std::string &text) {
        const auto parsed =
                parseFleetSettings("role = \"entry\"\n" + Common + Listen + text, "f.toml");
        REQUIRE(parsed.index() == 0);
        return std::get<0>(parsed).limits;
    };
    constexpr std::uint64_t MaxBody = 4'194'304;

    SECTION("the smallest host")
    {
        const FleetLimits it = limitsOf("[limits]\nmemory_mb = 112\ndescriptors = 2870\n");
        CHECK(it.memoryBytes == 112'000'000);
        CHECK(it.requestMemoryBytes == 28'000'000);
        CHECK(it.clientConnections == 890);
        // A body with its copy and the room to grow, in the part for long requests.
        CHECK(2 * MaxBody / 4 * 5 < it.requestMemoryBytes / 8 * 7);
    }
    SECTION("unknown limits")
    {
        CHECK(limitsOf("") == FleetLimits());
        CHECK(limitsOf("[limits]\nmemory_mb = 0\ndescriptors = 0\n") == FleetLimits());
    }
    SECTION("stated limits take precedence")
    {
        const FleetLimits it = limitsOf("[limits]\nmemory_mb = 112.5\ndescriptors = 100\n"
                                        "request_memory_bytes = 2000000\n"
                                        "client_connections = 7\n");
        CHECK(it.memoryBytes == 112'500'000);
        CHECK(it.requestMemoryBytes == 2'000'000);
        CHECK(it.clientConnections == 7);
    }
    SECTION("fewer descriptors than are reserved")
    {
        CHECK(limitsOf("[limits]\ndescriptors = 100\n").clientConnections == 1);
    }
    SECTION("invalid values")
    {
        CHECK(problemsOf("role = \"entry\"\n" + Common + Listen
                         + "[limits]\nmemory_mb = -1\nrequest_memory_bytes = 5\n"
                           "client_connections = 0\n")
              == std::vector<std::string>{"limits.memory_mb", "limits.request_memory_bytes",
                                          "limits.client_connections"});
    }
}
