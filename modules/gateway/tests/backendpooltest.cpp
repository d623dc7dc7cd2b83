#include <godwit/gateway/backendpool.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const ModelId Model("m");

BackendRecord engine(int number, const std::string &zone, std::uint64_t version = 1)
{
    BackendRecord record;
    record.id = BackendId("e" + std::to_string(number));
    record.service = "llm";
    record.endpoint = {"10.0.0." + std::to_string(number), 80};
    record.zone = ZoneId(zone);
    record.slots = 16;
    record.startTimeMs = 1;
    record.models = {{Model, version}};
    record.layers = LayerRange{0, 16, version};
    return record;
}

ServiceDescription service()
{
    ServiceDescription it;
    it.name = "llm";
    it.engine.emplace();
    it.engine->slots = 16;
    it.engine->layers = 16;
    it.engine->prefillTokensPerSecond = 30'000;
    it.engine->models = {Model};
    return it;
}

BackendQuery query()
{
    BackendQuery it;
    it.service = "llm";
    it.model = Model;
    it.promptTokens = 900;
    it.maxQueueDelay = 400ms;
    return it;
}

struct Fixture
{
    TimePoint now{std::chrono::hours(1)};
    BackendPool pool{ZoneId("here"), Random(3)};

    Fixture()
    {
        pool.setServices({service()});
        for (int i = 1; i <= 4; ++i)
            pool.update(engine(i, i <= 2 ? "here" : "there"), now);
    }

    std::string choose(const BackendQuery &it)
    {
        const auto found = pool.choose(it, now);
        const auto *choice = std::get_if<BackendChoice>(&found);
        return choice ? choice->id.value() : "none";
    }

    /// Sends \a n requests and returns how many each engine received.
    std::map<std::string, int> send(int n)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < n; ++i) {
            const std::string id = choose(query());
            ++counts[id];
            pool.onAttemptStarted(BackendId(id), RequestUrgency::OnTime);
        }
        return counts;
    }
};

} // namespace

TEST_CASE("BackendPool balances requests over engines")
{
    Fixture it;

    SECTION("requests are spread evenly, with a preference for the local zone")
    {
        const auto counts = it.send(40);
        CHECK(counts.at("e1") + counts.at("e2") > counts.at("e3") + counts.at("e4"));
        for (const auto &[id, n] : counts)
            CHECK(n <= 14);
    }
    SECTION("a request that would start too late is refused, with the wait for a free slot")
    {
        it.send(4 * 16);
        auto late = query();
        late.maxQueueDelay = 30ms;
        const auto found = it.pool.choose(late, it.now);
        const auto *none = std::get_if<NoBackend>(&found);
        REQUIRE(none);
        CHECK(none->reason == NoBackend::Reason::AllFull);
        CHECK(none->shortestWait > 0ms);
    }
    SECTION("load caused by other entry processes is taken into account")
    {
        it.pool.recordLoad(BackendId("e1"), {16, 8, 16}, it.now);
        it.pool.recordLoad(BackendId("e2"), {2, 0, 16}, it.now);
        for (int i = 0; i < 10; ++i)
            CHECK(it.choose(query()) != "e1");
    }
    SECTION("processes with the same view do not all select the same engine")
    {
        std::map<std::string, int> firsts;
        for (std::uint64_t seed = 0; seed < 50; ++seed) {
            BackendPool other(ZoneId("elsewhere"), Random(seed));
            other.setServices({service()});
            for (int i = 1; i <= 4; ++i)
                other.update(engine(i, "here"), it.now);
            const auto found = other.choose(query(), it.now);
            ++firsts[std::get<BackendChoice>(found).id.value()];
        }
        CHECK(firsts.size() == 4);
    }
    SECTION("an engine that failed is avoided, and tried again later")
    {
        it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime);
        it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::Unreachable, 0ms, it.now);
        CHECK(it.send(20).count("e1") == 0);
        it.now += 5s;
        it.send(1);
        // It is tried again with real requests.
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("an engine that rejected a request is avoided for a moment")
    {
        it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime);
        it.pool.onAttemptFinished(BackendId("e2"), AttemptOutcome::Rejected, 0ms, it.now);
        CHECK(it.send(10).count("e2") == 0);
    }
    SECTION("an engine that keeps rejecting is tried ever less often until it has loaded weights")
    {
        int tries = 0;
        for (int i = 0; i < 250; ++i) {
            it.now += 10ms;
            if (it.choose(query()) == "none")
                continue;
            it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime);
            it.pool.onAttemptFinished(BackendId("e2"), AttemptOutcome::Complete, 10ms, it.now);
            if (it.choose(query()) == "e1") {
                ++tries;
                it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime);
                it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::Rejected, 1ms, it.now);
            }
        }
        CHECK(tries <= 5);
        it.pool.update(engine(1, "here", 2), it.now);
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("an address taken over by another process is not used until its record changes")
    {
        it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::OtherProcess, 0ms, it.now);
        it.now += 1h;
        CHECK(it.send(30).count("e1") == 0);
        auto restarted = engine(1, "here");
        restarted.startTimeMs = 2;
        it.pool.update(restarted, it.now);
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("a draining engine gets no new requests")
    {
        auto leaving = engine(1, "here");
        leaving.draining = true;
        it.pool.update(leaving, it.now);
        CHECK(it.send(40).count("e1") == 0);
    }
    SECTION("an engine with longer event gaps than the others gets fewer requests")
    {
        for (int i = 0; i < 200; ++i) {
            for (int e = 1; e <= 4; ++e)
                it.pool.recordEventGap(BackendId("e" + std::to_string(e)), e == 1 ? 400ms : 45ms,
                                       it.now);
        }
        const auto counts = it.send(24);
        CHECK((counts.contains("e1") ? counts.at("e1") : 0) <= 2);
    }
}

TEST_CASE("BackendPool and versions of weights")
{
    Fixture it;

    SECTION("engines with old weights get no requests after the deadline of a version")
    {
        it.pool.requireVersion(Model, 2, it.now + 7s);
        CHECK(it.choose(query()) != "none");
        it.now += 7s;
        CHECK(it.choose(query()) == "none");
        it.pool.update(engine(3, "there", 2), it.now);
        CHECK(it.choose(query()) == "e3");
    }
    SECTION("an engine without all layers gets no requests")
    {
        auto partial = engine(1, "here");
        partial.layers = LayerRange{0, 8, 1};
        it.pool.update(partial, it.now);
        CHECK(it.send(30).count("e1") == 0);
    }
    SECTION("a stream resumes only with the weights with which it started")
    {
        it.pool.update(engine(1, "here", 2), it.now);
        auto resumed = query();
        resumed.version = 2;
        for (int i = 0; i < 5; ++i)
            CHECK(it.choose(resumed) == "e1");
        resumed.excluded = {BackendId("e1")};
        CHECK(it.choose(resumed) == "none");
    }
    SECTION("during a staggered load, engines that load next get fewer requests")
    {
        it.pool.announceVersion(Model, 2, {it.now, 8s});
        LoadSchedule schedule;
        schedule.announceVersion(2, {it.now, 8s});
        schedule.setEngines({"10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"});
        std::map<TimePoint, std::string> loadTimes;
        for (int i = 1; i <= 4; ++i)
            loadTimes[*schedule.loadTime("10.0.0." + std::to_string(i), 1)] =
                    "e" + std::to_string(i);
        const auto &[first, id] = *loadTimes.begin();
        it.now = first - 100ms;
        const auto counts = it.send(20);
        for (const auto &[other, n] : counts)
            CHECK((other == id || n >= (counts.contains(id) ? counts.at(id) : 0)));
    }
    // The network link of a host is congested, and requests for its engine are queued in front of
    // it.
    SECTION("an engine whose responses start late gets fewer requests, and is tried again later")
    {
        for (int i = 0; i < 3; ++i)
            it.pool.recordStartDelay(BackendId("e1"), 1500ms, it.now);
        CHECK(it.send(12).count("e1") == 0);
        it.now += 10s;
        CHECK(it.send(12).count("e1") > 0);
    }
    // Guards against requests that start on weights whose grace period ended while they were
    // queued.
    SECTION("no request is queued at an engine for longer than its weights are valid")
    {
        for (int i = 2; i <= 4; ++i)
            it.pool.remove(BackendId("e" + std::to_string(i)));
        for (int i = 0; i < 20; ++i)
            it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime);
        auto tolerant = query();
        tolerant.maxQueueDelay = 2s;
        CHECK(it.choose(tolerant) == "e1");
        it.pool.requireVersion(Model, 2, it.now + 50ms);
        CHECK(it.choose(tolerant) == "none");
    }
    // Guards against a request whose prefill ends after the weights have become outdated. Only its
    // cancellation would then prevent the late start, and a request that must not be repeated fails
    // with it.
    SECTION("a request with a long prompt is not sent to a free slot whose weights expire during "
            "its prefill")
    {
        auto longPrompt = query();
        longPrompt.promptTokens = 30'000;
        longPrompt.maxQueueDelay = 2s;
        it.pool.requireVersion(Model, 2, it.now + 300ms);
        CHECK(it.choose(query()) != "none");
        CHECK(it.choose(longPrompt) == "none");
        it.pool.update(engine(3, "there", 2), it.now);
        CHECK(it.choose(longPrompt) == "e3");
    }
    // The learned delay belongs to the start as well, also at an engine with a free slot.
    SECTION("nor one whose first event usually comes after they expire")
    {
        for (int i = 0; i < 200; ++i)
            it.pool.recordStartDelay(BackendId("e1"), 150ms, it.now);
        it.pool.requireVersion(Model, 2, it.now + 250ms);
        CHECK(it.choose(query()) != "none");
        it.now += 150ms;
        CHECK(it.choose(query()) == "none");
    }
    // An engine that is about to load weights waits for its longest request while its other slots
    // are empty. Long requests then make many engines unavailable at a time.
    SECTION("an engine that loads soon gets the requests that end before")
    {
        constexpr std::uint32_t Tokens = 140;
        constexpr Duration Hold = 1400ms;
        auto usual = query();
        usual.outputTokens = Tokens;
        for (int i = 0; i < 200; ++i) {
            it.choose(usual);
            it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime);
            it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::Complete, Hold, it.now);
        }
        for (int i = 2; i <= 4; ++i)
            it.pool.remove(BackendId("e" + std::to_string(i)));
        it.pool.announceVersion(Model, 2, {it.now, 8s});
        LoadSchedule schedule;
        schedule.announceVersion(2, {it.now, 8s});
        schedule.setEngines({"10.0.0.1"});
        const TimePoint loadTime = *schedule.loadTime("10.0.0.1", 1);
        // The other engine already has that version, and a few more requests.
        it.pool.update(engine(2, "here", 2), it.now);
        for (int i = 0; i < 4; ++i)
            it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime);
        it.now = loadTime - Hold / 2;
        CHECK(it.choose(usual) == "e2");
        auto shortRequest = query();
        shortRequest.outputTokens = Tokens / 4;
        CHECK(it.choose(shortRequest) == "e1");
        it.now = loadTime - 2 * Hold;
        CHECK(it.choose(usual) == "e1");
    }
}

// The load jumps above the capacity. Requests that start just too late take the slots of those that
// could be on time, until all are late.
TEST_CASE("BackendPool when all slots are taken")
{
    Fixture it;
    constexpr int Slots = 4 * 16;
    constexpr Duration StartDelay = 150ms;
    for (int i = 0; i < 200; ++i)
        it.pool.recordStartDelay(BackendId("e1"), StartDelay, it.now);
    const auto fill = [&it](int n, RequestUrgency urgency) {
        for (int i = 0; i < n; ++i)
            it.pool.onAttemptStarted(BackendId("e" + std::to_string(i % 4 + 1)), urgency);
    };

    SECTION("a free slot is used, whatever the delay of the first event")
    {
        auto urgent = query();
        urgent.maxQueueDelay = StartDelay / 2;
        CHECK(it.choose(urgent) != "none");
    }
    SECTION("a request that would be queued is refused if the start delay makes it late")
    {
        fill(Slots + 4 * 8, RequestUrgency::OnTime);
        const auto found = it.pool.choose(query(), it.now);
        const auto *none = std::get_if<NoBackend>(&found);
        REQUIRE(none);
        CHECK(none->reason == NoBackend::Reason::AllFull);

        auto tolerant = query();
        tolerant.maxQueueDelay = 1s;
        CHECK(it.choose(tolerant) != "none");
    }
    SECTION("queued late requests do not delay requests that can be on time")
    {
        fill(Slots, RequestUrgency::OnTime);
        for (int i = 0; i < Slots; ++i)
            it.pool.onResponseStarted(BackendId("e" + std::to_string(i % 4 + 1)),
                                      RequestUrgency::OnTime);
        fill(4 * 8, RequestUrgency::Late);
        CHECK(it.choose(query()) != "none");

        auto late = query();
        late.urgency = RequestUrgency::Late;
        CHECK(it.choose(late) == "none");

        for (int i = 0; i < 4 * 8; ++i)
            it.pool.onFinishedBeforeResponse(BackendId("e" + std::to_string(i % 4 + 1)),
                                             RequestUrgency::Late);
        CHECK(it.choose(query()) == "none");
    }
    SECTION("a start delay caused by unknown load does not block all requests")
    {
        for (int i = 0; i < 500; ++i)
            it.pool.recordStartDelay(BackendId("e1"), 5s, it.now);
        CHECK(it.choose(query()) != "none");
        fill(Slots, RequestUrgency::OnTime);
        CHECK(it.choose(query()) != "none");
    }
    // An entry process that refuses every request receives no load reports any more. It kept
    // refusing the requests of its zone, while others accepted theirs.
    SECTION("the estimated load of other processes decays without new reports")
    {
        for (int i = 1; i <= 4; ++i)
            it.pool.recordLoad(BackendId("e" + std::to_string(i)), {16, 16, 16}, it.now);
        CHECK(it.choose(query()) == "none");
        it.now += 300ms;
        CHECK(it.choose(query()) == "none");
        it.now += 8s;
        CHECK(it.choose(query()) != "none");
    }
    SECTION("a request with a long prompt is not refused because of its prefill time")
    {
        fill(Slots + 4 * 2, RequestUrgency::OnTime);
        auto longPrompt = query();
        longPrompt.promptTokens = 8000;
        CHECK(it.choose(longPrompt) != "none");
    }
}
