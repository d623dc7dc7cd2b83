#include <godwit/settings/settingsparser.h>

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

const std::string Valid = R"(
role = "host"
host = "h1"
zone = "erie-south"
region = "erie"
seeds = ["127.0.0.1:7000"]
[listen]
address = "127.0.0.1"
peer_port = 7001
[platform]
key_value = "127.0.0.1:2379"
host_list = "127.0.0.1:2380"
weight_store = "127.0.0.1:2381"
origin = "127.0.0.1:2382"
[[backend]]
id = "e1"
kind = "engine"
endpoint = "127.0.0.1:9000"
checks_fencing = true
)";

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

std::vector<SettingsProblem> problemsOf(const std::string &text)
{
    const auto parsed = parseDaemonSettings(text, "t.toml");
    if (parsed.index() == 0)
        return {};
    return std::get<1>(parsed);
}

} // namespace

TEST_CASE("Settings")
{
    SECTION("a valid file is read")
    {
        const auto parsed = parseDaemonSettings(Valid, "t.toml");
        REQUIRE(parsed.index() == 0);
        const auto &settings = std::get<0>(parsed);
        CHECK(settings.role == DaemonRole::Host);
        CHECK(settings.backends.at(0).checksFencing);
        CHECK(settings.seeds.at(0) == Endpoint{"127.0.0.1", 7000});
    }

    // Guards against silently replacing invalid values by defaults.
    SECTION("each problem names its key")
    {
        struct Row
        {
            const char *from;
            const char *to;
            const char *key;
        };
        const auto row = GENERATE(
                Row{"role = \"host\"", "role = \"both\"", "role"},
                Row{"host = \"h1\"", "host = \"a b\"", "host"},
                Row{"zone = \"erie-south\"\n", "", "zone"},
                Row{"peer_port = 7001", "peer_port = 70000", "listen.peer_port"},
                Row{"peer_port = 7001", "peer_port = \"7001\"", "listen.peer_port"},
                Row{"peer_port = 7001", "peer_prot = 7001", "listen.peer_prot"},
                Row{"\"127.0.0.1:2379\"", "\"localhost:2379\"", "platform.key_value"},
                Row{"\"127.0.0.1:2380\"", "\"127.0.0.1:0\"", "platform.host_list"},
                Row{"[\"127.0.0.1:7000\"]", "[7000]", "seeds"},
                Row{"kind = \"engine\"", "kind = \"plain\"", "backend[0].deployment"},
                Row{"checks_fencing = true", "checks_fencing = 1", "backend[0].checks_fencing"},
                Row{"role = \"host\"", "role = \"entry\"", "backend"},
                Row{"[listen]", "[requests]\nqueue_limit = 0\n[listen]", "requests.queue_limit"},
                Row{"[listen]", "[[", "line 7"});
        const auto problems = problemsOf(replaced(Valid, row.from, row.to));
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().key == row.key);
        CHECK_FALSE(problems.front().allowed.empty());
    }

    SECTION("all problems are reported at once")
    {
        auto text = replaced(Valid, "role = \"host\"", "role = 1");
        text = replaced(text, "7001", "-1");
        CHECK(problemsOf(text).size() >= 2);
        CHECK(problemsOf("").size() >= 5);
    }
}
