#include <godwit/standin/standinset.h>

#include <boost/asio/signal_set.hpp>

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(scenario, "", "Scenario file in TOML or JSON");
DEFINE_string(ports_file, "",
              "File to which the name and address of each stand-in are written as a JSON object; "
              "standard output if empty");
DEFINE_uint32(threads, 1, "Number of threads that run the stand-ins");
DEFINE_bool(list_faults, false, "Print the supported faults and exit");

namespace {

using namespace godwit;
using namespace godwit::standin;

void printFaults()
{
    for (const FaultInfo &info : knownFaults())
        std::cout << info.name << " (" << info.standins << "): " << info.explanation << '\n';
}

/// Writes a temporary file and renames it, so that readers never see a partial file.
bool writePorts(const std::map<std::string, HttpEndpoint> &endpoints)
{
    std::map<std::string, std::string> addresses;
    for (const auto &[name, endpoint] : endpoints)
        addresses.emplace(name, toString(endpoint));
    const std::string text = toJsonText(addresses) + '\n';
    if (FLAGS_ports_file.empty())
        return static_cast<bool>(std::cout << text << std::flush);
    const std::string partial = FLAGS_ports_file + ".partial";
    std::ofstream out(partial);
    out << text;
    out.close();
    return !out.fail() && std::rename(partial.c_str(), FLAGS_ports_file.c_str()) == 0;
}

Result<std::unique_ptr<StandinSet>> startScenario()
{
    std::ifstream file(FLAGS_scenario);
    if (!file)
        return fail(ResultCode::SettingsUnreadable, FLAGS_scenario + ": cannot be opened");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_LEAF_AUTO(scenario, parseScenario(text.str()));
    return StandinSet::start(scenario, FLAGS_threads);
}

void waitForSignal()
{
    boost::asio::io_context io;
    boost::asio::signal_set signals(io, SIGINT, SIGTERM);
    signals.async_wait([](const boost::system::error_code &, int) {});
    io.run();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Runs simulated platform services for tests and benchmarks.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_list_faults) {
        printFaults();
        return 0;
    }
    const auto outcome = capture(startScenario);
    if (const auto *error = std::get_if<Error>(&outcome)) {
        std::cerr << "godwit-standins: " << toString(*error) << '\n';
        return 1;
    }
    if (!writePorts(std::get<0>(outcome)->endpoints())) {
        std::cerr << "godwit-standins: cannot write the listening addresses\n";
        return 1;
    }
    waitForSignal();
    return 0;
}
