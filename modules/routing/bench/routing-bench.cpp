// Compares server selection strategies on simulated engines in virtual time. All results except the
// time per selection depend only on the seeds. See docs/bench-routing.md.
// Usage: routing-bench [steady|leave|overload|choice]...   (default: all)

#include "enginesimulation.h"

#include <cstdio>
#include <cstdlib>

using namespace godwit;
using namespace godwit::bench;
using namespace std::chrono_literals;

namespace {

constexpr int SeedCount = 3;

/// Runs the scenario with each seed and combines the results.
SimulationResult runSeeds(Scenario scenario)
{
    SimulationResult all;
    for (int seed = 1; seed <= SeedCount; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const SimulationResult one = Simulation(scenario).run();
        all.ttft.insert(all.ttft.end(), one.ttft.begin(), one.ttft.end());
        all.offered += one.offered;
        all.refused += one.refused;
        all.withinDeadline += one.withinDeadline;
        for (std::size_t i = 0; i < SimulationResult::SliceCount; ++i)
            all.withinDeadlineBySlice[i] += one.withinDeadlineBySlice[i];
        all.utilization += one.utilization / SeedCount;
        all.hitRatio += one.hitRatio / SeedCount;
    }
    return all;
}

/// Finds the request rate at which prompt processing is 80% utilized with power_of_two.
double findRate()
{
    double rate = 200;
    for (int round = 0; round < 6; ++round) {
        Scenario scenario;
        scenario.strategy = "power_of_two";
        scenario.requestsPerSecond = rate;
        rate *= 0.8 / Simulation(scenario).run().utilization;
    }
    return rate;
}

void print(const char *name, const SimulationResult &it, const SimulationResult &base)
{
    std::printf("%-22s %8.0f %8.0f %7.2f %9.1f %9.1f %8.2f %8.2f\n", name, 1000 * it.quantile(0.5),
                1000 * it.quantile(0.95), it.quantile(0.95) / base.quantile(0.95),
                it.goodput() / SeedCount,
                static_cast<double>(it.refused) / SeedCount / toSeconds(MeasuredTime),
                it.utilization, it.hitRatio);
}

void printHeader(const char *title)
{
    std::printf("\n%s\n%-22s %8s %8s %7s %9s %9s %8s %8s\n", title, "strategy", "p50 ms", "p95 ms",
                "ratio", "goodput/s", "refused/s", "busy", "reuse");
}

void compareSteady(double rate)
{
    printHeader("steady, 48 engines");
    Scenario scenario;
    scenario.requestsPerSecond = rate;
    scenario.strategy = "power_of_two";
    const SimulationResult base = runSeeds(scenario);
    for (const std::string_view name : strategyNames()) {
        scenario.strategy = name;
        print(scenario.strategy.c_str(), runSeeds(scenario), base);
    }
    scenario.strategy = "predicted_ttft";
    scenario.hot = HotPrefixPlacement::FixedServers;
    print("predicted_ttft + hot", runSeeds(scenario), base);
    scenario.hot = HotPrefixPlacement::None;
    scenario.reorder = true;
    print("predicted_ttft reordered", runSeeds(scenario), base);
}

void compareLeaving(double rate)
{
    std::printf("\n--- %.1f requests/s\n", rate);
    Scenario scenario;
    scenario.requestsPerSecond = rate;
    scenario.admission = true;
    printHeader("32 engines from the start, same load (capacity of the remaining engines)");
    scenario.absent = EngineCount / 3;
    scenario.strategy = "power_of_two";
    const SimulationResult steadyBase = runSeeds(scenario);
    double best = 0;
    for (const std::string_view name : strategyNames()) {
        scenario.strategy = name;
        const SimulationResult it = runSeeds(scenario);
        best = std::max(best, it.goodput());
        print(scenario.strategy.c_str(), it, steadyBase);
    }
    printHeader("16 of 48 engines leave at once");
    scenario.absent = 0;
    scenario.leaving = EngineCount / 3;
    scenario.strategy = "power_of_two";
    const SimulationResult base = runSeeds(scenario);
    for (const std::string_view name : strategyNames()) {
        scenario.strategy = name;
        const SimulationResult it = runSeeds(scenario);
        print(scenario.strategy.c_str(), it, base);
        std::printf("%-22s goodput / best with the remaining engines: %.3f; per 10 s:", "",
                    it.goodput() / best);
        for (const std::size_t n : it.withinDeadlineBySlice)
            std::printf(" %.0f", static_cast<double>(n) * SimulationResult::SliceCount / SeedCount
                                         / toSeconds(MeasuredTime));
        std::printf("\n");
    }
}

/// Creates the router of one entry among so many that its subset has about the default size.
Router makeLargeRouter(std::size_t servers)
{
    RouterOptions options;
    options.self = HostId("e0");
    options.location = {ZoneId("0"), RegionId("0")};
    Router router = Router::create(options, ZoneCosts(), Random(1)).value();
    std::vector<HostId> entries;
    for (std::size_t i = 0; i <= servers / Subset::DefaultSize; ++i)
        entries.emplace_back("e" + std::to_string(i));
    router.updateEntries(entries);
    for (std::size_t i = 0; i < servers; ++i) {
        Backend backend;
        backend.id = BackendId(engineName(i));
        backend.zone = ZoneId(std::to_string(i % ZoneCount));
        backend.region = RegionId(std::to_string(i % ZoneCount));
        backend.loaded = {Pin};
        backend.allowedDeployments = {Deployment};
        router.updateBackend(backend, TimePoint());
    }
    return router;
}

void measureChoiceTime()
{
    std::printf("\ntime per choice, prompts of 36 blocks\n%8s %8s %12s\n", "servers", "subset",
                "us/choice");
    for (const std::size_t servers : {std::size_t{37}, std::size_t{370}, std::size_t{3700}}) {
        Router router = makeLargeRouter(servers);
        RoutingRequest request;
        request.deployment = Deployment;
        request.pin = Pin;
        request.promptTokens = 36 * BlockTokens;
        Random random(1);
        constexpr int choices = 200'000;
        const auto start = std::chrono::steady_clock::now();
        for (int i = 0; i < choices; ++i) {
            request.prefix.clear();
            const std::uint64_t first = random.below(200) * 64;
            for (std::uint64_t k = 0; k < 36; ++k)
                request.prefix.push_back(first + k);
            const TimePoint now = TimePoint() + i * 50us;
            router.recordFinished(router.choose(request, now).value().backend, now);
        }
        const std::chrono::duration<double, std::micro> spent =
                std::chrono::steady_clock::now() - start;
        std::printf("%8zu %8zu %12.2f\n", servers, router.subscriptions().size(),
                    spent.count() / choices);
    }
}

/// Computes the load reports that an entry receives if all engines belong to one deployment.
void measureReports()
{
    const std::string sample =
            R"({"backend":"host-0123.rack-07/engine-3","age_us":12345,"running":16,"waiting":3,)"
            R"("slots":16,"queued_tokens":12345,"prefill_rate":8000.5,"mean_hold_us":1200000})";
    std::printf(
            "\nload reports per entry, every %.1f s, %zu bytes of JSON each\n%8s %8s %10s %10s\n",
            toSeconds(ReportInterval), sample.size(), "servers", "subset", "reports/s", "KB/s");
    for (const std::size_t servers : {std::size_t{37}, std::size_t{370}, std::size_t{3700}}) {
        const double subset = static_cast<double>(makeLargeRouter(servers).subscriptions().size());
        const double perSecond = subset / toSeconds(ReportInterval);
        std::printf("%8zu %8.0f %10.0f %10.1f\n", servers, subset, perSecond,
                    perSecond * static_cast<double>(sample.size()) / 1000);
    }
}

} // namespace

int main(int argc, char **argv)
{
    const std::vector<std::string> sections(argv + 1, argv + argc);
    const auto wanted = [&](const char *section) {
        return sections.empty() || std::ranges::find(sections, section) != sections.end();
    };
    if (wanted("steady") || wanted("leave")) {
        const double rate = findRate();
        std::printf(
                "load: %.1f requests/s, at which power_of_two is 80%% utilized; %d seeds; deadline "
                "%.1f s\n",
                rate, SeedCount, toSeconds(Deadline));
        if (wanted("steady"))
            compareSteady(rate);
        if (wanted("leave"))
            compareLeaving(rate);
    }
    // The load from findRate() stays below the slot capacity of the engines that remain after
    // others leave. This load exceeds it.
    if (wanted("overload"))
        compareLeaving(0.8 * EngineCount * SlotsPerEngine
                       / (MeanOutputTokens * toSeconds(TokenTime)));
    if (wanted("choice")) {
        measureChoiceTime();
        measureReports();
    }
    return EXIT_SUCCESS;
}
