#pragma once

#include "soakfleet.h"

namespace godwit {

/// Runs the experiment `soak`: the processes of a fleet under requests and a seeded series of
/// external faults. Checks the guarantees of the fleet against what the clients and the backend
/// servers observed. Prints a progress line per second to standard error and one JSON line with the
/// result to standard output, and writes plot data to `soak.csv` in the folder. Returns 0 if no
/// guarantee was violated.
int runSoak(SoakOptions options);

} // namespace godwit
