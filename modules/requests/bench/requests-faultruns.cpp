#include "../tests/faultrun.h"

#include <atomic>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

using namespace godwit::test;

namespace {

struct Options
{
    std::uint64_t runs = 10'000;
    std::uint64_t seed = 1;
    unsigned jobs = 4;
};

template <typename T>
bool readFlag(std::string_view argument, std::string_view name, T &value)
{
    if (!argument.starts_with(name))
        return false;
    argument.remove_prefix(name.size());
    const auto end = argument.data() + argument.size();
    return std::from_chars(argument.data(), end, value).ptr == end;
}

bool parse(int argc, char **argv, Options &options)
{
    for (int i = 1; i < argc; ++i) {
        if (!readFlag(argv[i], "--runs=", options.runs)
            && !readFlag(argv[i], "--seed=", options.seed)
            && !readFlag(argv[i], "--jobs=", options.jobs))
            return false;
    }
    return options.jobs > 0;
}

void print(const FaultRunResult &total)
{
    const auto row = [](const char *name, std::uint64_t value) {
        std::printf("| %-34s | %9llu |\n", name, static_cast<unsigned long long>(value));
    };
    row("run twice", total.executedTwice);
    row("mixed versions", total.mixedResponses);
    row("response to the wrong caller", total.misroutedResponses);
    row("falsely not_run", total.falseNotRun);
    row("lost", total.unansweredCalls);
    row("calls", total.calls);
    row("complete responses", total.completeResponses);
    row("not_run", total.notRun);
    row("ran, response gone", total.ranWithoutResponse);
    row("unknown", total.unknown);
    row("executions by backend servers", total.executions);
    row("faults beside loss and delay", total.faults);
    row("writes of the slot document", total.documentWrites);
    row("runs during a key-value outage", total.outageExecutions);
}

} // namespace

/// Executes --runs fault runs with consecutive seeds starting at --seed and prints the seeds that
/// fail.
int main(int argc, char **argv)
{
    Options options;
    if (!parse(argc, argv, options)) {
        std::fprintf(stderr, "usage: requests-faultruns [--runs=N] [--seed=N] [--jobs=N]\n");
        return 2;
    }
    std::atomic<std::uint64_t> next = 0;
    std::uint64_t failed = 0;
    FaultRunResult total;
    std::mutex mutex;
    std::vector<std::jthread> threads;
    for (unsigned job = 0; job < options.jobs; ++job) {
        threads.emplace_back([&] {
            for (std::uint64_t i = next++; i < options.runs; i = next++) {
                const std::uint64_t seed = options.seed + i;
                const FaultRunResult result = runFaults(seed);
                const std::scoped_lock lock(mutex);
                total += result;
                if (!result.isClean() && ++failed <= 20)
                    std::printf("seed %llu failed: %s\n", static_cast<unsigned long long>(seed),
                                result.firstViolation.c_str());
            }
        });
    }
    threads.clear();
    std::printf("runs %llu, failed %llu\n", static_cast<unsigned long long>(options.runs),
                static_cast<unsigned long long>(failed));
    print(total);
    return failed == 0 ? 0 : 1;
}
