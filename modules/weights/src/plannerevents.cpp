#include "plannerimpl.h"

#include <algorithm>

namespace godwit {

namespace {

bool sameModel(const Manifest &a, const Manifest &b)
{
    return a.deployment == b.deployment && a.model == b.model && a.adapter == b.adapter;
}

bool isBaseOf(const Manifest &base, const Manifest &adapter)
{
    return adapter.isAdapter() && !base.isAdapter() && base.deployment == adapter.deployment
           && base.model == adapter.model && base.version == adapter.baseVersion;
}

} // namespace

TransferPlanner::Impl::Impl(HostId self, TransferSettings settings, std::uint64_t seed)
    : store(settings.windowBytes)
    , m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
    , m_peers(settings)
    , m_uploads(settings)
    , m_originRetries(settings.originRetryBurst)
    , m_receiveRate(settings.hostRate)
{}

void TransferPlanner::Impl::advance(TimePoint now)
{
    now -= m_skipped;
    const TimePoint expected = std::max(m_now, nextTick().value_or(m_now + m_skipped) - m_skipped);
    if (m_started && now > expected + m_settings.clockJump) {
        // The process was paused or its clock jumped. Without this, all requests would count as
        // stalled and all fallbacks to the origin would be due at once.
        m_skipped += now - expected;
        now = expected;
    }
    if (m_started && now < m_now - m_settings.clockJump) {
        // The clock was set back: time goes on from the latest time seen, or no timeout would
        // expire until the clock has caught up. Smaller steps are events out of order.
        m_skipped -= m_now - now;
        now = m_now;
    }
    m_started = true;
    m_now = std::max(m_now, now);
}

Transfer *TransferPlanner::Impl::find(const Digest &id)
{
    const auto it = m_transfers.find(id);
    return it == m_transfers.end() ? nullptr : it->second.get();
}

void TransferPlanner::Impl::start(TransferOrder order)
{
    const Digest id = order.manifest.digest();
    if (const Transfer *known = find(id)) {
        if (known->servable)
            m_out.push_back(ReportServable{id});
        return;
    }
    const auto valid = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(validate(order.manifest));
        return true;
    });
    if (!succeeded(valid)) {
        m_out.push_back(ReportFailed{id, std::get<Error>(valid)});
        return;
    }
    if (order.manifest.isAdapter() && !baseKnown(order.manifest)) {
        m_out.push_back(ReportFailed{
                id, Error{ResultCode::BaseVersionUnavailable, order.manifest.baseVersion.value()}});
        return;
    }
    order.participants.push_back(Participant{m_self, {}, order.originRegion});
    auto transfer = std::make_unique<Transfer>(m_self, std::move(order), m_now);
    ++counters.transfersStarted;
    m_uploads.noteDelivered();
    reuseStoredChunks(*transfer);
    if (!transfer->order.keepsOthers)
        abandonOtherVersions(transfer->manifest(), *transfer);
    updateKeeping(*transfer);
    rebuildChecks(*transfer);
    for (const HostId &peer : transfer->regionMembers) {
        if (peer != m_self)
            sendFull(*transfer, peer, true);
    }
    m_transfers.emplace(id, std::move(transfer));
}

void TransferPlanner::Impl::reuseStoredChunks(Transfer &transfer)
{
    for (ChunkIndex chunk = 0; chunk < transfer.chunkCount(); ++chunk) {
        const Digest &digest = transfer.manifest().chunks[chunk];
        // The engine needs the bytes of an unloaded chunk once more.
        if (store.find(digest) && store.share(transfer.id, digest)) {
            counters.bytesReused += transfer.manifest().chunkSize(chunk);
            addVerified(transfer, chunk);
        }
    }
}

void TransferPlanner::Impl::abandonOtherVersions(const Manifest &manifest, Transfer &successor)
{
    std::vector<Digest> superseded;
    for (const auto &[id, transfer] : m_transfers) {
        if (id != successor.id && !transfer->servable && sameModel(transfer->manifest(), manifest))
            superseded.push_back(id);
    }
    for (const Digest &id : superseded) {
        ++counters.transfersSuperseded;
        end(id, ResultCode::TransferSuperseded, "by version " + manifest.version.value());
    }
}

bool TransferPlanner::Impl::baseKnown(const Manifest &manifest) const
{
    return std::ranges::any_of(m_transfers, [&](const auto &entry) {
        return isBaseOf(entry.second->manifest(), manifest);
    });
}

bool TransferPlanner::Impl::baseServable(const Manifest &manifest) const
{
    return std::ranges::any_of(m_transfers, [&](const auto &entry) {
        return entry.second->servable && isBaseOf(entry.second->manifest(), manifest);
    });
}

void TransferPlanner::Impl::cancel(const Digest &id)
{
    if (!find(id))
        return;
    ++counters.transfersCancelled;
    // Peers that cancel it too break off uploads of this host, which says nothing about its links.
    m_uploads.noteDelivered();
    end(id, ResultCode::TransferCancelled, "cancelled");
}

void TransferPlanner::Impl::end(const Digest &id, ResultCode code, const std::string &detail)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_transfers.erase(it);
    for (auto request = m_requests.begin(); request != m_requests.end();) {
        const auto next = std::next(request);
        if (request->second.transfer == id) {
            m_out.push_back(CancelRequest{request->first});
            ++counters.requestsCancelled;
            --source(request->second).outstanding;
            m_reservedBytes -= request->second.bytes;
            m_originOutstanding -= request->second.path == Path::Origin;
            m_regionOutstanding -= request->second.path == Path::OtherRegion;
            m_requests.erase(request);
        }
        request = next;
    }
    transfer->held.forEach(
            [&](ChunkIndex chunk) { store.release(id, transfer->manifest().chunks[chunk]); });
    m_out.push_back(ReportFailed{id, Error{code, detail}});
    failDependents(transfer->manifest());
}

void TransferPlanner::Impl::failDependents(const Manifest &base)
{
    std::vector<Digest> dependents;
    for (const auto &[id, transfer] : m_transfers) {
        if (isBaseOf(base, transfer->manifest()))
            dependents.push_back(id);
    }
    for (const Digest &id : dependents) {
        ++counters.transfersFailed;
        end(id, ResultCode::BaseVersionUnavailable, "base version " + base.version.value());
    }
}

void TransferPlanner::Impl::peerJoined(const Digest &id, const Participant &peer)
{
    Transfer *transfer = find(id);
    if (!transfer || peer.host == m_self)
        return;
    if (!transfer->participants.insert_or_assign(peer.host, peer).second)
        removePeer(*transfer, peer.host);
    transfer->updateParticipants();
    updateKeeping(*transfer);
    rebuildChecks(*transfer);
    if (peer.region == transfer->region)
        sendFull(*transfer, peer.host, true);
}

void TransferPlanner::Impl::peerLeft(const HostId &peer)
{
    if (peer == m_self)
        return;
    cancelRequestsTo(peer);
    m_uploads.removePeer(peer);
    for (const auto &[id, transfer] : m_transfers) {
        if (!transfer->participants.erase(peer))
            continue;
        removePeer(*transfer, peer);
        transfer->updateParticipants();
        updateKeeping(*transfer);
        rebuildChecks(*transfer);
    }
    m_peers.erase(peer);
}

void TransferPlanner::Impl::removePeer(Transfer &transfer, const HostId &peer)
{
    const auto it = transfer.views.find(peer);
    if (it == transfer.views.end())
        return;
    if (it->second.sameRegion)
        it->second.have.forEach([&](ChunkIndex chunk) { --transfer.availability[chunk]; });
    transfer.views.erase(it);
}

void TransferPlanner::Impl::peerHave(const HostId &peer, const HaveUpdate &update)
{
    Transfer *transfer = find(update.transfer);
    if (!transfer || peer == m_self)
        return;
    m_peers.at(peer).backlog = update.backlog;
    if (transfer->participants.contains(peer))
        updateView(*transfer, peer, update);
    // A host that is not on the list of this process yet still learns what it can fetch here.
    if (update.wantReply)
        sendFull(*transfer, peer, false);
}

void TransferPlanner::Impl::updateView(Transfer &transfer, const HostId &peer,
                                       const HaveUpdate &update)
{
    auto [it, added] = transfer.views.try_emplace(
            peer, PeerView{ChunkSet(transfer.chunkCount()), transfer.sameRegion(peer)});
    PeerView &view = it->second;
    if (update.full) {
        const auto bitmap =
                capture([&] { return decodeBitmap(update.bitmap, transfer.chunkCount()); });
        if (!succeeded(bitmap)) {
            ++counters.updatesInvalid;
            return;
        }
        const ChunkSet &held = std::get<0>(bitmap);
        for (ChunkIndex chunk = 0; chunk < transfer.chunkCount(); ++chunk)
            setHeld(transfer, view, chunk, held.contains(chunk));
    }
    for (const ChunkIndex chunk : update.added)
        setHeld(transfer, view, chunk, true);
    for (const ChunkIndex chunk : update.removed)
        setHeld(transfer, view, chunk, false);
}

void TransferPlanner::Impl::setHeld(Transfer &transfer, PeerView &view, ChunkIndex chunk, bool held)
{
    if (!(held ? view.have.insert(chunk) : view.have.erase(chunk)))
        return;
    if (view.sameRegion) {
        transfer.availability[chunk] += held ? 1 : -1;
        if (held)
            transfer.see(chunk, m_now);
    } else if (held && transfer.wanted.contains(chunk) && transfer.ownRank(chunk) == 0) {
        transfer.checks.push(PathCheck{std::max(m_now, scheduledAt(transfer, chunk)), chunk});
    }
}

void TransferPlanner::Impl::chunkProgress(ChunkRequestId request)
{
    const auto it = m_requests.find(request);
    if (it != m_requests.end())
        it->second.lastProgress = m_now;
}

void TransferPlanner::Impl::chunkArrived(ChunkRequestId id, ChunkBytes bytes)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end()) {
        ++counters.chunksUnasked;
        return;
    }
    const Request request = endRequest(it);
    Transfer &transfer = *find(request.transfer);
    const Digest &digest = transfer.manifest().chunks[request.chunk];
    const auto stored = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(store.put(transfer.id, digest, request.bytes, std::move(bytes)));
        return true;
    });
    if (!succeeded(stored)) {
        badChunk(request, std::get<Error>(stored).code);
        return;
    }
    m_peers.succeeded(source(request), request.bytes, m_now - request.sent);
    noteReceived(request.bytes);
    (request.path == Path::Origin        ? counters.bytesFromOrigin
     : request.path == Path::OtherRegion ? counters.bytesFromOtherRegions
                                         : counters.bytesFromRegionPeers) += request.bytes;
    hold(transfer, request.chunk);
}

void TransferPlanner::Impl::hold(Transfer &transfer, ChunkIndex chunk)
{
    cancelRequestsFor(transfer, chunk);
    addVerified(transfer, chunk);
    transfer.pendingAdded.push_back(chunk);
    announceToDesignated(transfer, chunk);
}

void TransferPlanner::Impl::refreshViews(Transfer &transfer)
{
    constexpr std::size_t MostAsked = 8;
    if (transfer.verified.full()) {
        transfer.refreshAt.reset();
        return;
    }
    if (!transfer.refreshAt)
        transfer.refreshAt = m_now + jittered(m_settings.viewRefresh, m_random);
    if (m_now < *transfer.refreshAt)
        return;
    transfer.refreshAt = m_now + jittered(m_settings.viewRefresh, m_random);
    const std::size_t n = transfer.regionMembers.size();
    const std::size_t first = n > 0 ? m_random.below(n) : 0;
    for (std::size_t i = 0; i < std::min(n, MostAsked); ++i) {
        const HostId &peer = transfer.regionMembers[(first + i) % n];
        if (peer != m_self)
            sendFull(transfer, peer, true);
    }
}

void TransferPlanner::Impl::chunkFound(const Digest &id, ChunkIndex chunk, ChunkBytes bytes)
{
    Transfer *transfer = find(id);
    if (!transfer || chunk >= transfer->chunkCount() || !transfer->missing(chunk))
        return;
    const Manifest &manifest = transfer->manifest();
    const auto stored = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(
                store.put(id, manifest.chunks[chunk], manifest.chunkSize(chunk), std::move(bytes)));
        return true;
    });
    if (!succeeded(stored))
        return;
    counters.bytesReused += manifest.chunkSize(chunk);
    hold(*transfer, chunk);
}

void TransferPlanner::Impl::chunkUnloaded(const Digest &id, ChunkIndex chunk)
{
    const Transfer *transfer = find(id);
    if (transfer && chunk < transfer->chunkCount() && transfer->accepted.contains(chunk))
        store.unload(transfer->manifest().chunks[chunk]);
}

void TransferPlanner::Impl::chunkLost(const Digest &id, ChunkIndex chunk)
{
    Transfer *transfer = find(id);
    if (transfer && chunk < transfer->chunkCount() && transfer->held.contains(chunk))
        drop(*transfer, chunk);
}

void TransferPlanner::Impl::badChunk(Request request, ResultCode code)
{
    Transfer &transfer = *find(request.transfer);
    if (code == ResultCode::ChunkWindowFull) {
        retryLater(request);
        return;
    }
    ++counters.chunksCorrupt;
    if (request.path == Path::Origin) {
        if (++transfer.badFromOrigin[request.chunk] >= m_settings.maxBadFromOrigin) {
            ++counters.transfersFailed;
            end(request.transfer, ResultCode::TransferUnverifiable,
                "chunk " + std::to_string(request.chunk));
            return;
        }
    } else if (m_peers.sentBadChunk(source(request), m_now, m_random)) {
        ++counters.peersExcluded;
        cancelRequestsTo(request.source);
    }
    retryLater(request);
}

void TransferPlanner::Impl::chunkFailed(ChunkRequestId id, ResultCode code, Duration retryAfter)
{
    const auto it = m_requests.find(id);
    if (it == m_requests.end())
        return;
    const Request request = endRequest(it);
    Transfer &transfer = *find(request.transfer);
    SourceState &from = source(request);
    if (code == ResultCode::ChunkNotHeld) {
        const auto view = transfer.views.find(request.source);
        if (view != transfer.views.end())
            setHeld(transfer, view->second, request.chunk, false);
    } else if (code == ResultCode::UploadSlotsBusy) {
        // Two chunk times: the queue of the peer has moved by then.
        from.availableAt =
                std::max(from.availableAt,
                         m_now + jittered(2 * chunkTime(transfer, m_settings.hostRate), m_random));
    } else {
        ++counters.requestsFailed;
        counters.originRefusals += code == ResultCode::OriginRefused;
        m_peers.failed(from, m_now, m_random);
        from.availableAt = std::max(from.availableAt, m_now + retryAfter);
        // No byte was sent: the next request for the chunk is not charged to the retry budget,
        // which would be spent when an origin returns after seconds.
        if (request.path == Path::Origin && code == ResultCode::PlatformUnreachable)
            --transfer.attempts[request.chunk];
    }
    retryLater(request);
}

void TransferPlanner::Impl::addVerified(Transfer &transfer, ChunkIndex chunk)
{
    transfer.held.insert(chunk);
    transfer.verified.insert(chunk);
    transfer.wanted.erase(chunk);
    transfer.see(chunk, m_now);
}

void TransferPlanner::Impl::engineAccepted(const Digest &id, ChunkIndex chunk)
{
    Transfer *transfer = find(id);
    if (!transfer || !transfer->delivered.contains(chunk))
        return;
    transfer->accepted.insert(chunk);
    if (transfer->accepted.full() && !transfer->finishing) {
        transfer->finishing = true;
        m_out.push_back(FinishLoad{id});
    }
}

void TransferPlanner::Impl::engineLoaded(const Digest &id)
{
    Transfer *transfer = find(id);
    if (!transfer || !transfer->finishing || transfer->servable)
        return;
    if (transfer->manifest().isAdapter() && !baseServable(transfer->manifest()))
        return;
    transfer->servable = true;
    transfer->freeAt = lingerUntil(*transfer);
    ++counters.transfersServable;
    m_out.push_back(ReportServable{id});
}

void TransferPlanner::Impl::engineFailed(const Digest &id, Error error)
{
    if (!find(id))
        return;
    ++counters.transfersFailed;
    end(id, error.code, error.detail);
}

std::vector<TransferStatus> TransferPlanner::Impl::status() const
{
    std::vector<TransferStatus> list;
    for (const auto &[id, transfer] : m_transfers) {
        const auto outstanding = std::ranges::count_if(
                m_requests, [&id = id](const auto &entry) { return entry.second.transfer == id; });
        list.push_back(TransferStatus{id, transfer->chunkCount(), transfer->verified.count(),
                                      transfer->accepted.count(),
                                      static_cast<std::uint32_t>(outstanding), transfer->servable});
    }
    return list;
}

} // namespace godwit
