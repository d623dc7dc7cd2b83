#include <godwit/fleet/fleetprocess.h>

#include "entryprocess.h"
#include "hostprocess.h"

#include <godwit/observe/log.h>

namespace godwit {

namespace {

constexpr int ExitListenFailed = 4;

std::unique_ptr<FleetProcessBase> makeProcess(const FleetSettings &settings,
                                              const std::string &settingsFile,
                                              const FleetPlatform &platform)
{
    if (settings.role == DaemonRole::Entry)
        return std::make_unique<EntryProcess>(settings, settingsFile, platform);
    return std::make_unique<HostProcess>(settings, settingsFile, platform);
}

} // namespace

int runFleetProcess(const FleetSettings &settings, const std::string &settingsFile,
                    const FleetPlatform &platform)
{
    const auto process = makeProcess(settings, settingsFile, platform);
    const auto opened = capture([&]() -> Result<int> {
        BOOST_LEAF_CHECK(process->open());
        return 0;
    });
    if (const auto *error = std::get_if<Error>(&opened)) {
        logStateChange("process_failed", {{"problem", toString(*error)}}, LogLevel::Error);
        return ExitListenFailed;
    }
    logStateChange("process_started",
                   {{"host", settings.host.value()}, {"zone", settings.zone.value()}});
    return process->run();
}

} // namespace godwit
