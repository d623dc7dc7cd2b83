#include <godwit/routing/router.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const DeploymentId Deployment("drafts");
const ModelPin Pin{ModelId("m"), AdapterId(), VersionId("v1")};

Backend makeBackend(const std::string &id, const std::string &zone = "z1")
{
    Backend backend;
    backend.id = BackendId(id);
    backend.host = HostId("host-" + id);
    backend.zone = ZoneId(zone);
    backend.region = RegionId("r-" + zone);
    backend.loaded = {Pin};
    backend.allowedDeployments = {Deployment};
    return backend;
}

RoutingRequest makeRequest(std::vector<std::uint64_t> prefix = {})
{
    RoutingRequest request;
    request.deployment = Deployment;
    request.pin = Pin;
    request.promptTokens = 640;
    request.prefix = std::move(prefix);
    return request;
}

Router makeRouter(const std::string &strategy = "predicted_ttft")
{
    RouterOptions options;
    options.self = HostId("e1");
    options.location = {ZoneId("z1"), RegionId("r-z1")};
    options.strategy = strategy;
    const ZoneCosts costs({5ms, 0}, {2ms, 0}, 0ms);
    return Router::create(options, costs, Random(1)).value();
}

LoadReport makeReport(const std::string &id, TimePoint takenAt, std::uint64_t queuedTokens)
{
    LoadReport report;
    report.backend = BackendId(id);
    report.takenAt = takenAt;
    report.slots = 16;
    report.queuedTokens = queuedTokens;
    report.running = static_cast<std::uint32_t>(queuedTokens / 1000);
    report.prefillTokensPerSecond = 8000;
    return report;
}

std::string chooseId(Router &router, const RoutingRequest &request, TimePoint now)
{
    const auto outcome = capture([&] { return router.choose(request, now); });
    const auto *choice = std::get_if<Choice>(&outcome);
    return choice ? choice->backend.value() : toString(std::get<Error>(outcome));
}

/// Share of \a n selections at intervals of 10 ms that select \a id.
double selectionShare(Router &router, const std::string &id, TimePoint from, int n = 400)
{
    int selections = 0;
    for (int i = 0; i < n; ++i) {
        const TimePoint now = from + i * 10ms;
        const std::string backend = chooseId(router, makeRequest(), now);
        router.recordFinished(BackendId(backend), now);
        selections += backend == id ? 1 : 0;
    }
    return static_cast<double>(selections) / n;
}

std::vector<HostId> makeEntries(int n)
{
    std::vector<HostId> entries;
    entries.reserve(static_cast<std::size_t>(n));
    for (int i = 0; i < n; ++i)
        entries.emplace_back("e" + std::to_string(i));
    return entries;
}

} // namespace

// Guards against requests that are sent to a server which may not run them.
TEST_CASE("An ineligible server is never selected")
{
    struct Case
    {
        const char *reason;
        void (*change)(Backend &, RoutingRequest &);
    };
    const Case cases[] = {
            {"1 leaving",
             [](Backend &b, RoutingRequest &) { b.servingState = ServingState::Leaving; }},
            {"1 drained",
             [](Backend &b, RoutingRequest &) { b.servingState = ServingState::Drained; }},
            {"1 wrong model", [](Backend &b, RoutingRequest &) { b.loaded = {}; }},
            {"1 wrong version",
             [](Backend &b, RoutingRequest &) { b.loaded[0].version = VersionId("v2"); }},
            {"1 wrong adapter",
             [](Backend &b, RoutingRequest &) { b.loaded[0].adapter = AdapterId("a"); }},
            {"1 wrong role", [](Backend &b, RoutingRequest &) { b.role = EngineRole::Decode; }},
            {"1 not permitted",
             [](Backend &b, RoutingRequest &) { b.allowedDeployments = {DeploymentId("other")}; }},
            {"1 excluded", [](Backend &b, RoutingRequest &r) { r.excluded = {b.id}; }},
    };
    for (const std::string_view strategy : strategyNames()) {
        for (const Case &it : cases) {
            CAPTURE(strategy, it.reason);
            Router router = makeRouter(std::string(strategy));
            RoutingRequest request = makeRequest();
            request.role = EngineRole::Prefill;
            Backend ineligible = makeBackend("bad");
            router.updateBackend(ineligible, TimePoint());
            it.change(ineligible, request);
            router.updateBackend(ineligible, TimePoint());
            router.updateBackend(makeBackend("good"), TimePoint());
            // An ineligible server is not selected even if its load is much lower.
            router.updateLoad(makeReport("good", TimePoint(), 80'000), TimePoint());
            router.updateLoad(makeReport("bad", TimePoint(), 0), TimePoint());
            for (int i = 0; i < 50; ++i)
                CHECK(chooseId(router, request, TimePoint()) == "good");
            router.removeBackend(BackendId("good"), TimePoint());
            CHECK_THAT(chooseId(router, request, TimePoint()),
                       Catch::StartsWith("5001") && Catch::Contains(it.reason));
        }
    }
    // During a version change, requests accept more than one version. Guards against a request that
    // waits although servers with an accepted version are free, or that runs on a version which no
    // order allows.
    SECTION("the selection names the accepted version that is loaded")
    {
        Router router = makeRouter();
        Backend backend = makeBackend("b1");
        backend.loaded = {{Pin.model, Pin.adapter, VersionId("v0")},
                          {Pin.model, Pin.adapter, VersionId("v2")}};
        router.updateBackend(backend, TimePoint());
        RoutingRequest request = makeRequest();
        CHECK_FALSE(succeeded(capture([&] { return router.choose(request, TimePoint()); })));
        request.alternatives = {{Pin.model, Pin.adapter, VersionId("v2")}};
        const auto choice = capture([&] { return router.choose(request, TimePoint()); });
        REQUIRE(succeeded(choice));
        CHECK(std::get<0>(choice).pin == request.alternatives.front());
    }
    SECTION("an unknown deployment has its own result code")
    {
        Router router = makeRouter();
        CHECK_THAT(chooseId(router, makeRequest(), TimePoint()), Catch::StartsWith("5000"));
    }
}

TEST_CASE("Load estimate")
{
    LoadEstimate load;
    const TimePoint start(100s);

    // Guards against sending all requests to one server until its next report.
    SECTION("includes requests that this process sent since the report")
    {
        load.recordSent(1000, start);
        load.applyReport(makeReport("b", start, 0));
        CHECK(load.queuedTokens(start) == 0);
        load.recordSent(4000, start + 100ms);
        CHECK(load.queuedTokens(start + 100ms) == Approx(4000));
        load.applyReport(makeReport("b", start + 50ms, 800));
        CHECK(load.queuedTokens(start + 100ms) == Approx(4400));
        CHECK(load.requests() == 2);
    }
    SECTION("a report older than the last one is ignored")
    {
        load.applyReport(makeReport("b", start, 5000));
        load.applyReport(makeReport("b", start - 1ms, 0));
        CHECK(load.queuedTokens(start) == 5000);
    }
    // Guards against admitting more requests than a server can start in time while reports lag.
    SECTION("the admission wait accounts for other senders")
    {
        LoadReport full = makeReport("b", start, 0);
        full.running = 16;
        full.meanHoldTime = 1600ms;
        load.setSenderCount(3);
        load.applyReport(full);
        load.recordSent(0, start + 1ms);
        CHECK(load.queueingTime(start + 1ms) == 200ms);
        CHECK(load.admissionWait(start + 1ms) == 400ms);
    }
    SECTION("confidence decreases when reports stop")
    {
        CHECK(load.confidence(start) == 0);
        load.applyReport(makeReport("b", start, 0));
        CHECK(load.confidence(start + LoadEstimate::MaxFreshAge) == 1);
        CHECK(load.confidence(start + 6s) == Approx(0.5));
        CHECK(load.confidence(start + LoadEstimate::StaleAge) == 0);
    }
    SECTION("memory use is bounded without reports")
    {
        for (int i = 0; i < 5000; ++i) {
            load.recordSent(1, start);
            load.recordFinished(start);
        }
        CHECK(load.ownRequests() == 0);
        CHECK(load.requests() == 0);
        load.applyReport(makeReport("b", start - 1s, 0));
        // Only the last 512 of the 10,000 changes are kept.
        CHECK(load.queuedTokens(start) <= 512);
    }
}

// Guards against a server that stopped reporting while idle and then receives all requests.
TEST_CASE("A server that stopped reporting is not considered idle")
{
    Router router = makeRouter();
    for (const char *id : {"a", "b", "silent"})
        router.updateBackend(makeBackend(id), TimePoint());
    router.updateLoad(makeReport("silent", TimePoint(), 0), TimePoint());
    const TimePoint later = TimePoint() + 20s;
    for (const char *id : {"a", "b"})
        router.updateLoad(makeReport(id, later, 4000), later);
    int selections = 0;
    for (int i = 0; i < 6; ++i)
        selections += chooseId(router, makeRequest(), later) == "silent" ? 1 : 0;
    CHECK(selections <= 3);
    // The server still receives some requests.
    for (int i = 0; i < 24; ++i)
        selections += chooseId(router, makeRequest(), later) == "silent" ? 1 : 0;
    CHECK(selections >= 1);
    CHECK(selections <= 15);
}

TEST_CASE("Prefix index")
{
    PrefixIndex index(8);
    const std::vector<std::uint64_t> prefix{1, 2, 3, 4};

    SECTION("matches up to the first gap")
    {
        index.apply(0, {1, PrefixEvent::Kind::Stored, {1, 2, 4}});
        index.recordSent(1, prefix);
        CHECK(index.match(prefix)[0] == 2);
        CHECK(index.match(prefix)[1] == 4);
        CHECK(index.match(prefix)[2] == 0);
    }
    // Guards against relying on blocks whose eviction event was lost.
    SECTION("a sequence gap marks older blocks as unconfirmed until they are stored again")
    {
        index.apply(0, {1, PrefixEvent::Kind::Stored, {1, 2}});
        index.apply(1, {1, PrefixEvent::Kind::Stored, {1, 2}});
        index.apply(0, {3, PrefixEvent::Kind::Stored, {3}});
        CHECK(index.match(prefix)[0] == 2); // two unconfirmed blocks and one confirmed block
        CHECK(index.match(prefix)[1] == 2); // blocks of other servers stay confirmed
        index.apply(0, {4, PrefixEvent::Kind::Stored, {1, 2}});
        CHECK(index.match(prefix)[0] == 3);
    }
    SECTION("an event that arrives out of order only applies evictions")
    {
        index.apply(0, {5, PrefixEvent::Kind::Stored, {1, 2}});
        index.apply(0, {3, PrefixEvent::Kind::Stored, {3}});
        CHECK(index.match(prefix)[0] == 2);
        index.apply(0, {4, PrefixEvent::Kind::Evicted, {2}});
        CHECK(index.match(prefix)[0] == 1);
    }
    SECTION("a restarted server has no blocks and a new event sequence")
    {
        index.apply(0, {9, PrefixEvent::Kind::Stored, {1, 2}});
        index.apply(0, {1, PrefixEvent::Kind::Cleared, {}});
        CHECK(index.match(prefix)[0] == 0);
        index.apply(0, {2, PrefixEvent::Kind::Stored, {1}});
        CHECK(index.match(prefix)[0] == 1);
    }
    SECTION("memory use is bounded and referenced blocks are kept")
    {
        for (std::uint64_t block = 100; block < 200; ++block) {
            index.recordSent(0, std::vector<std::uint64_t>{1, block});
            CHECK(index.size() <= 8);
        }
        for (std::uint64_t block = 200; block < 300; ++block) {
            index.match(std::vector<std::uint64_t>{1});
            index.recordSent(0, std::vector<std::uint64_t>{block});
        }
        CHECK(index.match(prefix)[0] == 1);
    }
}

TEST_CASE("Zone costs")
{
    ZoneCosts costs({5ms, 1}, {7ms, 2}, 10ms);
    const Location a{ZoneId("a"), RegionId("r")};
    const Location b{ZoneId("b"), RegionId("r")};
    const Location c{ZoneId("c"), RegionId("s")};
    CHECK(costs.penalty(a, a) == 0ms);
    CHECK(costs.penalty(a, b) == 20ms);
    CHECK(costs.penalty(a, c) == 34ms);
    costs.setPairCost(ZoneId("c"), ZoneId("a"), {1ms, 0});
    CHECK(costs.penalty(a, c) == 2ms);
}

TEST_CASE("Subset")
{
    const int servers = GENERATE(10, 100, 370);
    CAPTURE(servers);
    const auto entries = makeEntries(16);
    std::vector<Subset> subsets;
    std::set<BackendId> covered;
    for (const HostId &entry : entries) {
        Subset subset(entry);
        subset.setEntries(entries);
        for (int i = 0; i < servers; ++i)
            subset.add(BackendId("b" + std::to_string(i)));
        const auto members = subset.members();
        covered.insert(members.begin(), members.end());
        CHECK(members.size() >= std::min<std::size_t>(Subset::DefaultSize, servers));
        CHECK(members.size() <= Subset::MaxSize);
        subsets.push_back(std::move(subset));
    }
    // Guards against servers that no entry process uses.
    CHECK(covered.size() == static_cast<std::size_t>(servers));

    // Guards against losing prefix and load information of many servers when one server leaves or
    // is added.
    SECTION("adding and removing a server changes few other members")
    {
        for (Subset &subset : subsets) {
            const auto before = subset.members();
            subset.remove(before.front());
            subset.add(BackendId("new"));
            const auto after = subset.members();
            const std::set<BackendId> kept(after.begin(), after.end());
            const auto moved = std::ranges::count_if(
                    before, [&](const BackendId &id) { return !kept.contains(id); });
            CHECK(moved <= 2);
        }
    }
}

TEST_CASE("Strategies")
{
    std::vector<Candidate> candidates(3);
    candidates[0] = {0, 0.1, 0ms, 900ms, 0ms, 0, 0};
    candidates[1] = {1, 0.9, 100ms, 100ms, 10ms, 0, 9};
    candidates[2] = {2, 0.9, 150ms, 100ms, 0ms, 0, 9};
    Random random(1);
    CHECK(makeStrategy("least_loaded").value()->choose(candidates, random) == 0);
    CHECK(makeStrategy("predicted_ttft").value()->choose(candidates, random) == 1);
    int idle = 0;
    for (int i = 0; i < 3000; ++i)
        idle += makeStrategy("power_of_two").value()->choose(candidates, random) == 0 ? 1 : 0;
    CHECK(idle == Approx(2000).margin(100));
    CHECK_FALSE(makeStrategy("fastest"));

    // Guards against entry processes that each send the same prompt to a different server.
    SECTION("a prompt that no server has cached is placed by affinity unless that is much slower")
    {
        for (Candidate &it : candidates)
            it.cachedBlocks = 0;
        candidates[2].affinity = 7;
        CHECK(makeStrategy("predicted_ttft").value()->choose(candidates, random) == 2);
        candidates[2].queueing = 2s;
        CHECK(makeStrategy("predicted_ttft").value()->choose(candidates, random) == 1);
    }
}

// Guards against overloading the server that has cached a prefix which many requests share.
TEST_CASE("A hot prefix is spread to other servers once its server has a queue")
{
    Router router = makeRouter();
    for (const char *id : {"a", "b", "c", "d"})
        router.updateBackend(makeBackend(id), TimePoint());
    const auto request = makeRequest({1, 2, 3, 4, 5, 6, 7, 8, 9});
    const std::string first = chooseId(router, request, TimePoint());
    CHECK(chooseId(router, request, TimePoint() + 1s) == first);
    std::set<std::string> used;
    for (int i = 0; i < 200; ++i)
        used.insert(chooseId(router, request, TimePoint() + 2s));
    CHECK(used.size() == 4);
}

TEST_CASE("New and returning servers")
{
    Router router = makeRouter("random");
    for (const char *id : {"a", "b", "c"})
        router.updateBackend(makeBackend(id), TimePoint());
    const TimePoint start(100s);
    CHECK(selectionShare(router, "c", start) == Approx(1.0 / 3).margin(0.08));

    // Guards against a burst of requests to a server whose cache is empty.
    SECTION("a new server starts with reduced load")
    {
        router.updateBackend(makeBackend("new"), start);
        CHECK(selectionShare(router, "new", start, 100) < 0.08);
        CHECK(selectionShare(router, "new", start + 60s) == Approx(0.25).margin(0.08));
    }
    SECTION("a flapping server ramps up more slowly each time")
    {
        for (int i = 0; i < 4; ++i) {
            router.setReachable(BackendId("c"), false, start + i * 5s);
            CHECK(selectionShare(router, "c", start + i * 5s, 20) == 0);
            router.setReachable(BackendId("c"), true, start + i * 5s + 1s);
        }
        CHECK(selectionShare(router, "c", start + 30s) < 0.15);
        CHECK(selectionShare(router, "c", start + 120s) == Approx(1.0 / 3).margin(0.08));
    }
    SECTION("requests are refused while a zone is unreachable and accepted during its ramp-up")
    {
        for (const char *id : {"a", "b", "c"})
            router.setReachable(BackendId(id), false, start);
        CHECK_THAT(chooseId(router, makeRequest(), start), Catch::Contains("3 unreachable"));
        for (const char *id : {"b", "c"})
            router.setReachable(BackendId(id), true, start + 1s);
        // All reachable servers are ramping up: no request is refused.
        CHECK(selectionShare(router, "b", start + 1s, 100) > 0.2);
    }
    SECTION("servers that recover at the same time ramp up after different delays")
    {
        Random random(1);
        Ramp a;
        Ramp b;
        a.start(start, random);
        b.start(start, random);
        CHECK(a.loadShare(start + 8s) != b.loadShare(start + 8s));
        CHECK(a.loadShare(start) == Ramp::InitialShare);
    }
    SECTION("a server that was removed and added again is a new server")
    {
        router.removeBackend(BackendId("a"), start);
        router.updateBackend(makeBackend("a"), start);
        CHECK(router.subscriptions().size() == 3);
        Backend other = makeBackend("a");
        other.loaded[0].version = VersionId("v2");
        router.removeBackend(other.id, start);
        router.updateBackend(other, start);
        CHECK(selectionShare(router, "a", start + 60s, 100) == 0);
    }
}

// Guards against selections that depend on anything other than the seed and the calls.
TEST_CASE("Equal calls give equal selections")
{
    std::string sequences[2];
    for (std::string &sequence : sequences) {
        Router router = makeRouter("power_of_two");
        for (int i = 0; i < 40; ++i)
            router.updateBackend(makeBackend("b" + std::to_string(i)), TimePoint());
        for (int i = 0; i < 100; ++i)
            sequence += chooseId(router, makeRequest(), TimePoint()) + ' ';
    }
    CHECK(sequences[0] == sequences[1]);
}
