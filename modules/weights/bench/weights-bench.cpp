// Measures weight bursts in virtual time: the planners of all hosts over a simple link model, and
// fixed distribution trees for comparison. Prints Markdown tables.
//
// Usage: weights-bench [--seeds K] [--live] [N]...
// The swarm is run for N hosts with the seeds 1 to K (default 3); the table shows the worst value
// of each column. --live prints only the table of live messages.
#include "liverun.h"
#include "pullrun.h"
#include "swarmrun.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <thread>

using namespace godwit;
using namespace godwit::bench;

namespace {

struct Row
{
    std::string plan;
    Scenario scenario;
    std::vector<RunResult> results; ///< One per seed.
};

Layout makeLayout(int hosts, bool threeRegions)
{
    Layout layout;
    layout.hosts = hosts;
    layout.regions = threeRegions ? 3 : 1;
    layout.hostRate = 125e6 / Scale;
    // The origin link carries 4 copies in the time in which a host link carries 2.
    layout.originRate = 2 * layout.hostRate;
    layout.regionRate = 2.5e6 / Scale;
    return layout;
}

RunResult runPlan(const std::string &plan, const Scenario &scenario)
{
    if (plan == "swarm")
        return SwarmRun(scenario).run();
    return PullRun(scenario, plan == "chain" ? 1 : plan == "tree" ? 2 : 0).run();
}

std::vector<Row> makeRows(const std::vector<int> &sizes, std::size_t seeds)
{
    std::vector<Row> rows;
    for (const bool threeRegions : {false, true}) {
        for (const bool faults : {false, true}) {
            for (const int hosts : sizes) {
                Scenario scenario{makeLayout(hosts, threeRegions), TransferPolicy::TimeFirst,
                                  faults};
                rows.push_back({"swarm", scenario, std::vector<RunResult>(seeds)});
                scenario.policy = TransferPolicy::BytesFirst;
                rows.push_back({"swarm", scenario, std::vector<RunResult>(seeds)});
                for (const char *plan : {"tree", "chain", "origin"})
                    rows.push_back({plan, scenario, std::vector<RunResult>(1)});
            }
        }
    }
    return rows;
}

const char *policyName(const Row &row)
{
    if (row.plan != "swarm")
        return "-";
    return row.scenario.policy == TransferPolicy::TimeFirst ? "time_first" : "bytes_first";
}

/// Maximum of a member over all seeds.
double worst(const Row &row, double RunResult::*member)
{
    double most = 0;
    for (const RunResult &result : row.results)
        most = std::max(most, result.*member);
    return most;
}

void print(const Row &row)
{
    const Layout &layout = row.scenario.layout;
    const double bound = lowerBound(row.scenario);
    const double seconds = worst(row, &RunResult::seconds);
    const bool complete =
            std::ranges::all_of(row.results, [](const RunResult &r) { return r.seconds >= 0; });
    std::printf("| %s | %s | %d | %s | %s | %.1f | %.1f | %.2f%s | %.3f | %.2f | %.0f |\n",
                layout.regions == 1 ? "one" : "three", row.scenario.faults ? "yes" : "no",
                layout.hosts, row.plan.c_str(), policyName(row), bound, seconds, seconds / bound,
                complete ? "" : " (unfinished)", worst(row, &RunResult::originCopies),
                worst(row, &RunResult::regionCopies),
                worst(row, &RunResult::messagesPerHostSecond));
}

/// Runs all rows and seeds on four threads.
void runAll(std::vector<Row> &rows)
{
    std::vector<std::pair<std::size_t, std::size_t>> jobs;
    for (std::size_t row = rows.size(); row-- > 0;) { // longest runs first
        for (std::size_t seed = 0; seed < rows[row].results.size(); ++seed)
            jobs.emplace_back(row, seed);
    }
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < jobs.size(); i = next++) {
            Row &row = rows[jobs[i].first];
            Scenario scenario = row.scenario;
            scenario.seed = jobs[i].second + 1;
            row.results[jobs[i].second] = runPlan(row.plan, scenario);
        }
    };
    const std::array<std::jthread, 4> threads{std::jthread(work), std::jthread(work),
                                              std::jthread(work), std::jthread(work)};
}

void printLive(const char *link, LiveScenario scenario)
{
    const double baseline = LiveRun(scenario).run().p99;
    scenario.burst = true;
    for (const bool paced : {true, false}) {
        scenario.paced = paced;
        const LiveResult result = LiveRun(scenario).run();
        std::printf("| %s | %d | %.0f%% | %s | %.2f | %.2f | %.2f | %.0f%% | %s |\n", link,
                    scenario.hosts, 100 * scenario.liveLoad, paced ? "yes" : "no", 1e3 * baseline,
                    1e3 * result.p99, result.p99 / baseline, 100 * result.weightsShare,
                    paced ? std::to_string(result.ratio).substr(0, 4).c_str() : "-");
    }
}

void printLiveTable()
{
    using namespace std::chrono_literals;
    std::puts("\n| link | senders | live load | paced | p99 quiet ms | p99 burst ms | ratio "
              "| weights' share of link | bytes of weight 3 : weight 1 |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const double load : {0.1, 0.3, 0.5}) {
        printLive("host, 1 Gbit/s", {125e6, load, 16384, 300us, 1, 31250});
        printLive("between regions, 20 Mbit/s", {2.5e6, load, 2048, 7ms, 4, 1500});
    }
}

} // namespace

int main(int argc, char **argv)
{
    std::size_t seeds = 3;
    std::vector<int> sizes;
    for (int i = 1; i < argc; ++i) {
        if (std::string_view(argv[i]) == "--seeds" && i + 1 < argc)
            seeds = static_cast<std::size_t>(std::max(1, std::atoi(argv[++i])));
        else if (std::string_view(argv[i]) == "--live")
            return printLiveTable(), 0;
        else
            sizes.push_back(std::max(3, std::atoi(argv[i])));
    }
    if (sizes.empty())
        sizes = {16, 32, 64, 128};
    std::vector<Row> rows = makeRows(sizes, seeds);
    runAll(rows);
    std::puts("| regions | faults | N | plan | policy | bound s | time s | ratio | origin copies "
              "| copies per region link | messages/host/s |\n"
              "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (const Row &row : rows)
        print(row);
    printLiveTable();
    return 0;
}
