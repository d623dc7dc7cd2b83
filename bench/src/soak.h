#pragma once

#include "soakfleet.h"

namespace godwit {

/// Runs real processes under requests and a seeded series of faults from outside, and checks what
/// the clients and the backend servers saw. Writes a progress line a second to standard error, the
/// rows of a plot to `soak.csv` in the folder and one JSON line with the result to standard output.
/// Returns 0 if no promise was broken.
int runSoak(SoakOptions options);

} // namespace godwit
