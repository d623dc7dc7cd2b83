#include "streams.h"

#include "benchstatistics.h"
#include "processusage.h"
#include "streamcallers.h"

#include <boost/json.hpp>

#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <thread>

namespace godwit {

namespace {

using Clock = std::chrono::steady_clock;
using Values = std::map<std::string, double>;

constexpr std::chrono::seconds CommandLimit{60};
constexpr std::chrono::seconds OpenLimit{60};
constexpr std::chrono::milliseconds PollInterval{100};
/// Time for the membership to list all processes, since a placement considers only live members.
constexpr std::chrono::seconds MembershipTime{5};
/// Time for the load order and the state of the engines to reach the entry process.
constexpr std::chrono::seconds PropagationTime{3};
/// Time without measurement at the start of a load, while its streams open.
constexpr std::chrono::milliseconds WarmUp{2000};
constexpr std::chrono::seconds SettleTime{3};

/// Tokens per second of a stream at saturation. It is far above the capacity, so that the flow
/// control of each hop determines the rate.
constexpr double SaturatingRate = 20'000;
constexpr std::uint64_t SaturatingTokens = 5'000;
/// At this rate the prefill of a prompt takes 20 ms. The concurrency limiter of the entry process
/// compares times to first token with the best one. With much shorter times it would react to
/// scheduling noise of the machine.
constexpr double PrefillRate = 5'000;
constexpr double SlowRate = 1;
constexpr std::uint64_t SlowTokens = 100'000;
constexpr double PacedResponseSeconds = 1;
/// Initial limit of concurrent streams per engine of an entry process (ConcurrencyLimiter).
constexpr std::size_t StreamsPerEngine = 8;

/// Divisors of StreamsOptions::openStreams that give the stream counts at which memory is read.
constexpr std::size_t MemorySteps[] = {10, 2, 1};

constexpr double TokensTarget = 100'000;
constexpr double AddedLatencyTarget = 2'000; ///< Microseconds.
constexpr double MemoryTarget = 16'384;      ///< Bytes.

Clock::time_point startOfRun()
{
    static const Clock::time_point start = Clock::now();
    return start;
}

void logProgress(const std::string &text)
{
    const double seconds = std::chrono::duration<double>(Clock::now() - startOfRun()).count();
    std::fprintf(stderr, "%7.2f s  %s\n", seconds, text.c_str());
}

bool sendUntilAccepted(Fleet &fleet, const std::string &statement)
{
    const auto limit = Clock::now() + CommandLimit;
    std::string reply;
    while (Clock::now() < limit) {
        reply = fleet.sendStatement(0, statement);
        if (reply.find("\"accepted\"") != std::string::npos)
            return true;
        std::this_thread::sleep_for(PollInterval);
    }
    logProgress(statement + ": " + reply);
    return false;
}

/// Starts a fleet with one entry process and the model loaded on its engines. Returns null on
/// failure.
std::unique_ptr<Fleet> startFleet(const StreamsOptions &options, const std::string &name,
                                  std::size_t enginesPerHost)
{
    FleetOptions fleetOptions = options.fleet;
    fleetOptions.folder += '/' + name;
    std::filesystem::create_directories(fleetOptions.folder);
    fleetOptions.entries = 1;
    fleetOptions.hosts = options.hosts;
    fleetOptions.bookingHosts = 0;
    fleetOptions.enginesPerHost = enginesPerHost;
    fleetOptions.engineSlots = 1'000;
    fleetOptions.tokensPerSecond = SaturatingRate;
    fleetOptions.prefillTokensPerSecond = PrefillRate;
    fleetOptions.loadedVersion = "v1";
    auto fleet = std::make_unique<Fleet>(fleetOptions);
    const auto started = capture([&]() -> Result<int> {
        BOOST_LEAF_CHECK(fleet->start({"v1"}));
        return 0;
    });
    if (!succeeded(started)) {
        logProgress(toString(std::get<1>(started)));
        return nullptr;
    }
    if (!sendUntilAccepted(*fleet, "create deployment assistant checks_fencing yes")
        || !sendUntilAccepted(*fleet, "create model grain in deployment assistant")
        || !sendUntilAccepted(*fleet, fleet->createVersionStatement("v1")))
        return nullptr;
    std::this_thread::sleep_for(MembershipTime);
    if (!sendUntilAccepted(*fleet, "load grain version v1 on " + std::to_string(options.hosts)
                                           + " replicas in deployment assistant"))
        return nullptr;
    std::this_thread::sleep_for(PropagationTime);
    logProgress("started " + std::to_string(options.hosts) + " host processes with "
                + std::to_string(enginesPerHost) + " engines each");
    return fleet;
}

class TrafficRun
{
public:
    TrafficRun(Fleet &fleet, const StreamsOptions &options)
        : m_fleet(fleet)
        , m_options(options)
    {}

    bool throughput(boost::json::object &report);

    /// Measures latency at StreamsOptions::pacedTokens and, if \a halfLoad is above 0, at that
    /// rate. \a halfLoad may exceed the capacity for small writes, so it is measured last.
    bool latency(double halfLoad, boost::json::object &report);

    double saturation() const { return m_saturation; }

private:
    struct Measurement
    {
        StreamSamples samples;
        double tokensPerSecond = 0;
        double cpuTokensPerSecond = 0; ///< Per CPU second of the busiest entry thread.
        std::map<std::string, ProcessorShare> parts;
    };
    using Path = std::vector<HttpEndpoint>;

    Path entryPath() const { return {m_fleet.entry(0)}; }
    Path directPath() const;
    std::map<std::string, pid_t> processes() const;
    Measurement measure(const Path &path, std::size_t streams, double rate, std::uint64_t tokens);
    boost::json::object measureSaturation();
    boost::json::object measurePacedLatency(double tokensPerSecond);

    Fleet &m_fleet;
    const StreamsOptions &m_options;
    double m_saturation = 0;
    bool m_isComplete = true;
};

TrafficRun::Path TrafficRun::directPath() const
{
    Path path;
    for (std::size_t i = 0; i < m_options.hosts * m_options.enginesPerHost; ++i)
        path.push_back(m_fleet.engine(i));
    return path;
}

std::map<std::string, pid_t> TrafficRun::processes() const
{
    std::map<std::string, pid_t> pids{{"callers", getpid()},
                                      {"standins", m_fleet.processes().pid("standins")},
                                      {"entry", m_fleet.processes().pid(Fleet::entryName(0))}};
    for (std::size_t i = 0; i < m_options.hosts; ++i)
        pids[Fleet::hostName(i)] = m_fleet.processes().pid(Fleet::hostName(i));
    return pids;
}

TrafficRun::Measurement TrafficRun::measure(const Path &path, std::size_t streams, double rate,
                                            std::uint64_t tokens)
{
    StreamLoad load;
    load.endpoints = path;
    load.threads = m_options.callerThreads;
    load.tokensPerSecond = rate;
    load.maxTokens = tokens;
    StreamCallers callers(load);
    callers.addStreams(streams);
    std::this_thread::sleep_for(WarmUp);
    std::map<std::string, ThreadTimes> before;
    for (const auto &[name, pid] : processes())
        before[name] = readThreadTimes(pid);
    const std::uint64_t tokensBefore = callers.tokens();
    const auto start = Clock::now();
    callers.setRecording(true);
    std::this_thread::sleep_for(std::chrono::duration<double>(m_options.seconds));
    callers.setRecording(false);
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const auto received = static_cast<double>(callers.tokens() - tokensBefore);
    Measurement result;
    result.tokensPerSecond = received / seconds;
    for (const auto &[name, pid] : processes())
        result.parts[name] = processorShareBetween(before[name], readThreadTimes(pid), seconds);
    if (const double busy = result.parts["entry"].busiest; busy > 0)
        result.cpuTokensPerSecond = result.tokensPerSecond / busy;
    if (callers.failures() > 0) {
        logProgress(std::to_string(callers.failures())
                    + " responses failed, the last: " + callers.lastFailure());
        m_isComplete = false;
    }
    result.samples = callers.stop();
    return result;
}

boost::json::object partsJson(const std::map<std::string, ProcessorShare> &parts)
{
    boost::json::object json;
    for (const auto &[name, share] : parts)
        json[name] = boost::json::object{{"busiest_thread", share.busiest},
                                         {"waiting", share.waiting},
                                         {"total", share.total}};
    return json;
}

boost::json::object TrafficRun::measureSaturation()
{
    std::vector<double> entry;
    std::vector<double> direct;
    std::vector<double> ratio;
    std::vector<double> perCpu;
    Measurement last;
    Measurement lastDirect;
    for (std::size_t i = 0; i < m_options.rounds; ++i) {
        lastDirect = measure(this->directPath(), m_options.saturatingStreams, SaturatingRate,
                             SaturatingTokens);
        last = measure(entryPath(), m_options.saturatingStreams, SaturatingRate, SaturatingTokens);
        direct.push_back(lastDirect.tokensPerSecond);
        entry.push_back(last.tokensPerSecond);
        ratio.push_back(last.tokensPerSecond / lastDirect.tokensPerSecond);
        perCpu.push_back(last.cpuTokensPerSecond);
        logProgress("saturation: " + std::to_string(entry.back()) + " tokens/s, direct "
                    + std::to_string(direct.back()) + ", entry thread busy "
                    + std::to_string(last.parts["entry"].busiest) + ", waiting "
                    + std::to_string(last.parts["entry"].waiting) + ", limit "
                    + findBottleneck(last.parts));
    }
    m_saturation = median(entry);
    return {{"streams", m_options.saturatingStreams},
            {"tokens_per_s", m_saturation},
            {"direct_tokens_per_s", median(direct)},
            {"ratio", median(ratio)},
            {"tokens_per_s_of_entry_thread", median(perCpu)},
            {"limit", findBottleneck(last.parts)},
            {"direct_limit", findBottleneck(lastDirect.parts)},
            {"processor", partsJson(last.parts)},
            {"direct_processor", partsJson(lastDirect.parts)},
            {"meets_target", m_saturation >= TokensTarget}};
}

Values latencies(const StreamSamples &samples)
{
    return {{"first_token_p50_us", quantile(samples.firstToken, 0.5)},
            {"first_token_p95_us", quantile(samples.firstToken, 0.95)},
            {"first_token_p99_us", quantile(samples.firstToken, 0.99)},
            {"token_p50_us", quantile(samples.transit, 0.5)},
            {"token_p99_us", quantile(samples.transit, 0.99)},
            {"gap_p95_us", quantile(samples.gap, 0.95)}};
}

boost::json::object medians(const std::vector<Values> &rounds)
{
    boost::json::object json;
    for (const auto &[name, value] : rounds.front()) {
        std::vector<double> values;
        values.reserve(rounds.size());
        for (const auto &round : rounds)
            values.push_back(round.at(name));
        json[name] = median(std::move(values));
    }
    return json;
}

boost::json::object TrafficRun::measurePacedLatency(double tokensPerSecond)
{
    const double rate = tokensPerSecond / static_cast<double>(m_options.pacedStreams);
    const auto tokens = static_cast<std::uint64_t>(std::max(1.0, rate * PacedResponseSeconds));
    std::vector<Values> direct;
    std::vector<Values> entry;
    std::vector<Values> added;
    std::vector<double> achieved;
    std::vector<double> perCpu;
    Measurement last;
    for (std::size_t i = 0; i < m_options.rounds; ++i) {
        direct.push_back(latencies(
                measure(this->directPath(), m_options.pacedStreams, rate, tokens).samples));
        last = measure(entryPath(), m_options.pacedStreams, rate, tokens);
        entry.push_back(latencies(last.samples));
        achieved.push_back(last.tokensPerSecond);
        perCpu.push_back(last.cpuTokensPerSecond);
        Values difference;
        for (const auto &[name, value] : entry.back())
            difference[name] = value - direct.back().at(name);
        added.push_back(difference);
        logProgress("paced: " + std::to_string(last.tokensPerSecond)
                    + " tokens/s, added p99 per token " + std::to_string(difference["token_p99_us"])
                    + " us, to the first token " + std::to_string(difference["first_token_p99_us"])
                    + " us");
    }
    const boost::json::object addedMedians = medians(added);
    const bool meets = addedMedians.at("token_p99_us").as_double() <= AddedLatencyTarget
                       && addedMedians.at("first_token_p99_us").as_double() <= AddedLatencyTarget;
    return {{"streams", m_options.pacedStreams},
            {"offered_tokens_per_s", tokensPerSecond},
            {"tokens_per_s", median(achieved)},
            {"tokens_per_s_of_entry_thread", median(perCpu)},
            {"direct", medians(direct)},
            {"entry", medians(entry)},
            {"added", addedMedians},
            {"processor", partsJson(last.parts)},
            {"meets_target", meets}};
}

bool TrafficRun::throughput(boost::json::object &report)
{
    report["saturation"] = measureSaturation();
    return m_isComplete;
}

bool TrafficRun::latency(double halfLoad, boost::json::object &report)
{
    report["half_target"] = measurePacedLatency(m_options.pacedTokens);
    if (halfLoad > 0)
        report["half_load"] = measurePacedLatency(halfLoad);
    return m_isComplete;
}

/// Opens slow streams in steps and reads the resident memory of the processes after each step.
bool measureMemory(Fleet &fleet, const StreamsOptions &options, boost::json::object &report)
{
    StreamLoad load;
    load.endpoints = {fleet.entry(0)};
    load.threads = options.callerThreads;
    load.tokensPerSecond = SlowRate;
    load.maxTokens = SlowTokens;
    StreamCallers callers(load);
    std::vector<std::pair<double, double>> entry;
    std::vector<std::pair<double, double>> hosts;
    boost::json::array steps;
    std::size_t streams = 0;
    for (const std::size_t divisor : MemorySteps) {
        const std::size_t wanted = options.openStreams / divisor;
        callers.addStreams(wanted - streams);
        streams = wanted;
        const auto limit = Clock::now() + OpenLimit;
        while (callers.openStreamCount() < streams && Clock::now() < limit)
            std::this_thread::sleep_for(PollInterval);
        if (callers.openStreamCount() < streams) {
            logProgress(std::to_string(callers.openStreamCount()) + " of " + std::to_string(streams)
                        + " streams opened; " + callers.lastFailure());
            return false;
        }
        std::this_thread::sleep_for(SettleTime);
        const auto entryBytes = residentBytes(fleet.processes().pid(Fleet::entryName(0)));
        std::uint64_t hostBytes = 0;
        for (std::size_t i = 0; i < options.hosts; ++i)
            hostBytes += residentBytes(fleet.processes().pid(Fleet::hostName(i)));
        entry.emplace_back(static_cast<double>(streams), static_cast<double>(entryBytes));
        hosts.emplace_back(static_cast<double>(streams), static_cast<double>(hostBytes));
        steps.push_back({{"streams", streams},
                         {"entry_bytes", entryBytes},
                         {"host_bytes_together", hostBytes}});
        logProgress(std::to_string(streams) + " open streams: entry "
                    + std::to_string(entryBytes / 1024) + " KB, hosts together "
                    + std::to_string(hostBytes / 1024) + " KB");
    }
    const bool isComplete = callers.failures() == 0;
    report["memory"] = boost::json::object{
            {"steps", steps},
            {"entry_bytes_per_stream", slope(entry)},
            {"host_bytes_per_stream", slope(hosts)},
            {"meets_target", slope(entry) <= MemoryTarget && slope(hosts) <= MemoryTarget}};
    return isComplete;
}

} // namespace

int runStreams(const StreamsOptions &options)
{
    startOfRun();
    boost::json::object report{{"load_average_before", loadAverage()}};
    bool isComplete = true;
    double saturation = 0;
    if (options.hasThroughput) {
        const auto fleet = startFleet(options, "throughput", options.enginesPerHost);
        if (fleet) {
            TrafficRun run(*fleet, options);
            isComplete = run.throughput(report);
            saturation = run.saturation();
        } else {
            isComplete = false;
        }
    }
    if (options.hasLatency) {
        // Uses a new fleet, since the concurrency limits of the entry process shrink at saturation
        // and recover only over some hundred responses.
        const auto fleet = startFleet(options, "latency", options.enginesPerHost);
        isComplete =
                fleet && TrafficRun(*fleet, options).latency(saturation / 2, report) && isComplete;
    }
    if (options.hasMemory) {
        // An entry process initially sends only a few concurrent requests to an engine, so many
        // open streams need many engines. Uses a new fleet, since streams would reuse memory that
        // earlier traffic left allocated.
        const std::size_t places = options.hosts * StreamsPerEngine;
        const std::size_t engines = (options.openStreams + places - 1) / places + 1;
        const auto fleet = startFleet(options, "memory", engines);
        isComplete = fleet && measureMemory(*fleet, options, report) && isComplete;
    }
    report["load_average_after"] = loadAverage();
    report["complete"] = isComplete;
    std::cout << boost::json::serialize(report) << std::endl;
    return isComplete ? 0 : 1;
}

} // namespace godwit
