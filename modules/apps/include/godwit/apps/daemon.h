#pragma once

#include <godwit/settings/daemonsettings.h>

namespace godwit {

/// Runs one `godwitd` process with \a settings until SIGTERM or SIGINT, then shuts down gracefully.
/// Returns the exit code: 0 after a complete shutdown, 3 if requests were still in progress at the
/// shutdown limit, 4 if a port could not be opened.
int runDaemon(const DaemonSettings &settings);

} // namespace godwit
