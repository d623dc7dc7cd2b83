#pragma once

#include "digestindex.h"

#include <godwit/weights/chunkset.h>
#include <godwit/weights/transferorder.h>

#include <godwit/base/random.h>
#include <godwit/base/time.h>

#include <map>
#include <optional>
#include <queue>
#include <set>
#include <vector>

namespace godwit {

/// Rendezvous hashing weight of \a host for \a chunk; the host with the largest one ranks first.
std::uint64_t chunkWeight(const HostId &host, const Digest &chunk);

/// Chunks that a peer holds, as far as it announced them.
struct PeerView
{
    ChunkSet have;
    bool sameRegion = false;
};

/// Scheduled check whether this host should fetch a chunk over a path (origin or inter-region
/// link).
struct PathCheck
{
    TimePoint due;
    ChunkIndex chunk = 0;
    std::uint32_t rank = 0; ///< Rank of this host for the chunk in its region.
    bool overdue = false;   ///< Later chunks of the path were seen, or the path is stalled.

    friend bool operator>(const PathCheck &a, const PathCheck &b) { return a.due > b.due; }
};

/// State of one transfer on this host. It includes the rules on which all hosts agree without
/// communication: ranks, neighbours, and the path over which a chunk enters a region.
class Transfer
{
public:
    Transfer(HostId self, TransferOrder transferOrder, TimePoint now);
    Transfer(const Transfer &) = delete;
    Transfer &operator=(const Transfer &) = delete;

    const Manifest &manifest() const { return order.manifest; }
    ChunkIndex chunkCount() const { return order.manifest.chunkCount(); }

    /// Chunks with the same bytes as \a chunk, in ascending order; it is one of them. They are
    /// obtained, announced and dropped together.
    std::span<const ChunkIndex> equalChunks(ChunkIndex chunk) const
    {
        return m_digests.find(manifest().chunks[chunk]);
    }

    /// Whether \a chunk represents those with the same bytes in requests and announcements.
    bool isRepresentative(ChunkIndex chunk) const { return equalChunks(chunk).front() == chunk; }

    /// Whether the engine still has to receive a chunk with \a digest from the store.
    bool needsBytes(const Digest &digest) const;

    /// Recomputes neighbours and regions after a change of the participants.
    void updateParticipants();

    /// Up to \a count hosts of \a region in order of their rendezvous rank for \a chunk.
    std::vector<HostId> topRanked(const RegionId &region, ChunkIndex chunk,
                                  std::size_t count) const;

    /// Rank of this host for \a chunk in its region; 0 is the first.
    std::uint32_t ownRank(ChunkIndex chunk) const;

    /// Region from which the region of this host fetches \a chunk; none if it uses the origin. The
    /// chunks are divided among the regions other than that of the origin. Each of them fetches its
    /// part from the region of the origin and relays it to the others, so that a link between two
    /// regions carries only a part of one copy.
    std::optional<RegionId> sourceRegion(ChunkIndex chunk) const;

    /// Number of chunks before \a chunk that use the same path.
    std::uint32_t pathOrdinal(ChunkIndex chunk) const;

    /// Regions whose hosts fetch \a chunk from the region of this host.
    std::vector<RegionId> targetRegions(ChunkIndex chunk) const;

    /// Hosts of other regions that are expected to hold \a chunk, the most likely first.
    std::vector<HostId> likelyHolders(ChunkIndex chunk) const;

    /// Marks \a chunk as seen in this region.
    void markSeen(ChunkIndex chunk, TimePoint now);

    /// Chunks that use the same path, come before \a chunk and have not been seen in this region.
    std::uint32_t unseenBefore(ChunkIndex chunk) const;

    /// True if a chunk at least \a distance after \a chunk on its path has been seen.
    bool pathPassed(ChunkIndex chunk, std::uint32_t distance) const;

    /// Time of the last new chunk on the path of \a chunk.
    TimePoint pathProgress(ChunkIndex chunk) const { return m_pathProgress[path(chunk)]; }

    /// Regions of the participants, that of the origin included.
    std::size_t regionCount() const { return m_otherRegions.size() + 1; }

    bool missing(ChunkIndex chunk) const { return !verified.contains(chunk); }
    bool sameRegion(const HostId &host) const;

    TransferOrder order;
    Digest id;
    TimePoint started;
    std::map<HostId, Participant> participants;
    RegionId region;
    std::vector<HostId> regionMembers;
    std::vector<HostId> neighbours;

    ChunkSet held;     ///< Verified and in the store.
    ChunkSet verified; ///< Held, or accepted by the engine and freed since.
    ChunkSet wanted;   ///< Representatives that are neither verified nor requested.
    ChunkSet delivered;
    ChunkSet accepted;
    ChunkSet retained;                       ///< Chunks that this host retains after the load.
    std::vector<std::uint16_t> availability; ///< Peers of the region that hold the chunk.
    std::map<HostId, PeerView> views;
    std::vector<std::uint32_t> attempts;
    std::map<ChunkIndex, std::uint32_t> badFromOrigin;
    std::map<ChunkIndex, std::uint32_t> pathFailures; ///< Failed requests over the path.
    /// Calls of requestFromRetainingHost() so far.
    std::map<ChunkIndex, std::uint32_t> retainingHostTurns;
    std::map<ChunkIndex, std::uint32_t> activeRequests;
    std::uint32_t outstanding = 0; ///< Requests to peers of the region.
    std::priority_queue<PathCheck, std::vector<PathCheck>, std::greater<>> checks;

    std::vector<ChunkIndex> pendingAdded;
    std::vector<ChunkIndex> pendingRemoved;
    TimePoint lastAnnounce{};
    bool finishing = false;
    bool servable = false;
    std::optional<TimePoint> freeAt;    ///< After the load: when unretained chunks are freed.
    std::optional<TimePoint> refreshAt; ///< Next time at which peers are asked what they hold.
    ChunkIndex verifiedAtRefresh = 0;   ///< Number of verified chunks at the last such time.

private:
    std::size_t path(ChunkIndex chunk) const;

    DigestIndex m_digests;
    HostId m_self;
    std::vector<RegionId> m_otherRegions; ///< All but that of the origin, sorted.
    ChunkSet m_seen;
    std::vector<std::uint32_t> m_nextOrdinal; ///< Per path: highest ordinal seen + 1.
    std::vector<TimePoint> m_pathProgress;
};

} // namespace godwit
