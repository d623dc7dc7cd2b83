#include <godwit/apps/daemon.h>
#include <godwit/fleet/fleetprocess.h>
#include <godwit/observe/log.h>
#include <godwit/observe/nonblockinglogstream.h>
#include <godwit/platform/operatorplatform.h>
#include <godwit/settings/settingsparser.h>

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include <unistd.h>

DEFINE_string(settings, "", "TOML file with the settings of this process");
DEFINE_bool(fleet, false, "Run as a process of a fleet on the operators' platform");
DEFINE_bool(check, false, "Only check the settings; exit code 0 if they are valid, 2 if not");

namespace {

constexpr int ExitInvalidSettings = 2;

/// Reports the problems of \a parsed, or runs \a run with the settings.
template <typename Parsed, typename Run>
int runWith(const Parsed &parsed, Run run)
{
    if (const auto *problems = std::get_if<1>(&parsed)) {
        for (const auto &problem : *problems)
            std::cerr << godwit::toString(problem) << '\n';
        return ExitInvalidSettings;
    }
    if (FLAGS_check) {
        std::cout << FLAGS_settings << ": valid\n";
        return EXIT_SUCCESS;
    }
    return run(std::get<0>(parsed));
}

int runInFleet(const godwit::FleetSettings &settings)
{
    // Outlives all logging.
    static godwit::NonBlockingLogStream log(STDOUT_FILENO);
    godwit::setUpLogging(log);
    const godwit::platform::OperatorPlatform platform;
    return godwit::runFleetProcess(settings, FLAGS_settings, platform);
}

int runStandalone(const godwit::DaemonSettings &settings)
{
    godwit::setUpLogging();
    return godwit::runDaemon(settings);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("runs an entry or host process of godwitrun\n\n"
                            "  godwitd [--fleet] --settings FILE [--check]\n\n"
                            "Exit codes: 0 stopped, 2 invalid settings, 3 stopped with requests "
                            "left, 4 a port could not be opened.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_fleet)
        return runWith(godwit::loadFleetSettings(FLAGS_settings), runInFleet);
    return runWith(godwit::loadDaemonSettings(FLAGS_settings), runStandalone);
}
