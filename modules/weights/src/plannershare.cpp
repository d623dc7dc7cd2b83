#include "plannerimpl.h"

#include <algorithm>

namespace godwit {

bool TransferPlanner::Impl::reserve(Transfer &transfer, std::uint32_t bytes)
{
    const auto evictServable = [&] {
        return std::ranges::any_of(m_transfers, [&](const auto &entry) {
            return entry.second->servable && evictOne(*entry.second);
        });
    };
    while (!store.hasRoom(m_reservedBytes + bytes)) {
        if (!evictServable() && !evictOne(transfer))
            return false;
    }
    return true;
}

TimePoint TransferPlanner::Impl::retainUntil(const Transfer &transfer) const
{
    // Other regions are still fetching over their slow links, and two retaining hosts are too few
    // for them when hosts fail. A new transfer that needs the room evicts these chunks earlier.
    const auto others = static_cast<double>(transfer.regionCount() - 1);
    const Duration regions =
            others == 0 ? Duration::zero()
                        : fromSeconds(1.5 * static_cast<double>(transfer.manifest().totalBytes)
                                      / (m_settings.regionLinkRate * others));
    return std::max(m_now + m_settings.freeDelay, transfer.started + regions);
}

bool TransferPlanner::Impl::evictOne(Transfer &transfer)
{
    // Of the chunks that the engine has, the loss of the one that most peers can serve costs least.
    std::optional<ChunkIndex> victim;
    transfer.held.forEach([&](ChunkIndex chunk) {
        if (!transfer.retained.contains(chunk)
            && !transfer.needsBytes(transfer.manifest().chunks[chunk])
            && (!victim || transfer.availability[chunk] > transfer.availability[*victim]))
            victim = chunk;
    });
    if (!victim)
        return false;
    ++counters.chunksEvicted;
    dropChunk(transfer, *victim);
    return true;
}

void TransferPlanner::Impl::dropChunk(Transfer &transfer, ChunkIndex chunk)
{
    if (!transfer.held.contains(chunk))
        return;
    const auto equal = transfer.equalChunks(chunk);
    for (const ChunkIndex it : equal)
        transfer.held.erase(it);
    store.release(transfer.id, transfer.manifest().chunks[chunk]);
    transfer.pendingRemoved.push_back(equal.front());
}

void TransferPlanner::Impl::updateRetained(Transfer &transfer)
{
    ChunkSet retained(transfer.chunkCount());
    for (ChunkIndex chunk = 0; chunk < transfer.chunkCount(); ++chunk) {
        if (transfer.ownRank(chunk) < m_settings.retainingHosts)
            retained.insert(chunk);
    }
    transfer.retained = std::move(retained);
}

void TransferPlanner::Impl::freeUnretained(Transfer &transfer)
{
    if (!transfer.freeAt
        || (m_now < *transfer.freeAt
            && (transfer.regionCount() > 1 || neighbourLacksChunks(transfer))))
        return;
    transfer.freeAt.reset();
    std::vector<ChunkIndex> others;
    transfer.held.forEach([&](ChunkIndex chunk) {
        if (!transfer.retained.contains(chunk))
            others.push_back(chunk);
    });
    for (const ChunkIndex chunk : others)
        dropChunk(transfer, chunk);
}

bool TransferPlanner::Impl::neighbourLacksChunks(const Transfer &transfer) const
{
    return std::ranges::any_of(transfer.neighbours, [&](const HostId &peer) {
        const auto view = transfer.views.find(peer);
        return view == transfer.views.end() || !view->second.have.full();
    });
}

void TransferPlanner::Impl::deliver(Transfer &transfer)
{
    if (transfer.delivered.count() == transfer.verified.count()
        || (transfer.manifest().isAdapter() && !isBaseServable(transfer.manifest())))
        return;
    transfer.held.forEach([&](ChunkIndex chunk) {
        if (transfer.delivered.insert(chunk))
            m_actions.push_back(DeliverToEngine{transfer.id, chunk,
                                                store.find(transfer.manifest().chunks[chunk])});
    });
}

void TransferPlanner::Impl::announce(Transfer &transfer)
{
    if ((transfer.pendingAdded.empty() && transfer.pendingRemoved.empty())
        || m_now < transfer.lastAnnounce + m_settings.announceInterval)
        return;
    HaveUpdate update;
    update.transfer = transfer.id;
    update.added = std::exchange(transfer.pendingAdded, {});
    update.removed = std::exchange(transfer.pendingRemoved, {});
    update.backlog = m_uploads.backlog();
    // A chunk may have been added and evicted again since the last message.
    std::erase_if(update.added, [&](ChunkIndex chunk) { return !transfer.held.contains(chunk); });
    for (const HostId &peer : transfer.neighbours)
        m_actions.push_back(AnnounceHave{peer, update});
    transfer.lastAnnounce = m_now;
}

void TransferPlanner::Impl::announceToTargetRegions(Transfer &transfer, ChunkIndex chunk)
{
    // Two hosts of this region announce the chunk to two of each target region, so that the failure
    // of one host on either side does not hide it.
    const std::vector<RegionId> targets = transfer.targetRegions(chunk);
    if (targets.empty() || transfer.ownRank(chunk) > 1)
        return;
    HaveUpdate update;
    update.transfer = transfer.id;
    update.added = {chunk};
    update.backlog = m_uploads.backlog();
    for (const RegionId &region : targets) {
        for (const HostId &peer : transfer.topRanked(region, chunk, 2))
            m_actions.push_back(AnnounceHave{peer, update});
    }
}

void TransferPlanner::Impl::sendFullUpdate(Transfer &transfer, const HostId &peer, bool wantReply)
{
    HaveUpdate update;
    update.transfer = transfer.id;
    update.full = true;
    update.wantReply = wantReply;
    update.bitmap = encodeBitmap(transfer.held);
    update.backlog = m_uploads.backlog();
    update.model = transfer.manifest().model.value();
    update.version = transfer.manifest().version.value();
    m_actions.push_back(AnnounceHave{peer, std::move(update)});
}

void TransferPlanner::Impl::chunkRequested(const HostId &peer, const Digest &digest,
                                           UploadId upload)
{
    const Digest *owner = store.owner(digest);
    const Transfer *transfer = owner ? find(*owner) : nullptr;
    if (!transfer) {
        ++counters.uploadsRefusedNotHeld;
        m_actions.push_back(RefuseChunk{upload, peer, ResultCode::ChunkNotHeld});
        return;
    }
    const auto participant = transfer->participants.find(peer);
    const bool otherRegion =
            participant != transfer->participants.end() && !transfer->sameRegion(peer);
    const RegionId region = otherRegion ? participant->second.region : RegionId();
    if (!m_uploads.push({upload, peer, digest, *owner, otherRegion, region})) {
        ++counters.uploadsRefusedBusy;
        m_actions.push_back(RefuseChunk{upload, peer, ResultCode::UploadSlotsBusy});
    }
}

void TransferPlanner::Impl::uploadFinished(UploadId upload, bool delivered)
{
    if (m_uploads.finish(upload) && delivered)
        m_uploads.recordDelivery();
}

std::uint64_t TransferPlanner::Impl::nominalChunkBytes(const Digest &id)
{
    const Transfer *transfer = find(id);
    return transfer ? transfer->manifest().chunkBytes : 0;
}

void TransferPlanner::Impl::startUploads()
{
    const auto weightOf = [&](const Digest &id) {
        const Transfer *transfer = find(id);
        return transfer ? std::max(transfer->order.weight, 1U) : 1U;
    };
    UploadQueue::Upload upload;
    while (m_uploads.startNext(weightOf, upload)) {
        ChunkBytes bytes = store.find(upload.digest);
        if (!store.contains(upload.digest)) {
            m_uploads.finish(upload.id);
            ++counters.uploadsRefusedNotHeld;
            m_actions.push_back(RefuseChunk{upload.id, upload.peer, ResultCode::ChunkNotHeld});
            continue;
        }
        if (!upload.otherRegion)
            m_uploads.recordStart(m_now);
        const std::uint64_t size = bytes ? bytes->size() : nominalChunkBytes(upload.transfer);
        counters.bytesServed += size;
        m_uploads.charge(upload.transfer, size, weightOf(upload.transfer));
        m_actions.push_back(ServeChunk{upload.id, upload.peer, upload.digest, std::move(bytes),
                                       upload.transfer, weightOf(upload.transfer), upload.region});
    }
}

} // namespace godwit
