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
            pool.onAttemptStarted(BackendId(id), RequestUrgency::OnTime, now);
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
        it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime, it.now);
        it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::Unreachable, 0ms, it.now);
        CHECK(it.send(20).count("e1") == 0);
        it.now += 5s;
        it.send(1);
        // It is tried again with real requests.
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("an engine that rejected a request is avoided for a moment")
    {
        it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime, it.now);
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
            it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime, it.now);
            it.pool.onAttemptFinished(BackendId("e2"), AttemptOutcome::Complete, 10ms, it.now);
            if (it.choose(query()) == "e1") {
                ++tries;
                it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime, it.now);
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
    // Guards against a sound engine that is never used again: it rejects requests while it holds
    // only some of its layers, and the record from before says that it holds all.
    SECTION("an engine that rejected requests during a load is used when its record says so")
    {
        it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::OtherProcess, 0ms, it.now);
        it.pool.update(engine(1, "here", 2), it.now);
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("knows whether a record is the one on which an attempt was based")
    {
        const BackendInstance instance{BackendId("e1"), 1};
        CHECK(it.pool.isCurrent(instance, Model, 1));
        CHECK_FALSE(it.pool.isCurrent({BackendId("e1"), 2}, Model, 1));
        CHECK_FALSE(it.pool.isCurrent({BackendId("e9"), 1}, Model, 1));
        it.pool.update(engine(1, "here", 2), it.now);
        CHECK_FALSE(it.pool.isCurrent(instance, Model, 1));
        CHECK(it.pool.isCurrent(instance, Model, 2));
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

TEST_CASE("BackendPool and engines that state that they leave")
{
    Fixture it;
    const auto leave = [&](int number) {
        it.pool.availability().recordLeaving({BackendId("e" + std::to_string(number)), 1}, it.now);
    };
    leave(1);

    // Guards against requests at an engine that drains, which it rejects or cannot finish.
    SECTION("one gets no new requests, even if all others have failed")
    {
        for (int i = 2; i <= 4; ++i)
            it.pool.onAttemptFinished(BackendId("e" + std::to_string(i)),
                                      AttemptOutcome::Unreachable, 0ms, it.now);
        CHECK(it.send(40).count("e1") == 0);
        it.now += 1h;
        CHECK(it.send(40).count("e1") == 0);
    }
    SECTION("nor does it get a stream to resume")
    {
        auto resumed = query();
        resumed.version = 1;
        resumed.excluded = {BackendId("e2"), BackendId("e3"), BackendId("e4")};
        CHECK(it.choose(resumed) == "none");
    }
    // Guards against a record from before the statement, or one of a watch that lags.
    SECTION("a record that says otherwise changes nothing")
    {
        auto moved = engine(1, "there");
        moved.endpoint.port = 81;
        moved.models = {{Model, 2}};
        it.pool.update(moved, it.now);
        it.pool.update(engine(1, "here"), it.now);
        CHECK(it.send(40).count("e1") == 0);
    }
    // Guards against a list after an outage of the store, in which its record was missing.
    SECTION("nor does a record that was missing for a while")
    {
        it.pool.remove(BackendId("e1"));
        it.now += 10min;
        it.pool.update(engine(1, "here"), it.now);
        CHECK(it.send(40).count("e1") == 0);
    }
    SECTION("a later process with the same id and address is used")
    {
        auto successor = engine(1, "here");
        successor.startTimeMs = 2;
        it.pool.update(successor, it.now);
        CHECK(it.send(30).count("e1") == 1);
    }
    SECTION("another engine at the same address is used")
    {
        auto successor = engine(5, "here");
        successor.endpoint = engine(1, "here").endpoint;
        it.pool.update(successor, it.now);
        CHECK(it.send(30).count("e5") == 1);
    }
    SECTION("the choice states which ones were passed over, and why")
    {
        const auto found = it.pool.choose(query(), it.now);
        const std::vector<PassedOverBackend> expected{
                {BackendId("e1"), {UnavailabilityReason::Leaving, std::nullopt}}};
        CHECK(std::get<BackendChoice>(found).passedOver == expected);
    }
    SECTION("if all leave, the reason says so")
    {
        for (int i = 2; i <= 4; ++i)
            leave(i);
        const auto found = it.pool.choose(query(), it.now);
        REQUIRE(std::holds_alternative<NoBackend>(found));
        CHECK(std::get<NoBackend>(found).reason == NoBackend::Reason::AllLeaving);
        CHECK(std::get<NoBackend>(found).passedOver.size() == 4);
        CHECK_FALSE(it.pool.servesAllModels(it.now));
    }
}

TEST_CASE("BackendPool and engines that want no requests for some time")
{
    Fixture it;
    const auto pause = [&](int number, Duration retryAfter) {
        it.pool.availability().recordRetryAfter({BackendId("e" + std::to_string(number)), 1},
                                                retryAfter, it.now);
    };
    const auto failOthers = [&] {
        for (int i = 2; i <= 4; ++i)
            it.pool.onAttemptFinished(BackendId("e" + std::to_string(i)),
                                      AttemptOutcome::Unreachable, 0ms, it.now);
    };
    pause(1, 4s);

    SECTION("one gets none before the time is over, and some soon after")
    {
        CHECK(it.send(20).count("e1") == 0);
        it.now += 4s;
        CHECK(it.send(10).count("e1") == 0);
        it.now += 1s;
        CHECK(it.send(30).count("e1") == 1);
    }
    // Guards against the rule that ignores backoff when all engines are in backoff.
    SECTION("also not if all others have failed")
    {
        failOthers();
        CHECK(it.send(20).count("e1") == 0);
    }
    // Guards against the reverse: a paused engine that keeps the others in their backoff.
    SECTION("the others are used then in spite of their backoff")
    {
        failOthers();
        CHECK(it.choose(query()) != "none");
    }
    SECTION("new weights or a new record do not end the pause")
    {
        it.pool.onAttemptFinished(BackendId("e1"), AttemptOutcome::Rejected, 0ms, it.now);
        it.pool.update(engine(1, "here", 2), it.now);
        CHECK(it.send(20).count("e1") == 0);
    }
    // Guards against admitting requests for slots that cannot be used.
    SECTION("its slots do not count, and its end counts in the wait")
    {
        pause(2, 4s);
        it.send(2 * 16);
        auto late = query();
        late.maxQueueDelay = 0ms;
        const auto found = it.pool.choose(late, it.now);
        REQUIRE(std::holds_alternative<NoBackend>(found));
        CHECK(std::get<NoBackend>(found).reason == NoBackend::Reason::AllFull);
        const auto pauseEnd = [&](const std::string &id) {
            return *it.pool.availability().find({BackendId(id), 1}, it.now)->until;
        };
        it.now = std::min(pauseEnd("e1"), pauseEnd("e2")) - 1ms;
        const auto later = it.pool.choose(late, it.now);
        REQUIRE(std::holds_alternative<NoBackend>(later));
        CHECK(std::get<NoBackend>(later).shortestWait <= 1ms);
    }
    // Guards against a Retry-After that sends clients back before any engine can be used.
    SECTION("if all want none, the wait lasts until the first pause is over")
    {
        for (int i = 2; i <= 4; ++i)
            pause(i, i * 10s);
        const auto found = it.pool.choose(query(), it.now);
        REQUIRE(std::holds_alternative<NoBackend>(found));
        const auto &none = std::get<NoBackend>(found);
        CHECK(none.reason == NoBackend::Reason::AllPaused);
        CHECK(none.shortestWait >= 4s);
        CHECK(none.shortestWait <= 5s);
        CHECK(none.passedOver.size() == 4);
        // They come back, so a client need not go to another entry process.
        CHECK(it.pool.servesAllModels(it.now));
    }
    // The only engine was tried for this request, and turned it away with a retry time.
    SECTION("a pause counts in the wait also if the request has been there before")
    {
        for (int i = 2; i <= 4; ++i)
            it.pool.remove(BackendId("e" + std::to_string(i)));
        auto repeated = query();
        repeated.excluded = {BackendId("e1")};
        const auto found = it.pool.choose(repeated, it.now);
        REQUIRE(std::holds_alternative<NoBackend>(found));
        CHECK(std::get<NoBackend>(found).shortestWait >= 4s);
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
            it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime, it.now);
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
            it.pool.onAttemptStarted(BackendId("e1"), RequestUrgency::OnTime, it.now);
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
            it.pool.onAttemptStarted(BackendId("e2"), RequestUrgency::OnTime, it.now);
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
            it.pool.onAttemptStarted(BackendId("e" + std::to_string(i % 4 + 1)), urgency, it.now);
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
    // An urgent request was refused because of requests that the engine admits after it.
    SECTION("queued requests that are less urgent do not delay more urgent ones")
    {
        auto urgent = query();
        urgent.priority = 2;
        it.pool.setRanksCallers(true);
        fill(Slots, RequestUrgency::OnTime);
        for (int i = 0; i < Slots; ++i)
            it.pool.onResponseStarted(BackendId("e" + std::to_string(i % 4 + 1)),
                                      RequestUrgency::OnTime);
        fill(4 * 8, RequestUrgency::OnTime);
        CHECK(it.choose(query()) == "none");
        CHECK(it.choose(urgent) != "none");

        SECTION("but those that are as urgent do")
        {
            for (int i = 0; i < 4 * 8; ++i)
                it.pool.onAttemptStarted(BackendId("e" + std::to_string(i % 4 + 1)),
                                         {RequestUrgency::OnTime, 2}, it.now);
            CHECK(it.choose(urgent) == "none");
        }
    }
    SECTION("requests of other processes are assumed to have the priorities of the own ones")
    {
        auto urgent = query();
        urgent.priority = 2;
        it.pool.setRanksCallers(true);
        for (int i = 1; i <= 4; ++i)
            it.pool.recordLoad(BackendId("e" + std::to_string(i)), {16, 8, 16}, it.now);
        CHECK(it.choose(urgent) == "none");
        // The own requests wait at one engine, and the mix is assumed at the others as well.
        it.pool.onAttemptStarted(BackendId("e4"), RequestUrgency::OnTime, it.now);
        CHECK(it.choose(query()) == "none");
        CHECK(it.choose(urgent) != "none");
        urgent.excluded = {BackendId("e4")};
        CHECK(it.choose(urgent) != "none");
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

// Guards against requests that are queued or sent although all backend servers are cold, and
// against refusals without a useful time to return.
TEST_CASE("BackendPool passes over cold engines that have got their share")
{
    const TimePoint now{std::chrono::hours(1)};
    BackendPool pool(ZoneId("here"), Random(3), {}, WarmupLimiter({1, 0, 1}, now - 10s));
    ServiceDescription limited = service();
    limited.coldPeriod = 5s;
    limited.warmupPerSecond = 1;
    pool.setServices({limited});
    pool.warmup().setServices({limited}, now - 10s);
    for (int i = 1; i <= 3; ++i) {
        BackendRecord record = engine(i, "here");
        record.coldFor = i * 400ms;
        pool.update(record, now);
    }
    for (int i = 0; i < 3; ++i) {
        const auto found = pool.choose(query(), now);
        REQUIRE(std::holds_alternative<BackendChoice>(found));
        CHECK(std::get<BackendChoice>(found).passedOver.size() == static_cast<std::size_t>(i));
        pool.onAttemptStarted(std::get<BackendChoice>(found).id, RequestUrgency::OnTime, now);
    }

    SECTION("with the time until the first one may be used again")
    {
        const auto found = pool.choose(query(), now);
        const auto *none = std::get_if<NoBackend>(&found);
        REQUIRE(none);
        CHECK(none->reason == NoBackend::Reason::AllCold);
        CHECK(none->isWaitKnown());
        CHECK(none->shortestWait == 400ms);
        REQUIRE(none->passedOver.size() == 3);
        CHECK(none->passedOver[2].why == Unavailability{UnavailabilityReason::Cold, now + 1200ms});
    }
    SECTION("also if others are paused or leave")
    {
        pool.availability().recordRetryAfter({BackendId("e1"), 1}, 10s, now);
        pool.availability().recordLeaving({BackendId("e2"), 1}, now);
        const auto found = pool.choose(query(), now);
        const auto *none = std::get_if<NoBackend>(&found);
        REQUIRE(none);
        CHECK(none->reason == NoBackend::Reason::AllCold);
        CHECK(none->shortestWait == 1200ms);
    }
    SECTION("also if they were tried before")
    {
        BackendQuery retry = query();
        retry.excluded = {BackendId("e1"), BackendId("e2")};
        const auto found = pool.choose(retry, now);
        const auto *none = std::get_if<NoBackend>(&found);
        REQUIRE(none);
        CHECK(none->reason == NoBackend::Reason::AllCold);
        CHECK(none->shortestWait == 1200ms);
    }
    SECTION("and uses them when they are warm")
    {
        const auto found = pool.choose(query(), now + 400ms);
        REQUIRE(std::holds_alternative<BackendChoice>(found));
        CHECK(std::get<BackendChoice>(found).id == BackendId("e1"));
    }
    SECTION("all of which still count as able to serve")
    {
        CHECK(pool.servesAllModels(now));
    }
}
