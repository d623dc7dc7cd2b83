#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/settings/fleetsettings.h>

#include <string>

namespace godwit {

/// Runs one process of a fleet with \a settings until SIGTERM or SIGINT, then shuts down
/// gracefully. SIGHUP reloads \a settingsFile. Returns the exit code: 0 after a complete
/// shutdown, 3 if requests were left unanswered, 4 if a port could not be opened.
int runFleetProcess(const FleetSettings &settings, const std::string &settingsFile,
                    const FleetPlatform &platform);

} // namespace godwit
