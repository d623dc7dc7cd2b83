#include "transfer.h"

#include <godwit/base/rendezvous.h>

#include <algorithm>

namespace godwit {

namespace {

// Distances of neighbours on the ring of hosts. They grow geometrically, so that a chunk reaches
// all hosts in a logarithmic number of hops while the number of messages per host stays bounded.
constexpr std::size_t NeighbourDistances[] = {1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 233};

std::uint64_t mix(std::uint64_t value)
{
    return Random(value)();
}

} // namespace

std::uint64_t chunkWeight(const HostId &host, const Digest &chunk)
{
    return mix(stableHash(host.value()) ^ chunk.prefix());
}

Transfer::Transfer(HostId self, TransferOrder transferOrder, TimePoint now)
    : order(std::move(transferOrder))
    , id(order.manifest.digest())
    , started(now)
    , held(chunkCount())
    , verified(chunkCount())
    , wanted(chunkCount(), true)
    , delivered(chunkCount())
    , accepted(chunkCount())
    , retained(chunkCount())
    , availability(chunkCount(), 0)
    , attempts(chunkCount(), 0)
    , m_digests(order.manifest.chunks)
    , m_self(std::move(self))
    , m_seen(chunkCount())
{
    for (const Participant &participant : order.participants)
        participants.emplace(participant.host, participant);
    order.participants.clear();
    for (ChunkIndex chunk = 0; chunk < chunkCount(); ++chunk) {
        if (isRepresentative(chunk))
            continue;
        wanted.erase(chunk);
        // It arrives with its representative, perhaps over another path, so this one does not wait
        // for it.
        m_seen.insert(chunk);
    }
    updateParticipants();
    m_pathProgress.assign(m_pathProgress.size(), now);
}

bool Transfer::needsBytes(const Digest &digest) const
{
    return std::ranges::any_of(m_digests.find(digest), [this](ChunkIndex it) {
        return held.contains(it) && !accepted.contains(it);
    });
}

void Transfer::updateParticipants()
{
    const auto own = participants.find(m_self);
    region = own == participants.end() ? order.originRegion : own->second.region;
    std::set<RegionId> others;
    regionMembers.clear();
    for (const auto &[host, participant] : participants) {
        if (participant.region != order.originRegion)
            others.insert(participant.region);
        if (participant.region == region)
            regionMembers.push_back(host);
    }
    m_otherRegions.assign(others.begin(), others.end());
    const std::size_t paths = std::max<std::size_t>(m_otherRegions.size(), 1);
    m_nextOrdinal.resize(paths, 0);
    m_pathProgress.resize(paths, started);

    std::vector<HostId> ring = regionMembers;
    std::ranges::sort(ring, {}, [&](const HostId &host) { return chunkWeight(host, id); });
    const auto self = static_cast<std::size_t>(std::ranges::find(ring, m_self) - ring.begin());
    std::set<HostId> chosen;
    for (const std::size_t distance : NeighbourDistances) {
        if (self == ring.size() || distance > ring.size() / 2)
            break;
        chosen.insert(ring[(self + distance) % ring.size()]);
        chosen.insert(ring[(self + ring.size() - distance) % ring.size()]);
    }
    chosen.erase(m_self);
    neighbours.assign(chosen.begin(), chosen.end());
}

std::vector<HostId> Transfer::topRanked(const RegionId &where, ChunkIndex chunk,
                                        std::size_t count) const
{
    std::vector<std::pair<std::uint64_t, HostId>> weights;
    for (const auto &[host, participant] : participants) {
        if (participant.region == where)
            weights.emplace_back(chunkWeight(host, manifest().chunks[chunk]), host);
    }
    const std::size_t n = std::min(count, weights.size());
    std::partial_sort(weights.begin(), weights.begin() + static_cast<std::ptrdiff_t>(n),
                      weights.end(), std::greater<>());
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < n; ++i)
        hosts.push_back(weights[i].second);
    return hosts;
}

std::uint32_t Transfer::ownRank(ChunkIndex chunk) const
{
    const Digest &digest = manifest().chunks[chunk];
    const auto own = std::pair(chunkWeight(m_self, digest), m_self);
    return static_cast<std::uint32_t>(std::ranges::count_if(regionMembers, [&](const HostId &host) {
        return std::pair(chunkWeight(host, digest), host) > own;
    }));
}

std::optional<RegionId> Transfer::sourceRegion(ChunkIndex chunk) const
{
    if (region == order.originRegion || m_otherRegions.empty())
        return std::nullopt;
    const RegionId &entry = m_otherRegions[path(chunk)];
    return entry == region ? order.originRegion : entry;
}

std::size_t Transfer::path(ChunkIndex chunk) const
{
    // In the region of the origin, all chunks share one path: the link of the origin.
    return region == order.originRegion || m_otherRegions.empty() ? 0
                                                                  : chunk % m_otherRegions.size();
}

std::uint32_t Transfer::pathOrdinal(ChunkIndex chunk) const
{
    return region == order.originRegion || m_otherRegions.empty()
                   ? chunk
                   : static_cast<std::uint32_t>(chunk / m_otherRegions.size());
}

std::vector<RegionId> Transfer::targetRegions(ChunkIndex chunk) const
{
    if (m_otherRegions.empty())
        return {};
    const RegionId &entry = m_otherRegions[chunk % m_otherRegions.size()];
    if (region == order.originRegion)
        return {entry};
    std::vector<RegionId> targets;
    if (region == entry)
        std::ranges::copy_if(m_otherRegions, std::back_inserter(targets),
                             [&](const RegionId &other) { return other != entry; });
    return targets;
}

std::vector<HostId> Transfer::likelyHolders(ChunkIndex chunk) const
{
    std::vector<RegionId> regions;
    if (const auto from = sourceRegion(chunk))
        regions.push_back(*from);
    regions.push_back(order.originRegion);
    regions.insert(regions.end(), m_otherRegions.begin(), m_otherRegions.end());
    std::vector<HostId> hosts;
    for (const RegionId &from : regions) {
        for (const HostId &host : topRanked(from, chunk, 2)) {
            if (from != region && std::ranges::find(hosts, host) == hosts.end())
                hosts.push_back(host);
        }
    }
    return hosts;
}

void Transfer::markSeen(ChunkIndex chunk, TimePoint now)
{
    if (!m_seen.insert(chunk))
        return;
    const std::size_t index = path(chunk);
    m_pathProgress[index] = now;
    m_nextOrdinal[index] = std::max(m_nextOrdinal[index], pathOrdinal(chunk) + 1);
}

std::uint32_t Transfer::unseenBefore(ChunkIndex chunk) const
{
    const auto stride = static_cast<ChunkIndex>(m_nextOrdinal.size());
    std::uint32_t count = 0;
    for (ChunkIndex i = chunk % stride; i < chunk; i += stride)
        count += !m_seen.contains(i);
    return count;
}

bool Transfer::pathPassed(ChunkIndex chunk, std::uint32_t distance) const
{
    return m_nextOrdinal[path(chunk)] > pathOrdinal(chunk) + distance;
}

bool Transfer::sameRegion(const HostId &host) const
{
    const auto it = participants.find(host);
    return it != participants.end() && it->second.region == region;
}

} // namespace godwit
