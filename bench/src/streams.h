#pragma once

#include "fleet.h"

#include <cstddef>

namespace godwit {

/// Options of the experiment `streams`.
struct StreamsOptions
{
    FleetOptions fleet; ///< Its process and engine counts are set by the experiment.
    std::size_t hosts = 4;
    std::size_t enginesPerHost = 8;
    std::size_t saturatingStreams = 160;
    std::size_t pacedStreams = 200;
    double pacedTokens = 50'000; ///< Per second; half of the target rate.
    std::size_t callerThreads = 3;
    std::size_t rounds = 3;
    double seconds = 4;             ///< Duration of one measurement.
    std::size_t openStreams = 2000; ///< Largest number of streams at which memory is read.
    bool hasThroughput = true;
    bool hasLatency = true;
    bool hasMemory = true;
};

/// Runs the experiment `streams`: measures streamed completions through one entry process with one
/// traffic thread, host processes and engine stand-ins, and compares with callers that connect
/// directly to the engine stand-ins. Measures tokens per second at saturation, latency at half that
/// load and memory per open stream. Prints progress to standard error and one JSON line to standard
/// output. Returns 0 if every part was measured and no response failed, whether or not a target is
/// met.
int runStreams(const StreamsOptions &options);

} // namespace godwit
