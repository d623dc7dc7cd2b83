#pragma once

#include <godwit/base/time.h>

#include <cstdint>

namespace godwit {

/// Settings of a TransferPlanner. Rates are in bytes per second; they time the schedules of origin
/// and inter-region fetches and the stall timeouts. A wrong rate costs time, never correctness.
struct TransferSettings
{
    double hostRate = 125e6;       ///< Link of this host, each way.
    double originRate = 250e6;     ///< Link of the origin, shared by all hosts.
    double regionLinkRate = 2.5e6; ///< Link between two regions, each way.

    std::uint64_t windowBytes = 8ULL << 30; ///< Memory for chunks.
    std::uint32_t keepers = 2;              ///< Hosts per region that keep a chunk after the load.

    std::uint32_t uploadSlots = 2;      ///< Chunks sent at the same time.
    std::uint32_t uploadQueue = 12;     ///< Requests that may wait for a slot; more are refused.
    std::uint32_t downloads = 6;        ///< Outstanding requests to peers, all transfers together.
    std::uint32_t downloadsPerPeer = 2; ///< Outstanding requests to one peer.
    std::uint32_t originDownloads = 2;  ///< Outstanding requests to the origin.
    std::uint32_t regionDownloads = 2;  ///< Outstanding requests to other regions.
    std::uint32_t regionWindow = 3;     ///< Chunks that may be missing behind the one requested.

    /// Outstanding requests ask for no more than what arrives in this time at the rate measured,
    /// but for two chunks at least: a longer queue would hold up what shares the link. 0 is no
    /// limit.
    Duration longestQueue{0};

    std::uint32_t regionUploadSlots = 4; ///< Chunks sent to other regions at the same time.

    Duration startGrace = std::chrono::milliseconds(50); ///< Waits for peers that already hold.
    Duration announceInterval = std::chrono::milliseconds(50);
    /// While chunks are missing, some peers are asked this often what they hold: an announcement
    /// may have been lost, or sent before they knew of this host.
    Duration viewRefresh = std::chrono::milliseconds(700);
    Duration linger = std::chrono::seconds(10);      ///< Delay of freeing while peers lack chunks.
    Duration clockJump = std::chrono::seconds(10);   ///< Longer silence counts as a paused process.
    Duration stallTimeout = std::chrono::seconds(2); ///< Without any byte; at least 16 chunk times.
    Duration peerBackoff = std::chrono::milliseconds(500); ///< After a failure; doubles.
    Duration maxBackoff = std::chrono::seconds(30);
    Duration exclusion = std::chrono::minutes(5); ///< Of a peer that repeatedly sends bad chunks.
    Duration timeFirstFallback = std::chrono::seconds(1);  ///< Of the second host in rank.
    Duration bytesFirstFallback = std::chrono::seconds(2); ///< Of the second host in rank.

    double originRetriesPerSecond = 1;  ///< Refill of the retry budget of the origin.
    double originRetryBurst = 16;       ///< Size of the retry budget of the origin.
    std::uint32_t maxBadFromOrigin = 6; ///< Bad copies of one chunk until the transfer fails.
};

} // namespace godwit
