#include <godwit/gateway/admission.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr int Engines = 20;
constexpr std::uint32_t Slots = 8;
constexpr int EntryProcesses = 10;
constexpr Duration ServiceTime = 400ms;
constexpr double Capacity = Engines * Slots / 0.4; ///< In requests per second.
constexpr Duration Objective = 400ms;
constexpr Duration Timeout = 2s;
constexpr Duration StartMargin = 20ms;
/// After which refused callers come back in the tests of retries.
constexpr Duration ReturnTime = 50ms;

/// Callers with requests of one kind, and what they got.
struct Source
{
    std::string kind;
    std::string customer;
    double rate = 0; ///< Requests per second.
    std::uint32_t priority = DefaultPriority;
    bool returns = false; ///< Refused requests come back until their timeout.

    int requests = 0; ///< Each one counts once, however often it comes back.
    int inTime = 0;   ///< Started within the objective.
    int started = 0;
    int surplus = 0;

    double share() const { return requests > 0 ? static_cast<double>(started) / requests : 0; }
};

struct Arrival
{
    std::size_t source = 0;
    std::size_t process = 0;
    TimePoint createdAt; ///< Before the first refusal.
    TimePoint sentAt;
    BackendId backend;
    QueuePosition position{RequestUrgency::OnTime};
    Duration predicted{0};
    bool foundFreeSlot = false;
};

/// Engines with slots and a queue by priority, and independent entry processes that learn of the
/// load of the engines from responses only.
class Model
{
public:
    explicit Model(std::vector<Source> sources, std::uint64_t seed = 7)
        : m_random(seed)
        , m_sources(std::move(sources))
    {
        for (int i = 0; i < EntryProcesses; ++i) {
            m_processes.push_back(
                    std::make_unique<Process>(Random(m_random()), Random(m_random())));
            for (int number = 0; number < Engines; ++number)
                m_processes.back()->pool.update(record(number), m_now);
        }
        m_engines.resize(Engines);
        for (std::size_t i = 0; i < m_sources.size(); ++i)
            scheduleNext(i);
    }

    Source &source(std::size_t i) { return m_sources[i]; }

    void setRate(std::size_t i, double rate) { m_sources[i].rate = rate; }

    void run(Duration time)
    {
        const TimePoint end = m_now + time;
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

    /// Runs for \a time and returns the requests that started within the objective, per second.
    double goodput(Duration time)
    {
        resetCounts();
        run(time);
        int inTime = 0;
        for (const Source &it : m_sources)
            inTime += it.inTime;
        return inTime / toSeconds(time);
    }

    void resetCounts()
    {
        for (Source &it : m_sources)
            it.requests = it.inTime = it.started = it.surplus = 0;
    }

    double meanShare() const
    {
        double requests = 0;
        double started = 0;
        for (const Source &it : m_sources) {
            requests += it.requests;
            started += it.started;
        }
        return started / requests;
    }

    /// Replaces a process by one that knows nothing.
    void restart(std::size_t process)
    {
        m_processes[process] = std::make_unique<Process>(Random(m_random()), Random(m_random()));
        for (int number = 0; number < Engines; ++number)
            m_processes[process]->pool.update(record(number), m_now);
    }

    /// Called with the process for each request that is treated as surplus.
    std::function<void(std::size_t)> onSurplus;

private:
    struct Process
    {
        Process(Random poolRandom, Random trackerRandom)
            : pool(ZoneId("z"), poolRandom)
            , tracker(trackerRandom)
        {
            pool.setRanksCallers(true);
        }

        BackendPool pool;
        DemandTracker tracker;
    };
    struct Event
    {
        TimePoint at;
        std::uint64_t serial;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return std::tie(at, serial) > std::tie(other.at, other.serial);
        }
    };
    struct Waiting
    {
        std::uint32_t priority;
        std::uint64_t serial;
        Arrival arrival;

        bool operator<(const Waiting &other) const
        {
            return std::tie(priority, serial) < std::tie(other.priority, other.serial);
        }
    };
    struct Engine
    {
        std::uint32_t running = 0;
        std::set<Waiting> waiting;
    };

    static BackendRecord record(int number)
    {
        BackendRecord it;
        it.id = BackendId(std::to_string(number));
        it.service = "llm";
        it.endpoint = {"10.0.0." + std::to_string(number), 80};
        it.zone = ZoneId("z");
        it.slots = Slots;
        it.startTimeMs = 1;
        return it;
    }

    void after(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, ++m_serial, std::move(action)});
    }

    void scheduleNext(std::size_t i)
    {
        // A source without requests looks for a new rate from time to time.
        const double rate = m_sources[i].rate;
        const Duration gap =
                rate > 0 ? fromSeconds(-std::log(1 - m_random.uniform()) / rate) : 50ms;
        after(std::min<Duration>(gap, 1s), [this, i, isRequest = rate > 0 && gap < 1s] {
            if (isRequest) {
                ++m_sources[i].requests;
                arrive({.source = i,
                        .process = m_random.below(EntryProcesses),
                        .createdAt = m_now,
                        .sentAt = m_now,
                        .backend = {}});
            }
            scheduleNext(i);
        });
    }

    void arrive(Arrival arrival)
    {
        Source &source = m_sources[arrival.source];
        Process &process = *m_processes[arrival.process];
        const Demand demand{.kind = source.kind,
                            .customer = CustomerId(source.customer),
                            .priority = source.priority};
        BackendQuery query;
        query.service = "llm";
        const auto treatment = process.tracker.onArrival(demand, m_now);
        if (treatment.isSurplus) {
            ++source.surplus;
            if (onSurplus)
                onSurplus(arrival.process);
        }
        const AdmissionLimits limits{Objective - StartMargin, Objective - StartMargin};
        const auto found = admit(process.pool, query, limits, treatment, m_now);
        if (const auto result = admissionResult(found, query.urgency, treatment))
            process.tracker.onResult(demand, treatment, *result, m_now);
        const auto *choice = std::get_if<BackendChoice>(&found);
        if (!choice) {
            if (source.returns && m_now + ReturnTime < arrival.createdAt + Timeout)
                after(ReturnTime, [this, arrival] { arrive(arrival); });
            return;
        }
        arrival.sentAt = m_now;
        arrival.backend = choice->id;
        arrival.position = query.position();
        arrival.predicted = choice->predictedStartDelay;
        arrival.foundFreeSlot = choice->hasFreeSlot;
        process.pool.onAttemptStarted(arrival.backend, arrival.position, m_now);
        Engine &engine = engineOf(arrival);
        engine.waiting.insert({arrival.position.effectivePriority(), ++m_serial, arrival});
        startWaiting(engine);
    }

    Engine &engineOf(const Arrival &arrival)
    {
        return m_engines[std::stoul(arrival.backend.value())];
    }

    void startWaiting(Engine &engine)
    {
        while (engine.running < Slots && !engine.waiting.empty()) {
            const Arrival arrival = engine.waiting.begin()->arrival;
            engine.waiting.erase(engine.waiting.begin());
            BackendPool &pool = m_processes[arrival.process]->pool;
            if (m_now > arrival.sentAt + Timeout) {
                pool.onFinishedBeforeResponse(arrival.backend, arrival.position);
                pool.onAttemptFinished(arrival.backend, AttemptOutcome::Abandoned, 0ms, m_now);
                continue;
            }
            start(engine, arrival);
        }
    }

    void start(Engine &engine, const Arrival &arrival)
    {
        ++engine.running;
        Source &source = m_sources[arrival.source];
        ++source.started;
        source.inTime += m_now <= arrival.sentAt + Objective;
        BackendPool &pool = m_processes[arrival.process]->pool;
        pool.onResponseStarted(arrival.backend, arrival.position);
        if (arrival.foundFreeSlot)
            pool.recordStartDelay(arrival.backend, m_now - arrival.sentAt - arrival.predicted,
                                  m_now);
        else if (arrival.position.urgency == RequestUrgency::OnTime)
            m_processes[arrival.process]->tracker.recordWait(
                    arrival.position.priority, arrival.predicted, m_now - arrival.sentAt);
        pool.recordLoad(arrival.backend,
                        {engine.running, static_cast<std::uint32_t>(engine.waiting.size()), Slots},
                        m_now);
        const Duration held = fromSeconds(toSeconds(ServiceTime) * (0.5 + m_random.uniform()));
        after(held, [this, &engine, arrival, held] {
            --engine.running;
            m_processes[arrival.process]->pool.onAttemptFinished(
                    arrival.backend, AttemptOutcome::Complete, held, m_now);
            startWaiting(engine);
        });
    }

    Random m_random;
    TimePoint m_now{std::chrono::hours(1)};
    std::uint64_t m_serial = 0;
    std::vector<Source> m_sources;
    std::vector<std::unique_ptr<Process>> m_processes;
    std::vector<Engine> m_engines;
    std::priority_queue<Event> m_events;
};

/// Three kinds of different priority with equal rates, at \a load times the capacity.
std::vector<Source> threeKinds(double load)
{
    const double rate = load * Capacity / 3;
    return {{.kind = "chat", .customer = "dairy", .rate = rate, .priority = 2},
            {.kind = "search", .customer = "mill", .rate = rate},
            {.kind = "batch", .customer = "bakery", .rate = rate, .priority = 8}};
}

std::vector<Source> equalKinds(double load)
{
    std::vector<Source> sources = threeKinds(load);
    for (Source &it : sources)
        it.priority = DefaultPriority;
    return sources;
}

/// Twenty small customers of one kind, and a large one after them.
std::vector<Source> oneLargeCustomer()
{
    std::vector<Source> sources;
    sources.reserve(21);
    for (int i = 0; i < 20; ++i)
        sources.push_back(
                {.kind = "chat", .customer = "small" + std::to_string(i), .rate = 0.02 * Capacity});
    sources.push_back({.kind = "chat", .customer = "large", .rate = 0.4 * Capacity});
    return sources;
}

/// Goodput at the capacity after it has been the usual load for some time.
double goodputAtCapacity()
{
    static const double goodput = [] {
        Model model(equalKinds(1));
        model.run(10s);
        return model.goodput(20s);
    }();
    return goodput;
}

void setLoad(Model &model, double load)
{
    for (std::size_t i = 0; i < 3; ++i)
        model.setRate(i, load * Capacity / 3);
}

} // namespace

// Guards against a goodput that falls when the load exceeds the capacity: queues in which all
// requests are late, or slots that stay free because too much is shed.
TEST_CASE("Overload keeps the goodput")
{
    const double load = GENERATE(1.25, 1.5, 2.5);
    CAPTURE(load, goodputAtCapacity());
    CHECK(goodputAtCapacity() > 0.9 * Capacity);

    SECTION("if all requests are equally urgent")
    {
        Model model(equalKinds(1));
        model.run(10s);
        setLoad(model, load);
        const double afterJump = model.goodput(10s);
        // At 2.5 times the capacity this is a test case of its own, see KNOWN-RED.txt.
        if (load < 2.5)
            CHECK(afterJump >= 0.95 * goodputAtCapacity());
        CHECK(model.goodput(20s) >= 0.95 * goodputAtCapacity());
    }
    SECTION("if some are more urgent")
    {
        Model model(threeKinds(1));
        model.run(10s);
        setLoad(model, load);
        CHECK(model.goodput(10s) >= 0.95 * goodputAtCapacity());
        CHECK(model.goodput(20s) >= 0.95 * goodputAtCapacity());
    }
    SECTION("from the start of the processes")
    {
        Model model(threeKinds(load));
        model.run(2s);
        CHECK(model.goodput(20s) >= 0.95 * goodputAtCapacity());
    }
    SECTION("if refused callers come back at once")
    {
        std::vector<Source> sources = threeKinds(1);
        for (Source &it : sources)
            it.returns = true;
        Model model(sources);
        model.run(10s);
        setLoad(model, load);
        CHECK(model.goodput(10s) >= 0.95 * goodputAtCapacity());
    }
}

// Guards against an overload that goes on by itself: queues that do not empty, and requests that
// are shed because of a shortage that is over.
TEST_CASE("Overload ends within two seconds after the load has fallen")
{
    std::vector<Source> sources = threeKinds(0.8);
    const bool returns = GENERATE(false, true);
    CAPTURE(returns);
    for (Source &it : sources)
        it.returns = returns;
    Model model(sources);
    model.run(10s);
    setLoad(model, 2.5);
    model.run(10s);
    setLoad(model, 0.8);
    model.run(2s);
    model.resetCounts();
    model.run(5s);
    for (std::size_t i = 0; i < 3; ++i) {
        const Source &it = model.source(i);
        CAPTURE(it.kind, it.requests, it.started, it.inTime);
        CHECK(it.inTime >= 0.97 * it.requests);
    }
}

TEST_CASE("Overload by a burst")
{
    // Guards against a burst of one kind that takes the slots of the others.
    SECTION("of one kind is shed from that kind first")
    {
        Model model(equalKinds(0.85));
        model.run(15s);
        model.setRate(2, 1.5 * Capacity);
        model.resetCounts();
        model.run(8s);
        CAPTURE(model.source(0).share(), model.source(1).share(), model.source(2).share());
        CHECK(model.source(0).share() > model.source(2).share());
        CHECK(model.source(1).share() > model.source(2).share());
        CHECK(model.source(2).share() < 0.6);
        CHECK(model.source(2).surplus > model.source(0).surplus + model.source(1).surplus);
    }
    // A kind that is shed although less urgent ones are served would be less urgent than they.
    SECTION("of an urgent kind serves it no less often than less urgent kinds")
    {
        Model model(threeKinds(0.85));
        model.run(15s);
        model.setRate(0, 1.5 * Capacity);
        model.resetCounts();
        model.run(8s);
        CAPTURE(model.source(0).share(), model.source(1).share(), model.source(2).share());
        CHECK(model.source(0).share() >= model.source(1).share() - 0.05);
        CHECK(model.source(1).share() >= model.source(2).share() - 0.05);
    }
    // Guards against small customers that lose their service because of a large one.
    SECTION("of one customer leaves the small ones their share")
    {
        Model model(oneLargeCustomer());
        model.run(15s);
        model.setRate(20, 2 * Capacity);
        model.resetCounts();
        model.run(8s);
        const double mean = model.meanShare();
        for (std::size_t i = 0; i < 20; ++i) {
            const Source &it = model.source(i);
            CAPTURE(it.customer, it.requests, it.started, mean, model.source(20).share());
            CHECK(it.share() >= mean);
        }
    }
    // A restarted process does not know what is usual, and would shed all of it.
    SECTION("is no surplus in the first second of a process")
    {
        Model model(equalKinds(0.85));
        model.run(15s);
        model.setRate(2, 1.5 * Capacity);
        model.run(3s);
        std::vector<int> surplus(EntryProcesses);
        model.onSurplus = [&surplus](std::size_t process) { ++surplus[process]; };
        model.restart(0);
        model.run(900ms);
        CHECK(surplus[0] == 0);
        CHECK(surplus[1] > 0);
    }
}

// Guards against the starvation of the least urgent kind: strict priorities leave it nothing.
TEST_CASE("Overload that lasts leaves each kind a share")
{
    const double load = GENERATE(1.25, 1.5, 2.5);
    Model model(threeKinds(load));
    model.run(5s);
    model.resetCounts();
    model.run(30s);
    const double mean = model.meanShare();
    CAPTURE(load, mean, model.source(0).share(), model.source(1).share(), model.source(2).share());
    for (std::size_t i = 0; i < 3; ++i)
        CHECK(model.source(i).share() >= 0.25 * mean);
    CHECK(model.source(0).share() >= model.source(1).share() - 0.05);
    CHECK(model.source(1).share() >= model.source(2).share() - 0.05);
}

// The following targets are missed; see KNOWN-RED.txt.

TEST_CASE("Overload keeps the goodput right after the load has jumped to 2.5 times", "[!mayfail]")
{
    Model model(equalKinds(1));
    model.run(10s);
    setLoad(model, 2.5);
    CHECK(model.goodput(10s) >= 0.95 * goodputAtCapacity());
}

TEST_CASE("Overload by a burst of one kind costs the others next to nothing", "[!mayfail]")
{
    Model model(equalKinds(0.85));
    model.run(15s);
    model.setRate(2, 1.5 * Capacity);
    model.resetCounts();
    model.run(8s);
    CHECK(model.source(0).share() > 0.95);
    CHECK(model.source(1).share() > 0.95);
}

TEST_CASE("Overload by a burst of one customer costs the small ones little", "[!mayfail]")
{
    Model model(oneLargeCustomer());
    model.run(15s);
    model.setRate(20, 2 * Capacity);
    model.resetCounts();
    model.run(8s);
    for (std::size_t i = 0; i < 20; ++i) {
        CAPTURE(model.source(i).customer);
        CHECK(model.source(i).share() > 0.8);
    }
}
