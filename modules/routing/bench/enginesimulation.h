#pragma once

#include <godwit/routing/router.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace godwit::bench {

using namespace std::chrono_literals;

constexpr std::size_t EngineCount = 48;
constexpr std::size_t ZoneCount = 3;
constexpr std::uint32_t SlotsPerEngine = 16;
constexpr double PrefillRate = 8000; // tokens per second
constexpr Duration TokenTime = 20ms;
constexpr double MeanOutputTokens = 60;
constexpr std::uint32_t BlockTokens = 64;
constexpr std::size_t PrefixCount = 2000;
constexpr double ZipfExponent = 1.0;
constexpr std::size_t SharedBlocks = 32; // common to all prompts with the same prefix
constexpr std::size_t UniqueBlocks = 4;  // unique to each request
constexpr std::size_t CacheBlocks = 6400;
constexpr Duration InterZoneDelay = 5ms;
constexpr Duration ReportInterval = 500ms;
constexpr Duration ReportLag = 50ms;
constexpr Duration MaxEventLag = 400ms;
constexpr double EventLossRate = 0.02;
constexpr Duration Deadline = 1400ms;
constexpr double AdmissionMargin = 0.6; // admitted share of the deadline for predicted times
constexpr Duration WarmUpTime = 40s;
constexpr Duration MeasuredTime = 60s;
constexpr Duration MaxLeaveNoticeDelay = 1s; // until an entry learns that an engine leaves

inline const DeploymentId Deployment("d");
inline const ModelPin Pin{ModelId("m"), AdapterId(), VersionId("v")};

inline std::string engineName(std::size_t i)
{
    return "b" + std::to_string(i);
}

/// Prefix cache of an engine with least-recently-used eviction.
class BlockCache
{
public:
    std::size_t matching(const std::vector<std::uint64_t> &blocks) const
    {
        std::size_t n = 0;
        while (n < blocks.size() && m_positions.contains(blocks[n]))
            ++n;
        return n;
    }

    void insert(const std::vector<std::uint64_t> &blocks, PrefixEvent &stored, PrefixEvent &evicted)
    {
        for (const std::uint64_t block : blocks) {
            const auto it = m_positions.find(block);
            if (it != m_positions.end()) {
                m_order.splice(m_order.begin(), m_order, it->second);
                continue;
            }
            m_order.push_front(block);
            m_positions[block] = m_order.begin();
            stored.blocks.push_back(block);
        }
        while (m_order.size() > CacheBlocks) {
            evicted.blocks.push_back(m_order.back());
            m_positions.erase(m_order.back());
            m_order.pop_back();
        }
    }

private:
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_positions;
};

/// A request in flight.
struct Job
{
    RoutingRequest request;
    std::size_t entry = 0;
    std::size_t prefix = 0;
    TimePoint sent;
    Duration output{0};
};

using JobPointer = std::shared_ptr<Job>;

/// State of a simulated backend server.
struct Engine
{
    std::deque<JobPointer> waiting;
    std::uint32_t running = 0;
    bool prefilling = false;
    bool leaving = false;
    BlockCache cache;
    double meanHold = MeanOutputTokens * toSeconds(TokenTime); // seconds, moving average
    std::uint64_t sequence = 0;
    std::array<TimePoint, ZoneCount> eventArrival{};
    Duration busy{0};
};

/// How frequently used prefixes are placed on servers, see docs/bench-routing.md.
enum class HotPrefixPlacement {
    None,
    FixedServers,
};

/// Parameters of a simulation run.
struct Scenario
{
    std::string strategy;
    double requestsPerSecond = 0;
    std::uint64_t seed = 1;
    std::size_t leaving = 0; ///< Number of engines that leave at the end of the warm-up.
    std::size_t absent = 0;  ///< Number of engines that are absent for the whole run.
    bool admission = false;  ///< Refuses requests that are predicted to miss the deadline, see
                             ///< AdmissionMargin.
    HotPrefixPlacement hot = HotPrefixPlacement::None;
    bool reorder = false; ///< Cache events may arrive out of order.
};

/// Measurements of a simulation run.
struct SimulationResult
{
    static constexpr std::size_t SliceCount = 6;

    /// Requests that met the deadline, for equal parts of the measured time.
    std::array<std::size_t, SliceCount> withinDeadlineBySlice{};
    std::vector<double> ttft; ///< In seconds, of requests sent within the measured time.
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t withinDeadline = 0;
    double utilization = 0; ///< Share of the time that engines process prompts.
    double hitRatio = 0;

    double quantile(double p) const
    {
        if (ttft.empty())
            return 0;
        auto sorted = ttft;
        std::ranges::sort(sorted);
        return sorted[static_cast<std::size_t>(p * static_cast<double>(sorted.size() - 1))];
    }
    double goodput() const { return static_cast<double>(withinDeadline) / toSeconds(MeasuredTime); }
};

/// Discrete-event simulation of engines in virtual time, with the production
/// Router of three entry processes.
class Simulation
{
public:
    explicit Simulation(Scenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
        , m_engines(EngineCount)
        , m_prefixRequests(PrefixCount)
    {
        computeZipfDistribution();
        createRouters();
    }

    SimulationResult run()
    {
        for (std::size_t i = 0; i < EngineCount; ++i)
            schedule(fromSeconds(m_random.uniform() * toSeconds(ReportInterval)),
                     [this, i] { sendReport(i); });
        schedule(0s, [this] { generateRequest(); });
        if (m_scenario.leaving > 0)
            schedule(WarmUpTime, [this] { startLeaving(); });
        while (!m_events.empty()
               && m_events.top().at < TimePoint() + WarmUpTime + MeasuredTime + 5s) {
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        Duration busy{0};
        for (const Engine &engine : m_engines)
            busy += engine.busy;
        const auto present = static_cast<double>(EngineCount - m_scenario.absent);
        m_result.utilization = toSeconds(busy) / (present * toSeconds(MeasuredTime));
        m_result.hitRatio = m_cachedBlocks / std::max(1.0, m_promptBlocks);
        return m_result;
    }

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    void schedule(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_eventCount++, std::move(action)});
    }

    void computeZipfDistribution()
    {
        double sum = 0;
        for (std::size_t i = 1; i <= PrefixCount; ++i) {
            sum += 1 / std::pow(static_cast<double>(i), ZipfExponent);
            m_zipfCumulative.push_back(sum);
        }
    }

    std::size_t zoneOf(std::size_t engine) const { return engine % ZoneCount; }
    Duration networkDelay(std::size_t entry, std::size_t engine) const
    {
        return entry == zoneOf(engine) ? Duration(0) : Duration(InterZoneDelay);
    }
    /// Absent engines are spread evenly over the zones. The same holds for leaving ones.
    bool isAbsent(std::size_t engine) const { return engine < m_scenario.absent; }

    void createRouters()
    {
        std::vector<HostId> entries;
        for (std::size_t i = 0; i < ZoneCount; ++i)
            entries.emplace_back("e" + std::to_string(i));
        for (std::size_t i = 0; i < ZoneCount; ++i) {
            RouterOptions options;
            options.self = entries[i];
            options.location = {ZoneId(std::to_string(i)), RegionId(std::to_string(i))};
            options.strategy = m_scenario.strategy;
            const ZoneCosts costs({InterZoneDelay, 0}, {InterZoneDelay, 0}, 0ms);
            m_routers.push_back(
                    Router::create(options, costs, Random(m_scenario.seed * 100 + i)).value());
            m_routers.back().updateEntries(entries);
            for (std::size_t k = m_scenario.absent; k < EngineCount; ++k)
                m_routers.back().updateBackend(makeBackend(k), m_now);
        }
    }

    Backend makeBackend(std::size_t i) const
    {
        Backend backend;
        backend.id = BackendId(engineName(i));
        backend.zone = ZoneId(std::to_string(zoneOf(i)));
        backend.region = RegionId(std::to_string(zoneOf(i)));
        backend.loaded = {Pin};
        backend.allowedDeployments = {Deployment};
        if (m_engines[i].leaving)
            backend.servingState = ServingState::Leaving;
        return backend;
    }

    double exponential(double mean) { return -mean * std::log(1 - m_random.uniform()); }
    bool isInMeasuredTime(TimePoint time) const
    {
        return time >= TimePoint() + WarmUpTime && time < TimePoint() + WarmUpTime + MeasuredTime;
    }

    void generateRequest()
    {
        const double draw = m_random.uniform() * m_zipfCumulative.back();
        Job job;
        job.prefix = static_cast<std::size_t>(std::ranges::lower_bound(m_zipfCumulative, draw)
                                              - m_zipfCumulative.begin());
        job.entry = m_random.below(ZoneCount);
        job.sent = m_now;
        job.output = fromSeconds(exponential(MeanOutputTokens) * toSeconds(TokenTime));
        job.request.deployment = Deployment;
        job.request.pin = Pin;
        job.request.tokensPerBlock = BlockTokens;
        job.request.promptTokens = (SharedBlocks + UniqueBlocks) * BlockTokens;
        for (std::size_t i = 0; i < SharedBlocks; ++i)
            job.request.prefix.push_back(1 + job.prefix * SharedBlocks + i);
        for (std::size_t i = 0; i < UniqueBlocks; ++i)
            job.request.prefix.push_back((1ULL << 40) + m_nextBlock++);
        m_result.offered += isInMeasuredTime(m_now) ? 1 : 0;
        dispatch(std::move(job));
        schedule(fromSeconds(exponential(1 / m_scenario.requestsPerSecond)),
                 [this] { generateRequest(); });
    }

    void dispatch(Job job)
    {
        RoutingRequest request = job.request;
        if (m_scenario.hot == HotPrefixPlacement::FixedServers)
            restrictHotPrefix(job, request);
        const auto outcome = capture([&] { return m_routers[job.entry].choose(request, m_now); });
        const auto *choice = std::get_if<Choice>(&outcome);
        const Duration waited = m_now - job.sent;
        if (!choice
            || (m_scenario.admission
                && toSeconds(waited + choice->predictedTtft)
                           > AdmissionMargin * toSeconds(Deadline))) {
            m_result.refused += isInMeasuredTime(job.sent) ? 1 : 0;
            if (choice)
                m_routers[job.entry].recordFinished(choice->backend, m_now);
            return;
        }
        const std::size_t i = std::stoul(choice->backend.value().substr(1));
        const Duration delay = networkDelay(job.entry, i);
        schedule(delay, [this, i, job = std::make_shared<Job>(std::move(job))]() mutable {
            receive(i, std::move(job));
        });
    }

    /// Restricts a hot prefix to a number of servers that is proportional to its share of requests.
    /// The servers are selected by rendezvous hashing.
    void restrictHotPrefix(const Job &job, RoutingRequest &request)
    {
        const double prefixRequests = ++m_prefixRequests[job.prefix];
        const double share = prefixRequests / ++m_totalRequests;
        const double n = EngineCount;
        // The prefix of rank n log n has about this share or less.
        const double hotShare = 1 / (n * std::log(n));
        if (m_totalRequests < 1000 || share < hotShare / 2)
            return;
        const auto replicas = static_cast<std::size_t>(std::ceil(1 + 1.5 * share * n));
        std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
        for (std::size_t i = 0; i < EngineCount; ++i)
            ranked.emplace_back(Random(job.prefix * 1000 + i)(), i);
        std::ranges::sort(ranked);
        for (std::size_t i = replicas; i < EngineCount; ++i)
            request.excluded.emplace_back(engineName(ranked[i].second));
    }

    void receive(std::size_t i, JobPointer job)
    {
        Engine &engine = m_engines[i];
        if (engine.leaving) {
            schedule(networkDelay(job->entry, i), [this, i, job] {
                m_routers[job->entry].recordFinished(BackendId(engineName(i)), m_now);
                job->request.excluded.emplace_back(engineName(i));
                dispatch(std::move(*job));
            });
            return;
        }
        engine.waiting.push_back(std::move(job));
        startPrefill(i);
    }

    void startPrefill(std::size_t i)
    {
        Engine &engine = m_engines[i];
        if (engine.prefilling || engine.running >= SlotsPerEngine || engine.waiting.empty())
            return;
        const JobPointer job = std::move(engine.waiting.front());
        engine.waiting.pop_front();
        engine.prefilling = true;
        ++engine.running;
        const std::size_t cached = engine.cache.matching(job->request.prefix);
        const std::size_t uncachedTokens = (job->request.prefix.size() - cached) * BlockTokens;
        const Duration time = fromSeconds(static_cast<double>(uncachedTokens) / PrefillRate);
        if (isInMeasuredTime(m_now)) {
            engine.busy += time;
            m_promptBlocks += static_cast<double>(job->request.prefix.size());
            m_cachedBlocks += static_cast<double>(cached);
        }
        engine.meanHold += 0.05 * (toSeconds(time + job->output) - engine.meanHold);
        schedule(time, [this, i, job] { finishPrefill(i, *job); });
    }

    void finishPrefill(std::size_t i, const Job &job)
    {
        Engine &engine = m_engines[i];
        engine.prefilling = false;
        PrefixEvent stored;
        PrefixEvent evicted;
        evicted.kind = PrefixEvent::Kind::Evicted;
        engine.cache.insert(job.request.prefix, stored, evicted);
        for (PrefixEvent *event : {&stored, &evicted}) {
            if (!event->blocks.empty())
                publish(i, *event);
        }
        const double ttft = toSeconds(m_now + networkDelay(job.entry, i) - job.sent);
        if (isInMeasuredTime(job.sent)) {
            m_result.ttft.push_back(ttft);
            const std::size_t withinDeadline = ttft <= toSeconds(Deadline) ? 1 : 0;
            m_result.withinDeadline += withinDeadline;
            const auto slice = (job.sent - TimePoint() - WarmUpTime)
                               / (MeasuredTime / SimulationResult::SliceCount);
            m_result.withinDeadlineBySlice[static_cast<std::size_t>(slice)] += withinDeadline;
        }
        schedule(job.output, [this, i, entry = job.entry] {
            --m_engines[i].running;
            startPrefill(i);
            schedule(networkDelay(entry, i), [this, i, entry] {
                m_routers[entry].recordFinished(BackendId(engineName(i)), m_now);
            });
        });
        startPrefill(i);
    }

    void publish(std::size_t i, PrefixEvent &event)
    {
        event.sequence = ++m_engines[i].sequence;
        for (std::size_t entry = 0; entry < ZoneCount; ++entry) {
            if (m_random.chance(EventLossRate))
                continue;
            // Each engine has one event stream per entry. Events are delayed and may be lost, but
            // arrive in order unless the scenario reorders them.
            TimePoint &arrival = m_engines[i].eventArrival[entry];
            const Duration lag = fromSeconds(m_random.uniform() * toSeconds(MaxEventLag));
            arrival = m_scenario.reorder ? m_now + lag : std::max(arrival, m_now + lag);
            schedule(arrival - m_now, [this, i, entry, event] {
                m_routers[entry].updateCache(BackendId(engineName(i)), event, m_now);
            });
        }
    }

    void sendReport(std::size_t i)
    {
        const Engine &engine = m_engines[i];
        LoadReport load;
        load.backend = BackendId(engineName(i));
        load.takenAt = m_now;
        load.running = engine.running;
        load.waiting = static_cast<std::uint32_t>(engine.waiting.size());
        load.slots = SlotsPerEngine;
        load.prefillTokensPerSecond = PrefillRate;
        load.meanHoldTime = fromSeconds(engine.meanHold);
        for (const JobPointer &job : engine.waiting) {
            const std::size_t cached = engine.cache.matching(job->request.prefix);
            load.queuedTokens += (job->request.prefix.size() - cached) * BlockTokens;
        }
        schedule(ReportLag, [this, load] {
            for (Router &router : m_routers)
                router.updateLoad(load, m_now);
        });
        schedule(ReportInterval, [this, i] { sendReport(i); });
    }

    void startLeaving()
    {
        for (std::size_t i = 0; i < m_scenario.leaving; ++i) {
            m_engines[i].leaving = true;
            for (Router &router : m_routers) {
                schedule(fromSeconds(m_random.uniform() * toSeconds(MaxLeaveNoticeDelay)),
                         [this, i, &router] { router.updateBackend(makeBackend(i), m_now); });
            }
        }
    }

    Scenario m_scenario;
    Random m_random;
    TimePoint m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_nextBlock = 0;
    std::vector<double> m_zipfCumulative;
    std::vector<Router> m_routers;
    std::vector<Engine> m_engines;
    std::vector<double> m_prefixRequests;
    double m_totalRequests = 0;
    double m_promptBlocks = 0;
    double m_cachedBlocks = 0;
    SimulationResult m_result;
};

} // namespace godwit::bench
