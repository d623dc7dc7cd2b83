#pragma once

#include <godwit/base/result.h>
#include <godwit/control/command.h>
#include <godwit/language/fleetview.h>
#include <godwit/language/replytable.h>

namespace godwit {

/// Reports what \a command would change if applied now: one row per changed object and per host
/// that would load or unload, and an estimate per order. Fails like applyCommand().
///
/// The estimate is a lower bound: the time to transfer the version once over the slowest of the
/// origin link, the host links and, if the hosts are in several regions, an inter-region link,
/// times the number of rolling steps. Load time in the engine is excluded. Without link rates
/// there is no estimate of the time.
Result<ReplyTable> dryRun(const FleetView &view, const Command &command,
                          const CommandContext &context);

} // namespace godwit
