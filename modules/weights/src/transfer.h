#pragma once

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

/// Rendezvous rank of hosts for a chunk.
std::uint64_t chunkWeight(const HostId &host, const Digest &chunk);

/// What a peer holds, as far as it announced it.
struct PeerView
{
    ChunkSet have;
    bool sameRegion = false;
};

/// A scheduled look at a chunk that this host may fetch over a path (origin or inter-region link).
struct PathCheck
{
    TimePoint due;
    ChunkIndex chunk = 0;
    std::uint32_t rank = 0; ///< Of this host in its region.
    bool overdue = false;   ///< The path has passed the chunk or is stalled.

    friend bool operator>(const PathCheck &a, const PathCheck &b) { return a.due > b.due; }
};

/// State of one transfer on this host, with the rules that all hosts evaluate alike: ranks,
/// neighbours, and the path over which a chunk enters a region.
class Transfer
{
public:
    Transfer(HostId self, TransferOrder transferOrder, TimePoint now);

    const Manifest &manifest() const { return order.manifest; }
    ChunkIndex chunkCount() const { return order.manifest.chunkCount(); }

    /// Recomputes neighbours and regions after a change of the participants.
    void updateParticipants();

    /// Members of \a region, the best rendezvous rank for \a chunk first, at most \a count.
    std::vector<HostId> ranked(const RegionId &region, ChunkIndex chunk, std::size_t count) const;

    /// Rank of this host for \a chunk in its region, 0 is best.
    std::uint32_t ownRank(ChunkIndex chunk) const;

    /// Region from which the region of this host gets \a chunk; none: from the origin itself.
    /// The chunks are divided over the regions other than that of the origin, each of which gets
    /// its part from the region of the origin and passes it to the others, so that a link between
    /// two regions carries only a part of one copy.
    std::optional<RegionId> sourceRegion(ChunkIndex chunk) const;

    /// Number of chunks before \a chunk that use the same path.
    std::uint32_t pathOrdinal(ChunkIndex chunk) const;

    /// Regions whose hosts fetch \a chunk from the region of this host.
    std::vector<RegionId> targetRegions(ChunkIndex chunk) const;

    /// Hosts of other regions that should have \a chunk, the most likely first.
    std::vector<HostId> likelyHolders(ChunkIndex chunk) const;

    /// Marks \a chunk as seen in this region.
    void see(ChunkIndex chunk, TimePoint now);

    /// Chunks that use the same path, come before \a chunk and have not been seen in this region.
    std::uint32_t unseenBefore(ChunkIndex chunk) const;

    /// True if a chunk at least \a distance behind \a chunk on its path has been seen.
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
    ChunkSet verified; ///< Held now or accepted by the engine before.
    ChunkSet wanted;   ///< Neither verified nor requested.
    ChunkSet delivered;
    ChunkSet accepted;
    ChunkSet keeping;                        ///< Chunks for which this host is a keeper.
    std::vector<std::uint16_t> availability; ///< Peers of the region that hold the chunk.
    std::map<HostId, PeerView> views;
    std::vector<std::uint32_t> attempts;
    std::map<ChunkIndex, std::uint32_t> badFromOrigin;
    std::map<ChunkIndex, std::uint32_t> pathFailures; ///< Failed requests over its path.
    std::map<ChunkIndex, std::uint32_t> keeperTurns;  ///< Searches among the keepers so far.
    std::map<ChunkIndex, std::uint32_t> activeRequests;
    std::uint32_t outstanding = 0; ///< Requests to peers of the region.
    std::priority_queue<PathCheck, std::vector<PathCheck>, std::greater<>> checks;

    std::vector<ChunkIndex> pendingAdded;
    std::vector<ChunkIndex> pendingRemoved;
    TimePoint lastAnnounce{};
    bool finishing = false;
    bool servable = false;
    std::optional<TimePoint> freeAt;    ///< After the load: when chunks of others are freed.
    std::optional<TimePoint> refreshAt; ///< When peers are asked again what they hold.

private:
    std::size_t path(ChunkIndex chunk) const;

    HostId m_self;
    std::vector<RegionId> m_otherRegions; ///< All but that of the origin, sorted.
    ChunkSet m_seen;
    std::vector<std::uint32_t> m_highest; ///< Per path: highest ordinal seen + 1.
    std::vector<TimePoint> m_pathProgress;
};

} // namespace godwit
