#include "faultruns.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace godwit;
using namespace godwit::bench;

namespace {

constexpr unsigned Threads = 4;

struct Totals
{
    std::uint64_t runs = 0;
    std::uint64_t failedRuns = 0;
    std::uint64_t reverts = 0;
    std::uint64_t torn = 0;
    std::uint64_t authors = 0;
    std::uint64_t late = 0;
    std::uint64_t accepted = 0;
    std::uint64_t refused = 0;
    std::uint64_t undecided = 0;
    std::uint64_t orders = 0;
    std::uint64_t repairs = 0;
};

void print(const char *kind, std::uint64_t seed, const std::vector<std::string> &findings)
{
    for (const std::string &finding : findings)
        std::printf("seed %llu: %s: %s\n", static_cast<unsigned long long>(seed), kind,
                    finding.c_str());
}

void add(Totals &totals, std::uint64_t seed, const FaultReport &report)
{
    ++totals.runs;
    totals.failedRuns += report.failed() ? 1 : 0;
    totals.reverts += report.reverts.size();
    totals.torn += report.torn.size();
    totals.authors += report.authors.size();
    totals.late += report.late.size();
    totals.accepted += report.accepted;
    totals.refused += report.refused;
    totals.undecided += report.undecided;
    totals.orders += report.orders;
    totals.repairs += report.repairs;
    if (totals.failedRuns > 20)
        return; // The first failures are enough to reproduce a problem.
    print("revert", seed, report.reverts);
    print("torn", seed, report.torn);
    print("two authors", seed, report.authors);
    print("late", seed, report.late);
}

template <typename Run>
Totals runAll(std::uint64_t first, std::uint64_t count)
{
    Totals totals;
    std::mutex mutex;
    std::atomic<std::uint64_t> next = first;
    std::vector<std::thread> threads;
    for (unsigned i = 0; i < Threads; ++i) {
        threads.emplace_back([&] {
            for (std::uint64_t seed = next++; seed < first + count; seed = next++) {
                const FaultReport report = Run(seed).run();
                const std::lock_guard lock(mutex);
                add(totals, seed, report);
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    return totals;
}

void printTotals(const char *name, const Totals &t)
{
    const auto n = [](std::uint64_t value) { return static_cast<unsigned long long>(value); };
    std::printf("| %s | %llu | %llu | %llu | %llu | %llu | %llu | %llu | %llu | %llu | %llu |\n",
                name, n(t.runs), n(t.reverts), n(t.torn), n(t.authors), n(t.late), n(t.accepted),
                n(t.refused), n(t.undecided), n(t.repairs), n(t.orders));
}

} // namespace

/// Usage: control-faultruns [configuration|authors|all] [COUNT] [FIRST_SEED]
int main(int argc, char **argv)
{
    const std::string kind = argc > 1 ? argv[1] : "all";
    const std::uint64_t count = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 10000;
    const std::uint64_t first = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 1;
    std::uint64_t failed = 0;
    std::printf("| kind | runs | reverts | torn | two authors | late | accepted | refused | "
                "undecided | repairs | engine orders "
                "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
    if (kind != "authors") {
        const Totals totals = runAll<ConfigurationFaultRun>(first, count);
        printTotals("configuration", totals);
        failed += totals.failedRuns;
    }
    if (kind != "configuration") {
        const Totals totals = runAll<AuthorFaultRun>(first, count);
        printTotals("authors", totals);
        failed += totals.failedRuns;
    }
    return failed == 0 ? 0 : 1;
}
