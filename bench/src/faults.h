#pragma once

#include "fleet.h"

namespace godwit {

/// Runs the experiment `faults`: a table of faults on one small fleet under live requests. Prints
/// progress to standard error and one JSON line per row to standard output. \a rows is a
/// comma-separated list of the rows to run; empty runs all. Returns 0 if no row failed, at least
/// one passed and all processes stopped cleanly.
int runFaults(FleetOptions options, std::size_t callers, std::uint64_t seed,
              const std::string &rows);

} // namespace godwit
