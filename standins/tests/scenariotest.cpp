#include "contract.h"

#include <godwit/ports/httpplainservice.h>
#include <godwit/standin/enginestandin.h>
#include <godwit/standin/standinset.h>

using namespace godwit;
using namespace godwit::standin;

namespace {

constexpr const char *ScenarioText = R"(
[[key_value]]
name = "kv"

[[host_list]]
name = "hosts"
lag_us = 5
hosts = [{host = "h1", zone = "z1", address = "127.0.0.1", state = "leaving"}]

[[object_store]]
name = "origin"
bytes_per_second = 1e6
objects = [{name = "o", bytes = 10, seed = 3}]

[[engine]]
name = "e"
count = 3
seed = 10
pin = {model = "m", adapter = "", version = "1"}

[[plain_service]]
name = "bookings"
faults = [{name = "refuse", times = 1}]
)";

Outcome<Scenario> parse(const std::string &text)
{
    return capture([&] { return parseScenario(text); });
}

} // namespace

TEST_CASE("Scenario files")
{
    SECTION("TOML and JSON give the same scenario")
    {
        const Scenario scenario = valueOf(parse(ScenarioText));
        REQUIRE(scenario.engines.size() == 3);
        CHECK(scenario.engines[2].name == "e-3");
        CHECK(scenario.engines[2].seed == 12);
        CHECK(scenario.engines[2].pin.model == ModelId("m"));
        CHECK(scenario.hostLists[0].hosts[0].state == HostState::Leaving);
        CHECK(valueOf(parse(toJsonText(scenario))) == scenario);
    }
    // Guards against a misspelled member that is ignored, so that the default stays in effect.
    SECTION("invalid scenarios are rejected")
    {
        struct Row
        {
            const char *text;
            ResultCode code;
        };
        const auto row = GENERATE(Row{"[[engine", ResultCode::SettingsUnreadable},
                                  Row{"[[engin]]", ResultCode::SettingsInvalid},
                                  Row{"[[engine]]\nslot = 1", ResultCode::SettingsInvalid},
                                  Row{"[engine]\nslots = 1", ResultCode::SettingsInvalid},
                                  Row{"[[engine]]\nslots = -1", ResultCode::JsonFieldInvalid},
                                  Row{"{", ResultCode::SettingsUnreadable});
        CHECK(codeOf(parse(row.text)) == row.code);
    }
    SECTION("duplicate names and unknown faults are rejected")
    {
        const std::string text =
                GENERATE(std::string("[[engine]]\nname = 'a'\n[[plain_service]]\nname = 'a'\n"),
                         std::string("[[engine]]\nfaults = [{name = 'flood'}]\n"));
        const Scenario scenario = valueOf(parse(text));
        CHECK(codeOf(capture([&] { return StandinSet::start(scenario); }))
              == ResultCode::SettingsInvalid);
    }
}

TEST_CASE("Stand-ins of a scenario run on threads and are controlled over HTTP")
{
    auto outcome = capture([&] { return StandinSet::start(valueOf(parse(ScenarioText)), 2); });
    REQUIRE(succeeded(outcome));
    const auto &endpoints = std::get<0>(outcome)->endpoints();
    REQUIRE(endpoints.size() == 7);

    boost::asio::io_context io;
    HttpClient client(io);
    const auto fetch = [&](const std::string &name, const std::string &method,
                           const std::string &target, const std::string &body = {}) {
        HttpCall call;
        call.endpoint = endpoints.at(name);
        call.method = method;
        call.target = target;
        call.body = body;
        std::optional<Outcome<HttpResponse>> result;
        client.call(call, [&](auto response) { result = std::move(response); });
        runUntil(io, [&] { return result.has_value(); });
        return valueOf(*result);
    };

    SECTION("faults, counts and ledger")
    {
        CHECK(fetch("bookings", "POST", "/book").status == 429);
        CHECK(fetch("bookings", "POST", "/book").status == 200);
        CHECK(fetch("bookings", "GET", "/_standin/counts").body == R"({"POST":2})");
        CHECK(fetch("bookings", "POST", "/_standin/faults", R"([{"name":"refuse"}])").status
              == 200);
        CHECK(fetch("bookings", "POST", "/book").status == 429);
        CHECK(fetch("bookings", "POST", "/_standin/faults", R"([{"name":"flood"}])").status == 400);
        const auto runs = valueOf(capture([&] {
            return parseJson<std::vector<PlainRun>>(
                    fetch("bookings", "GET", "/_standin/ledger").body);
        }));
        CHECK(runs.size() == 1);
    }
    SECTION("a response that is not streamed")
    {
        const auto response = fetch("e-2", "POST", "/v1/completions",
                                    R"({"model":"m","prompt":"hi","max_tokens":2})");
        CHECK(response.status == 200);
        const ModelPin pin{ModelId("m"), AdapterId(), VersionId("1")};
        CHECK(response.body.find(engineToken(pin, "hi", 0) + engineToken(pin, "hi", 1))
              != std::string::npos);
        CHECK(response.body.find(R"("engine":"e-2")") != std::string::npos);
    }
    SECTION("hosts and objects are replaced")
    {
        CHECK(fetch("hosts", "PUT", "/_standin/hosts", "[]").status == 200);
        CHECK(fetch("origin", "PUT", "/_standin/objects/new", "bytes").status == 204);
        CHECK(fetch("origin", "GET", "/objects/new").body == "bytes");
        CHECK(fetch("origin", "PUT", "/_standin/manifests/m/base/1", "text").status == 204);
        CHECK(fetch("origin", "GET", "/manifests/m/base/1").body == "text");
    }
}
