#include "engineselector.h"

#include <godwit/ports/cacheblocks.h>
#include <godwit/settings/settingsparser.h>

#include <catch2/catch.hpp>

#include <set>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const DeploymentId Assistant("assistant");
const ModelPin Pin{ModelId("m"), AdapterId(), VersionId("v1")};
const std::string Prompt(640, 'p');

DaemonSettings makeSettings()
{
    DaemonSettings settings;
    settings.host = HostId("entry");
    settings.zone = ZoneId("near");
    settings.region = RegionId("r1");
    settings.zones = {{ZoneId("near"), RegionId("r1"), 0ms, 0},
                      {ZoneId("far"), RegionId("r2"), 5ms, 1}};
    return settings;
}

std::shared_ptr<Configuration> makeConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->deployments[Assistant] = {};
    LoadOrder order;
    order.deployment = Assistant;
    order.model = Pin.model;
    order.version = Pin.version;
    configuration->orders[OperationId("o")] = order;
    return configuration;
}

HostReport makeReport(const HostId &host)
{
    HostReport report;
    report.host = host;
    report.incarnation = {1};
    auto &backend = report.backends.emplace_back();
    backend.backend = BackendId("engine-" + host.value());
    backend.up = true;
    backend.boots = 1;
    backend.loaded = {Pin};
    backend.reportsLoad = true;
    backend.load.slots = 16;
    backend.load.prefillTokensPerSecond = 8000;
    return report;
}

/// Two engines, "engine-a" and "engine-b".
struct Engines
{
    BackendDirectory directory;
    EngineSelector selector{makeSettings(), Random(1)};
    RoutingRequest request;
    HostReport a = makeReport(HostId("a"));
    HostReport b = makeReport(HostId("b"));
    TimePoint now{10s};

    Engines()
    {
        directory.setConfiguration(makeConfiguration());
        setHost(HostId("a"), "near");
        setHost(HostId("b"), "near");
        reportBoth();
        CallerRequest call;
        call.deployment = Assistant;
        call.model = Pin.model;
        call.prompt = Prompt;
        request = selector.routingRequest(call);
        request.pin = Pin;
    }

    void setHost(const HostId &host, const std::string &zone, bool usable = true,
                 bool subscribed = true)
    {
        directory.setHost(host, {"127.0.0.1", 1}, ZoneId(zone), usable, subscribed);
        selector.synchronize(directory, now);
    }

    void report(const HostReport &report)
    {
        now += 1ms;
        if (directory.applyReport(report, now)) {
            selector.synchronize(directory, now);
            selector.applyReport(report, now);
        }
    }

    void reportBoth()
    {
        report(a);
        report(b);
    }

    std::string choose()
    {
        const auto choice = capture([&] { return selector.choose(request, now); });
        if (!succeeded(choice))
            return "none";
        const BackendId &engine = std::get<0>(choice).backend;
        selector.notSent(engine, now);
        return engine.value();
    }

    /// Number of 20 choices that select \a engine.
    int countChoices(const std::string &engine)
    {
        int count = 0;
        for (int i = 0; i < 20; ++i)
            count += choose() == engine ? 1 : 0;
        return count;
    }
};

std::vector<CacheEvent> storedPrompt()
{
    std::vector<CacheEvent> events;
    std::uint64_t sequence = 0;
    for (const auto &block : cacheBlocks(Prompt, 64))
        events.push_back({++sequence, CacheEventKind::Stored, Pin, block});
    return events;
}

} // namespace

TEST_CASE("Engines are selected by their reports")
{
    Engines it;

    // Guards against load reports that do not reach the Router.
    SECTION("an engine with a queue is avoided")
    {
        const bool isFirst = GENERATE(true, false);
        HostReport &busy = isFirst ? it.a : it.b;
        busy.backends[0].load.queuedPromptTokens = 80'000;
        busy.backends[0].load.running = 16;
        it.reportBoth();
        CHECK(it.countChoices(isFirst ? "engine-a" : "engine-b") == 0);
        CHECK(it.choose() != "none");
    }

    // Guards against cache events whose blocks differ from those of the prompts.
    SECTION("an engine that holds the prompt is preferred")
    {
        const bool isFirst = GENERATE(true, false);
        HostReport &holder = isFirst ? it.a : it.b;
        const std::string name = isFirst ? "engine-a" : "engine-b";
        holder.backends[0].cacheEvents = storedPrompt();
        it.reportBoth();
        // The choice itself must not count as a cached prompt for the other engine.
        CHECK(it.choose() == name);
        CHECK(it.countChoices(name) == 20);

        SECTION("until it restarts")
        {
            holder.backends[0].cacheEvents.clear();
            holder.backends[0].boots = 2;
            it.reportBoth();
            const auto choice = capture([&] { return it.selector.choose(it.request, it.now); });
            REQUIRE(succeeded(choice));
            CHECK(std::get<0>(choice).cachedBlocks == 0);
        }
    }

    SECTION("an engine in a near zone is preferred")
    {
        const bool isFirst = GENERATE(true, false);
        it.request.prefix.clear();
        it.request.promptTokens = 1;
        it.setHost(HostId(isFirst ? "b" : "a"), "far");
        CHECK(it.countChoices(isFirst ? "engine-a" : "engine-b") == 20);
    }

    SECTION("an excluded engine is not chosen")
    {
        const bool isFirst = GENERATE(true, false);
        it.request.excluded = {BackendId(isFirst ? "engine-a" : "engine-b")};
        CHECK(it.countChoices(isFirst ? "engine-b" : "engine-a") == 20);
        it.request.excluded = {BackendId("engine-a"), BackendId("engine-b")};
        CHECK(it.choose() == "none");
        CHECK(toString(it.selector.explain(it.request)) == "2 excluded");
    }
}

// Guards against prompts that appear to share blocks because of truncated hashes.
TEST_CASE("Each block of a prompt has a distinct hash")
{
    Engines it;
    CallerRequest call;
    call.deployment = Assistant;
    call.model = Pin.model;
    call.prompt = std::string(200 * 64UL, 'p');
    const auto blocks = it.selector.routingRequest(call).prefix;
    CHECK(blocks.size() == 200);
    CHECK(std::set<std::uint64_t>(blocks.begin(), blocks.end()).size() == 200);
    call.adapter = AdapterId("a");
    CHECK(it.selector.routingRequest(call).prefix != blocks);
}

// Guards against new requests to hosts that leave or whose state is stale.
TEST_CASE("A host that must not receive requests gets none")
{
    Engines it;
    const std::string reason = GENERATE("leaving", "drained", "not usable", "not subscribed",
                                        "refused as leaving", "down", "denied");
    CAPTURE(reason);
    std::string counted = "1 leaving";
    if (reason == "leaving") {
        it.a.leaving = true;
        it.report(it.a);
    } else if (reason == "drained") {
        auto configuration = makeConfiguration();
        configuration->drained.insert(HostId("a"));
        it.directory.setConfiguration(configuration);
        counted = "1 drained";
    } else if (reason == "not usable") {
        it.setHost(HostId("a"), "near", false);
        counted = "1 unreachable";
    } else if (reason == "not subscribed") {
        it.setHost(HostId("a"), "near", true, false);
        // A delayed report does not restore the engine.
        it.report(it.a);
        counted = "none";
    } else if (reason == "refused as leaving") {
        it.directory.drain().markLeaving(HostId("a"), DrainState::Source::Refusal, {1}, it.now);
    } else if (reason == "down") {
        it.a.backends[0].up = false;
        it.report(it.a);
        counted = "1 unreachable";
    } else {
        auto configuration = makeConfiguration();
        configuration->deployments[Assistant].deniedBackends.insert(BackendId("engine-a"));
        it.directory.setConfiguration(configuration);
        counted = "1 not permitted";
    }
    it.selector.synchronize(it.directory, it.now);
    CHECK(it.countChoices("engine-b") == 20);
    CHECK(toString(it.selector.explain(it.request)) == counted);
}

// Guards against a strategy that the settings accept and the Router does not know.
TEST_CASE("The settings accept the strategies of the Router")
{
    const std::string settings = "role = \"entry\"\nhost = \"e\"\nzone = \"z\"\nregion = \"r\"\n"
                                 "[platform]\nkey_value = \"127.0.0.1:1\"\n"
                                 "host_list = \"127.0.0.1:1\"\nweight_store = \"127.0.0.1:1\"\n"
                                 "origin = \"127.0.0.1:1\"\n[routing]\n";
    for (const auto &name : strategyNames()) {
        const auto parsed = parseDaemonSettings(
                settings + "strategy = \"" + std::string(name) + "\"\n", "test");
        REQUIRE(std::holds_alternative<DaemonSettings>(parsed));
        CHECK_NOTHROW(EngineSelector(std::get<DaemonSettings>(parsed), Random(1)));
    }
    CHECK_FALSE(std::holds_alternative<DaemonSettings>(
            parseDaemonSettings(settings + "strategy = \"fastest\"\n", "test")));
    CHECK_FALSE(std::holds_alternative<DaemonSettings>(
            parseDaemonSettings(settings + "subset_size = 65\n", "test")));
}
