#pragma once

#include "fleet.h"

namespace godwit {

/// Runs the experiment `burst`: under live requests it loads a model on all hosts at once, changes
/// the model version, kills and restarts processes, drains a host and stops the fleet. Prints
/// progress to standard error and one JSON line to standard output. Returns 0 if every step
/// completed, no request was lost, duplicated, answered by mixed versions or wrongly reported as
/// not run, and all processes stopped cleanly.
int runBurst(FleetOptions options, std::size_t callers, std::uint64_t seed);

} // namespace godwit
