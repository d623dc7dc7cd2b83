#pragma once

#include <godwit/base/time.h>

#include <cstdint>

namespace godwit {

/// Settings of a TransferPlanner. Rates are in bytes per second; the schedules of origin and
/// inter-region fetches and the stall timeouts are derived from them. An inaccurate rate costs time
/// but never correctness.
struct TransferSettings
{
    double hostRate = 125e6;       ///< Link of this host, each direction.
    double originRate = 250e6;     ///< Link of the origin, shared by all hosts.
    double regionLinkRate = 2.5e6; ///< Link between two regions, each direction.

    std::uint64_t windowBytes = 8ULL << 30; ///< Memory limit for chunks.
    /// Hosts per region that retain a chunk after the load; operators set it as `keepers`.
    std::uint32_t retainingHosts = 2;

    std::uint32_t uploadSlots = 2;       ///< Concurrent uploads within the region.
    std::uint32_t maxQueuedUploads = 12; ///< Requests that may wait for a slot; others are refused.
    std::uint32_t maxPeerRequests = 6;   ///< Outstanding requests to peers over all transfers.
    std::uint32_t maxRequestsPerPeer = 2; ///< Outstanding requests to one peer.
    std::uint32_t maxOriginRequests = 2;  ///< Outstanding requests to the origin.
    std::uint32_t maxRegionRequests = 2;  ///< Outstanding requests to other regions.
    std::uint32_t regionWindow = 3;       ///< Chunks that may be missing before the one requested.

    /// Outstanding requests are limited to what arrives within this time at the measured rate, but
    /// to no less than two chunks: a longer queue would delay other traffic on the link. 0 means no
    /// limit.
    Duration maxQueueTime{0};

    std::uint32_t regionUploadSlots = 4; ///< Concurrent uploads to other regions.

    /// Time before the first origin or inter-region fetch, in which peers that already hold chunks
    /// can announce them.
    Duration initialFetchDelay = std::chrono::milliseconds(50);
    Duration announceInterval = std::chrono::milliseconds(50); ///< Between two announcements.
    /// Interval at which some peers are asked what they hold while chunks are missing: an
    /// announcement may have been lost, or sent before the peer knew of this host.
    Duration viewRefreshInterval = std::chrono::milliseconds(700);
    /// Delay after the load before chunks that need not be retained are freed, while peers lack
    /// chunks.
    Duration freeDelay = std::chrono::seconds(10);
    /// A longer gap than this counts as a paused process or a clock jump.
    Duration clockJumpThreshold = std::chrono::seconds(10);
    /// Time without any byte after which a request is cancelled; raised to at least 16 chunk times.
    Duration stallTimeout = std::chrono::seconds(2);
    Duration peerBackoff = std::chrono::milliseconds(500); ///< After a failure; doubles each time.
    Duration maxBackoff = std::chrono::seconds(30);
    /// How long a peer that repeatedly sends corrupt chunks is excluded.
    Duration exclusionTime = std::chrono::minutes(5);
    Duration timeFirstFallbackDelay = std::chrono::seconds(1);  ///< Of the second host in rank.
    Duration bytesFirstFallbackDelay = std::chrono::seconds(2); ///< Of the second host in rank.

    double originRetriesPerSecond = 1;  ///< Refill rate of the origin retry budget.
    double originRetryBurst = 16;       ///< Capacity of the origin retry budget.
    std::uint32_t maxBadFromOrigin = 6; ///< Corrupt copies of one chunk that fail the transfer.
};

} // namespace godwit
