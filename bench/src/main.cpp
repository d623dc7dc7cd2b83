#include "burst.h"
#include "faults.h"
#include "soak.h"
#include "streams.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

DEFINE_string(programs, "build", "Build folder that contains the programs");
DEFINE_string(folder, "",
              "Folder for settings and logs; a new one in the temporary folder if empty");
DEFINE_uint64(entries, 0, "Entry processes of burst, faults and soak; 0 for the default of each");
DEFINE_uint64(hosts, 0, "Host processes of burst, faults and soak; 0 for the default of each");
DEFINE_uint64(callers, 0,
              "Concurrent callers of burst, faults and soak; 0 for the default of each");
DEFINE_string(rows, "", "faults: names of the rows to run, separated by commas; all if empty");
DEFINE_uint64(model_mib, 24, "Size of the model in MiB");
DEFINE_double(window_s, 8,
              "Seconds in which the origin link carries 4 copies of the model and a host link 2");
DEFINE_uint64(seed, 1, "Seed of the callers, and of the faults of soak");
DEFINE_uint64(rounds, 3, "Rounds of each measurement of streams");
DEFINE_double(seconds, 4, "Length of each measurement of streams, and of the faults of soak");
DEFINE_bool(throughput, true, "Measure streams at saturation");
DEFINE_bool(latency, true, "Measure the latency of streams at half of the load");
DEFINE_double(paced_tokens, 50'000, "Tokens per second at which latency is always measured");
DEFINE_bool(memory, true, "Measure the memory of open streams");
DEFINE_uint64(open_streams, 2000, "Largest number of open streams at which memory is measured");
DEFINE_uint64(booking_servers, 0,
              "soak: backend servers of the booking service; 0 for the default");
DEFINE_double(booking_share, 0.25, "soak: share of the bookings in the requests");
DEFINE_string(
        faults, "",
        "soak: only kinds of faults whose names contain one of these, separated by commas; all "
        "if empty");
DEFINE_bool(timed, false, "soak: also check the time that the fleet takes to recover");
DEFINE_uint64(standin_threads, 4, "Threads of the engine stand-ins of streams");

namespace {

std::string newFolder()
{
    std::string name = "/tmp/godwit-bench-XXXXXX";
    return mkdtemp(name.data()) ? name : std::string();
}

std::uint64_t valueOrDefault(std::uint64_t flag, std::uint64_t defaultValue)
{
    return flag == 0 ? defaultValue : flag;
}

void setSizes(godwit::FleetOptions &options, std::size_t entries, std::size_t hosts)
{
    options.entries = valueOrDefault(FLAGS_entries, entries);
    options.hosts = valueOrDefault(FLAGS_hosts, hosts);
    options.modelBytes = FLAGS_model_mib * 1024 * 1024;
    options.windowSeconds = FLAGS_window_s;
}

int burst(godwit::FleetOptions options)
{
    setSizes(options, 3, 24);
    return godwit::runBurst(std::move(options), valueOrDefault(FLAGS_callers, 24), FLAGS_seed);
}

int faults(godwit::FleetOptions options)
{
    setSizes(options, 2, 6);
    return godwit::runFaults(std::move(options), valueOrDefault(FLAGS_callers, 12), FLAGS_seed,
                             FLAGS_rows);
}

int streams(godwit::FleetOptions options)
{
    options.modelBytes = 1024UL * 1024;
    options.standinThreads = FLAGS_standin_threads;
    godwit::StreamsOptions streamsOptions;
    streamsOptions.fleet = std::move(options);
    streamsOptions.rounds = FLAGS_rounds;
    streamsOptions.seconds = FLAGS_seconds;
    streamsOptions.hasThroughput = FLAGS_throughput;
    streamsOptions.hasLatency = FLAGS_latency;
    streamsOptions.hasMemory = FLAGS_memory;
    streamsOptions.pacedTokens = FLAGS_paced_tokens;
    streamsOptions.openStreams = FLAGS_open_streams;
    return godwit::runStreams(streamsOptions);
}

int soak(godwit::FleetOptions options)
{
    godwit::SoakOptions soakOptions;
    soakOptions.programs = options.programs;
    soakOptions.folder = options.folder;
    soakOptions.entries = valueOrDefault(FLAGS_entries, soakOptions.entries);
    soakOptions.hosts = valueOrDefault(FLAGS_hosts, soakOptions.hosts);
    soakOptions.callers = valueOrDefault(FLAGS_callers, soakOptions.callers);
    soakOptions.bookingServers = valueOrDefault(FLAGS_booking_servers, soakOptions.bookingServers);
    soakOptions.bookingShare = FLAGS_booking_share;
    soakOptions.faults = FLAGS_faults;
    soakOptions.seconds = FLAGS_seconds;
    soakOptions.seed = FLAGS_seed;
    soakOptions.timed = FLAGS_timed;
    return godwit::runSoak(std::move(soakOptions));
}

struct Command
{
    const char *name;
    const char *explanation;
    int (*run)(godwit::FleetOptions options);
};

constexpr Command Commands[] = {
        {"burst", "loads and changes a model on all hosts under live requests and faults", burst},
        {"faults", "runs a table of faults under live requests and checks the ledgers", faults},
        {"soak", "runs the processes of a fleet under a seeded series of faults", soak},
        {"streams", "measures streamed completions through one entry process", streams},
};

std::string usage()
{
    std::string text = "runs experiments on a local fleet\n\n";
    for (const Command &command : Commands)
        text += std::string("  godwit-bench ") + command.name + " [flags]: " + command.explanation
                + '\n';
    return text;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(usage());
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string name = argc == 2 ? argv[1] : "";
    const auto *command = std::ranges::find(Commands, name, &Command::name);
    if (command == std::end(Commands)) {
        std::cerr << usage() << "see --help for the flags\n";
        return 2;
    }
    godwit::FleetOptions options;
    options.programs = FLAGS_programs;
    options.folder = FLAGS_folder.empty() ? newFolder() : FLAGS_folder;
    std::cerr << "settings and logs: " << options.folder << '\n';
    return command->run(std::move(options));
}
