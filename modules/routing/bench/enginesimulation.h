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
constexpr std::uint32_t Slots = 16;
constexpr double PrefillRate = 8000; // tokens per second
constexpr Duration TokenTime = 20ms;
constexpr double MeanOutputTokens = 60;
constexpr std::uint32_t BlockTokens = 64;
constexpr std::size_t PrefixCount = 2000;
constexpr double ZipfExponent = 1.0;
constexpr std::size_t SharedBlocks = 32; // per prefix
constexpr std::size_t OwnBlocks = 4;     // per request
constexpr std::size_t CacheBlocks = 6400;
constexpr Duration ZoneDelay = 5ms;
constexpr Duration ReportInterval = 500ms;
constexpr Duration ReportLag = 50ms;
constexpr Duration MaxEventLag = 400ms;
constexpr double EventLoss = 0.02;
constexpr Duration Deadline = 1400ms;
constexpr double AdmissionMargin = 0.6; // admits predictions up to this share of the deadline
constexpr Duration WarmUp = 40s;
constexpr Duration Measured = 60s;
constexpr Duration LeaveNotice = 1s; // entries learn of a leaving server within this time

inline const DeploymentId Deployment("d");
inline const ModelPin Pin{ModelId("m"), AdapterId(), VersionId("v")};

inline std::string engineName(std::size_t i)
{
    return "b" + std::to_string(i);
}

/// Blocks in least-recently-used order.
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

/// A request on its way.
struct Job
{
    RoutingRequest request;
    std::size_t entry = 0;
    std::size_t prefix = 0;
    TimePoint sent;
    Duration output{0};
};

using JobPointer = std::shared_ptr<Job>;

/// A backend server of the model.
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

/// Which prefixes get a fixed set of servers, see docs/bench-routing.md.
enum class HotPlacement {
    None,
    FixedServers,
};

/// What one run plays.
struct Scenario
{
    std::string strategy;
    double requestsPerSecond = 0;
    std::uint64_t seed = 1;
    std::size_t leaving = 0; ///< Engines that leave at the end of the warm-up.
    std::size_t absent = 0;  ///< Engines that are not there from the start.
    bool admission = false;  ///< Refuses requests whose prediction misses the deadline.
    HotPlacement hot = HotPlacement::None;
    bool reorder = false; ///< Cache events overtake each other.
};

/// What one run measured.
struct Figures
{
    static constexpr std::size_t SliceCount = 6;

    std::array<std::size_t, SliceCount> inTimeBySlice{}; ///< Of the measured time.
    std::vector<double> ttft; ///< Seconds, of requests sent after the warm-up.
    std::size_t offered = 0;
    std::size_t refused = 0;
    std::size_t inTime = 0;
    double utilization = 0; ///< Of prompt processing.
    double hitRatio = 0;

    double quantile(double p) const
    {
        if (ttft.empty())
            return 0;
        auto sorted = ttft;
        std::ranges::sort(sorted);
        return sorted[static_cast<std::size_t>(p * static_cast<double>(sorted.size() - 1))];
    }
    double goodput() const { return static_cast<double>(inTime) / toSeconds(Measured); }
};

/// Engines in virtual time, with the real routers of three entry processes.
class Simulation
{
public:
    explicit Simulation(Scenario scenario)
        : m_scenario(std::move(scenario))
        , m_random(m_scenario.seed)
        , m_engines(EngineCount)
        , m_entryHits(PrefixCount)
    {
        fillZipf();
        createRouters();
    }

    Figures run()
    {
        for (std::size_t i = 0; i < EngineCount; ++i)
            at(fromSeconds(m_random.uniform() * toSeconds(ReportInterval)),
               [this, i] { report(i); });
        at(0s, [this] { arrive(); });
        if (m_scenario.leaving > 0)
            at(WarmUp, [this] { leave(); });
        while (!m_events.empty() && m_events.top().at < TimePoint() + WarmUp + Measured + 5s) {
            Event event = std::move(const_cast<Event &>(m_events.top()));
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        Duration busy{0};
        for (const Engine &engine : m_engines)
            busy += engine.busy;
        const auto present = static_cast<double>(EngineCount - m_scenario.absent);
        m_figures.utilization = toSeconds(busy) / (present * toSeconds(Measured));
        m_figures.hitRatio = m_hitBlocks / std::max(1.0, m_blocks);
        return m_figures;
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

    void at(Duration delay, std::function<void()> action)
    {
        m_events.push({m_now + delay, m_eventCount++, std::move(action)});
    }

    void fillZipf()
    {
        double sum = 0;
        for (std::size_t i = 1; i <= PrefixCount; ++i) {
            sum += 1 / std::pow(static_cast<double>(i), ZipfExponent);
            m_cumulative.push_back(sum);
        }
    }

    std::size_t zoneOf(std::size_t engine) const { return engine % ZoneCount; }
    Duration delay(std::size_t entry, std::size_t engine) const
    {
        return entry == zoneOf(engine) ? Duration(0) : Duration(ZoneDelay);
    }
    /// Leaving and absent engines are taken from all zones alike.
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
            const ZoneCosts costs({ZoneDelay, 0}, {ZoneDelay, 0}, 0ms);
            m_routers.push_back(
                    Router::create(options, costs, Random(m_scenario.seed * 100 + i)).value());
            m_routers.back().updateEntries(entries);
            for (std::size_t k = m_scenario.absent; k < EngineCount; ++k)
                m_routers.back().updateBackend(describe(k), m_now);
        }
    }

    Backend describe(std::size_t i) const
    {
        Backend backend;
        backend.id = BackendId(engineName(i));
        backend.zone = ZoneId(std::to_string(zoneOf(i)));
        backend.region = RegionId(std::to_string(zoneOf(i)));
        backend.loaded = {Pin};
        backend.allowed = {Deployment};
        if (m_engines[i].leaving)
            backend.drain = ServingState::Leaving;
        return backend;
    }

    double exponential(double mean) { return -mean * std::log(1 - m_random.uniform()); }
    bool isMeasured(TimePoint time) const
    {
        return time >= TimePoint() + WarmUp && time < TimePoint() + WarmUp + Measured;
    }

    void arrive()
    {
        const double draw = m_random.uniform() * m_cumulative.back();
        Job job;
        job.prefix = static_cast<std::size_t>(std::ranges::lower_bound(m_cumulative, draw)
                                              - m_cumulative.begin());
        job.entry = m_random.below(ZoneCount);
        job.sent = m_now;
        job.output = fromSeconds(exponential(MeanOutputTokens) * toSeconds(TokenTime));
        job.request.deployment = Deployment;
        job.request.pin = Pin;
        job.request.tokensPerBlock = BlockTokens;
        job.request.promptTokens = (SharedBlocks + OwnBlocks) * BlockTokens;
        for (std::size_t i = 0; i < SharedBlocks; ++i)
            job.request.prefix.push_back(1 + job.prefix * SharedBlocks + i);
        for (std::size_t i = 0; i < OwnBlocks; ++i)
            job.request.prefix.push_back((1ULL << 40) + m_nextBlock++);
        m_figures.offered += isMeasured(m_now) ? 1 : 0;
        dispatch(std::move(job));
        at(fromSeconds(exponential(1 / m_scenario.requestsPerSecond)), [this] { arrive(); });
    }

    void dispatch(Job job)
    {
        RoutingRequest request = job.request;
        if (m_scenario.hot == HotPlacement::FixedServers)
            restrictHot(job, request);
        const auto outcome = capture([&] { return m_routers[job.entry].choose(request, m_now); });
        const auto *choice = std::get_if<Choice>(&outcome);
        const Duration waited = m_now - job.sent;
        if (!choice
            || (m_scenario.admission
                && toSeconds(waited + choice->predicted) > AdmissionMargin * toSeconds(Deadline))) {
            m_figures.refused += isMeasured(job.sent) ? 1 : 0;
            if (choice)
                m_routers[job.entry].finished(choice->backend, m_now);
            return;
        }
        const std::size_t i = std::stoul(choice->backend.value().substr(1));
        const Duration way = delay(job.entry, i);
        at(way, [this, i, job = std::make_shared<Job>(std::move(job))]() mutable {
            receive(i, std::move(job));
        });
    }

    /// Allows a hot prefix only on servers in proportion to its share, by rendezvous hashing.
    void restrictHot(const Job &job, RoutingRequest &request)
    {
        const double hits = ++m_entryHits[job.prefix];
        const double share = hits / ++m_totalHits;
        const double n = EngineCount;
        const double hottest = 1 / (n * std::log(n)); // rank n log n has about this share or less
        if (m_totalHits < 1000 || share < hottest / 2)
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
            at(delay(job->entry, i), [this, i, job] {
                m_routers[job->entry].finished(BackendId(engineName(i)), m_now);
                job->request.excluded.emplace_back(engineName(i));
                dispatch(std::move(*job));
            });
            return;
        }
        engine.waiting.push_back(std::move(job));
        process(i);
    }

    void process(std::size_t i)
    {
        Engine &engine = m_engines[i];
        if (engine.prefilling || engine.running >= Slots || engine.waiting.empty())
            return;
        const JobPointer job = std::move(engine.waiting.front());
        engine.waiting.pop_front();
        engine.prefilling = true;
        ++engine.running;
        const std::size_t cached = engine.cache.matching(job->request.prefix);
        const std::size_t rest = (job->request.prefix.size() - cached) * BlockTokens;
        const Duration time = fromSeconds(static_cast<double>(rest) / PrefillRate);
        if (isMeasured(m_now)) {
            engine.busy += time;
            m_blocks += static_cast<double>(job->request.prefix.size());
            m_hitBlocks += static_cast<double>(cached);
        }
        engine.meanHold += 0.05 * (toSeconds(time + job->output) - engine.meanHold);
        at(time, [this, i, job] { prefilled(i, *job); });
    }

    void prefilled(std::size_t i, const Job &job)
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
        const double ttft = toSeconds(m_now + delay(job.entry, i) - job.sent);
        if (isMeasured(job.sent)) {
            m_figures.ttft.push_back(ttft);
            const std::size_t inTime = ttft <= toSeconds(Deadline) ? 1 : 0;
            m_figures.inTime += inTime;
            const auto slice = (job.sent - TimePoint() - WarmUp) / (Measured / Figures::SliceCount);
            m_figures.inTimeBySlice[static_cast<std::size_t>(slice)] += inTime;
        }
        at(job.output, [this, i, entry = job.entry] {
            --m_engines[i].running;
            process(i);
            at(delay(entry, i),
               [this, i, entry] { m_routers[entry].finished(BackendId(engineName(i)), m_now); });
        });
        process(i);
    }

    void publish(std::size_t i, PrefixEvent &event)
    {
        event.sequence = ++m_engines[i].sequence;
        for (std::size_t entry = 0; entry < ZoneCount; ++entry) {
            if (m_random.chance(EventLoss))
                continue;
            // One stream per engine and entry: late, with gaps, but in order.
            TimePoint &arrival = m_engines[i].eventArrival[entry];
            const Duration lag = fromSeconds(m_random.uniform() * toSeconds(MaxEventLag));
            arrival = m_scenario.reorder ? m_now + lag : std::max(arrival, m_now + lag);
            at(arrival - m_now, [this, i, entry, event] {
                m_routers[entry].updateCache(BackendId(engineName(i)), event, m_now);
            });
        }
    }

    void report(std::size_t i)
    {
        const Engine &engine = m_engines[i];
        LoadReport load;
        load.backend = BackendId(engineName(i));
        load.takenAt = m_now;
        load.running = engine.running;
        load.waiting = static_cast<std::uint32_t>(engine.waiting.size());
        load.slots = Slots;
        load.prefillTokensPerSecond = PrefillRate;
        load.meanHoldTime = fromSeconds(engine.meanHold);
        for (const JobPointer &job : engine.waiting) {
            const std::size_t cached = engine.cache.matching(job->request.prefix);
            load.queuedTokens += (job->request.prefix.size() - cached) * BlockTokens;
        }
        at(ReportLag, [this, load] {
            for (Router &router : m_routers)
                router.updateLoad(load, m_now);
        });
        at(ReportInterval, [this, i] { report(i); });
    }

    void leave()
    {
        for (std::size_t i = 0; i < m_scenario.leaving; ++i) {
            m_engines[i].leaving = true;
            for (Router &router : m_routers) {
                at(fromSeconds(m_random.uniform() * toSeconds(LeaveNotice)),
                   [this, i, &router] { router.updateBackend(describe(i), m_now); });
            }
        }
    }

    Scenario m_scenario;
    Random m_random;
    TimePoint m_now;
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::uint64_t m_nextBlock = 0;
    std::vector<double> m_cumulative;
    std::vector<Router> m_routers;
    std::vector<Engine> m_engines;
    std::vector<double> m_entryHits;
    double m_totalHits = 0;
    double m_blocks = 0;
    double m_hitBlocks = 0;
    Figures m_figures;
};

} // namespace godwit::bench
