#include "burst.h"

#include "verdict.h"

#include <csignal>
#include <iostream>
#include <thread>

namespace godwit {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::chrono::seconds LoadLimit{120};
constexpr std::chrono::seconds CommandLimit{60};
constexpr std::chrono::milliseconds PollInterval{200};

class Burst
{
public:
    Burst(FleetOptions options, std::size_t callers, std::uint64_t seed)
        : m_fleet(std::move(options))
        , m_callerCount(callers)
        , m_seed(seed)
    {}

    int run();

private:
    void logProgress(const std::string &text) const;
    bool sendUntilAccepted(const std::string &statement);
    std::size_t servingEngines(const std::string &version);
    bool waitForServingEngines(const std::string &version, std::size_t count);
    void killAndRestart();
    void stopAll();
    void stopOne(const std::string &name);
    void report(const Verdict &verdict) const;

    Fleet m_fleet;
    std::size_t m_callerCount;
    std::uint64_t m_seed;
    Clock::time_point m_start = Clock::now();
    double m_timeToReplicas = 0;
    double m_originCopies = 0;
    std::size_t m_replicas = 0;
    std::uint64_t m_bytesPerCopy = 1;
    bool m_cleanStop = true;
    std::string m_loadOrder;
};

void Burst::logProgress(const std::string &text) const
{
    const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
    std::fprintf(stderr, "%7.2f s  %s\n", seconds, text.c_str());
}

bool Burst::sendUntilAccepted(const std::string &statement)
{
    const auto limit = Clock::now() + CommandLimit;
    std::string reply;
    while (Clock::now() < limit) {
        reply = m_fleet.sendStatement(0, statement);
        if (reply.find("\"accepted\"") != std::string::npos) {
            logProgress(statement.substr(0, 60) + ": accepted");
            return true;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    logProgress(statement + ": " + reply);
    return false;
}

std::size_t Burst::servingEngines(const std::string &version)
{
    std::size_t count = 0;
    for (const auto &state : m_fleet.engineStates()) {
        for (const auto &pin : state.loaded)
            count += pin.version.value() == version ? 1 : 0;
    }
    return count;
}

bool Burst::waitForServingEngines(const std::string &version, std::size_t count)
{
    const auto limit = Clock::now() + LoadLimit;
    std::size_t last = count + 1;
    while (Clock::now() < limit) {
        const std::size_t now = servingEngines(version);
        if (now != last) {
            const double copies = static_cast<double>(m_fleet.originBytes())
                                  / static_cast<double>(m_bytesPerCopy);
            char line[160];
            std::snprintf(line, sizeof line, "%s: %zu of %zu replicas serve, %.2f origin copies",
                          version.c_str(), now, count, copies);
            logProgress(line);
            last = now;
        }
        if (now >= count)
            return true;
        std::this_thread::sleep_for(PollInterval);
    }
    return false;
}

void Burst::killAndRestart()
{
    const std::size_t hosts = m_fleet.options().hosts;
    const std::vector<std::size_t> killedHosts{0, hosts / 2, hosts - 1};
    for (const auto host : killedHosts) {
        m_fleet.processes().signal(Fleet::hostName(host), SIGKILL);
        logProgress("killed " + Fleet::hostName(host));
    }
    m_fleet.processes().signal(Fleet::entryName(2), SIGKILL);
    logProgress("killed " + Fleet::entryName(2));
    std::this_thread::sleep_for(std::chrono::seconds(3));
    for (const auto host : killedHosts)
        m_fleet.startHost(host);
    m_fleet.startEntry(2);
    logProgress("restarted the killed processes");
}

void Burst::stopAll()
{
    for (std::size_t i = 0; i < m_fleet.options().entries; ++i)
        stopOne(Fleet::entryName(i));
    for (std::size_t i = 0; i < m_fleet.options().hosts; ++i)
        m_fleet.processes().signal(Fleet::hostName(i), SIGTERM);
    for (std::size_t i = 0; i < m_fleet.options().hosts; ++i)
        stopOne(Fleet::hostName(i));
}

void Burst::stopOne(const std::string &name)
{
    if (m_fleet.processes().stop(name, std::chrono::seconds(30)))
        return;
    m_cleanStop = false;
    logProgress(name + " did not stop with exit code 0, status "
                + std::to_string(m_fleet.processes().status(name)));
}

void Burst::report(const Verdict &verdict) const
{
    const FleetOptions &options = m_fleet.options();
    // A host link carries two copies of the model per window, the origin link four.
    const double lowerBound = options.windowSeconds / 2;
    const boost::json::object line{{"replicas", m_replicas},
                                   {"time_to_replicas_s", m_timeToReplicas},
                                   {"lower_bound_s", lowerBound},
                                   {"origin_copies", m_originCopies},
                                   {"requests", verdict.requests},
                                   {"answered", verdict.answered},
                                   {"not_run", verdict.notRun},
                                   {"unknown", verdict.unknown},
                                   {"ran", verdict.ran},
                                   {"lost", verdict.lost},
                                   {"doubled", verdict.duplicated},
                                   {"mixed_versions", verdict.mixed},
                                   {"false_not_run", verdict.falseNotRun},
                                   {"clean_stop", m_cleanStop}};
    std::cout << boost::json::serialize(line) << std::endl;
}

int Burst::run()
{
    const std::size_t hosts = m_fleet.options().hosts;
    m_bytesPerCopy = m_fleet.options().modelBytes;
    const auto started = capture([&]() -> Result<int> {
        BOOST_LEAF_CHECK(m_fleet.start({"v1", "v2"}));
        return 0;
    });
    if (!succeeded(started)) {
        logProgress(toString(std::get<1>(started)));
        return 2;
    }
    logProgress("started " + std::to_string(hosts) + " host processes");
    const bool created =
            sendUntilAccepted("create deployment assistant checks_fencing yes")
            && sendUntilAccepted("create model grain in deployment assistant")
            && sendUntilAccepted(m_fleet.createVersionStatement("v1"))
            && sendUntilAccepted(m_fleet.createVersionStatement("v2"))
            && sendUntilAccepted(
                    "create deployment booking kind service idempotent no hosts listed")
            && sendUntilAccepted("allow hosts " + Fleet::hostName(0) + ", " + Fleet::hostName(1)
                                 + ", " + Fleet::hostName(2) + " in deployment booking");
    // A placement considers only live members, so wait until the membership lists all hosts.
    std::this_thread::sleep_for(std::chrono::seconds(5));
    std::vector<HttpEndpoint> entries;
    for (std::size_t i = 0; i < m_fleet.options().entries; ++i)
        entries.push_back(m_fleet.entry(i));
    if (!created)
        return 2;
    Callers callers(entries, m_callerCount, m_seed);
    const auto loadStart = Clock::now();
    const std::uint64_t bytesBefore = m_fleet.originBytes();
    bool ok = sendUntilAccepted("load grain version v1 on " + std::to_string(hosts)
                                + " replicas in deployment assistant");
    m_loadOrder = m_fleet.lastOperationId();
    ok = ok && waitForServingEngines("v1", hosts);
    m_timeToReplicas = std::chrono::duration<double>(Clock::now() - loadStart).count();
    m_replicas = servingEngines("v1");
    m_originCopies = static_cast<double>(m_fleet.originBytes() - bytesBefore)
                     / static_cast<double>(m_bytesPerCopy);
    std::this_thread::sleep_for(std::chrono::seconds(2));
    ok = ok
         && sendUntilAccepted("change version of order " + m_loadOrder
                              + " to v2 rolling step 8 error limit 4");
    killAndRestart();
    ok = ok && waitForServingEngines("v2", hosts);
    ok = ok && sendUntilAccepted("drain host " + Fleet::hostName(5));
    std::this_thread::sleep_for(std::chrono::seconds(4));
    logProgress("stopping callers after " + std::to_string(callers.sent()) + " requests");
    const auto records = callers.stop();
    const Verdict verdict = evaluateRequests(records, m_fleet, "");
    for (const auto &[reason, count] : verdict.reasons)
        logProgress(std::to_string(count) + " x " + reason);
    stopAll();
    report(verdict);
    return ok && verdict.isClean() && m_cleanStop ? 0 : 1;
}

} // namespace

int runBurst(FleetOptions options, std::size_t callers, std::uint64_t seed)
{
    return Burst(std::move(options), callers, seed).run();
}

} // namespace godwit
