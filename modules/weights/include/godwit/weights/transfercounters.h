#pragma once

#include <cstdint>

namespace godwit {

/// Monotonic counters of a TransferPlanner. docs/operators-weights.md explains their use.
struct TransferCounters
{
    std::uint64_t bytesFromOrigin = 0;
    std::uint64_t bytesFromRegionPeers = 0;
    std::uint64_t bytesFromOtherRegions = 0;
    std::uint64_t bytesReused = 0; ///< Chunks found in the store at the start of a transfer.
    std::uint64_t bytesServed = 0;
    std::uint64_t requestsToOrigin = 0;
    std::uint64_t requestsToRegionPeers = 0;
    std::uint64_t requestsToOtherRegions = 0;
    std::uint64_t requestsSpeculative = 0; ///< To a peer that had not announced the chunk.
    std::uint64_t requestsEndgame = 0;
    std::uint64_t requestsStalled = 0;
    std::uint64_t requestsFailed = 0;
    std::uint64_t requestsCancelled = 0;
    std::uint64_t chunksCorrupt = 0;
    std::uint64_t chunksUnasked = 0; ///< Late, duplicate or never requested; discarded.
    std::uint64_t chunksEvicted = 0;
    std::uint64_t peersExcluded = 0;
    std::uint64_t originRefusals = 0;
    std::uint64_t originFallbacks = 0; ///< Origin fetches by a host that is not first in rank.
    std::uint64_t regionTakeovers = 0; ///< Inter-region fetches by such a host.
    std::uint64_t uploadsRefusedBusy = 0;
    std::uint64_t uploadsRefusedNotHeld = 0;
    std::uint64_t updatesInvalid = 0;
    std::uint64_t transfersStarted = 0;
    std::uint64_t transfersServable = 0;
    std::uint64_t transfersFailed = 0;
    std::uint64_t transfersCancelled = 0;
    std::uint64_t transfersSuperseded = 0;
};

} // namespace godwit
