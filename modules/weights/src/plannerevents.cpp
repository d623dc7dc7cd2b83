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

void TransferPlanner::Impl::advanceClock(TimePoint now)
{
    now -= m_skippedTime;
    const TimePoint expected =
            std::max(m_now, nextTick().value_or(m_now + m_skippedTime) - m_skippedTime);
    if (m_started && now > expected + m_settings.clockJumpThreshold) {
        // The process was paused or its clock jumped. Otherwise all requests would count as stalled
        // and all fallbacks to the origin would be due at the same time.
        m_skippedTime += now - expected;
        now = expected;
    }
    if (m_started && now < m_now - m_settings.clockJumpThreshold) {
        // The clock was set back. Time continues from the latest time seen; otherwise no timeout
        // would expire until the clock has caught up. Smaller steps are events out of order.
        m_skippedTime -= m_now - now;
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
            m_actions.push_back(ReportServable{id});
        return;
    }
    const auto valid = capture([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(validate(order.manifest));
        return true;
    });
    if (!succeeded(valid)) {
        m_actions.push_back(ReportFailed{id, std::get<Error>(valid)});
        return;
    }
    if (order.manifest.isAdapter() && !hasBase(order.manifest)) {
        m_actions.push_back(ReportFailed{
                id, Error{ResultCode::BaseVersionUnavailable, order.manifest.baseVersion.value()}});
        return;
    }
    order.participants.push_back(Participant{m_self, {}, order.originRegion});
    auto transfer = std::make_unique<Transfer>(m_self, std::move(order), m_now);
    ++counters.transfersStarted;
    m_uploads.recordDelivery();
    reuseStoredChunks(*transfer);
    if (!transfer->order.keepOtherVersions)
        supersedeOtherVersions(transfer->manifest(), *transfer);
    updateRetained(*transfer);
    rebuildChecks(*transfer);
    // Each host tells only its neighbours: connections to all hosts of a region would take more
    // memory than the chunks.
    for (const HostId &peer : transfer->neighbours)
        sendFullUpdate(*transfer, peer, true);
    m_transfers.emplace(id, std::move(transfer));
}

void TransferPlanner::Impl::reuseStoredChunks(Transfer &transfer)
{
    for (ChunkIndex chunk = 0; chunk < transfer.chunkCount(); ++chunk) {
        const Digest &digest = transfer.manifest().chunks[chunk];
        // An unloaded chunk is fetched again, as the engine needs its bytes.
        if (store.find(digest) && store.addOwner(transfer.id, digest)) {
            counters.bytesReused += transfer.manifest().chunkSize(chunk);
            addVerified(transfer, chunk);
        }
    }
}

void TransferPlanner::Impl::supersedeOtherVersions(const Manifest &manifest, Transfer &successor)
{
    std::vector<Digest> superseded;
    for (const auto &[id, transfer] : m_transfers) {
        if (id != successor.id && !transfer->servable && sameModel(transfer->manifest(), manifest))
            superseded.push_back(id);
    }
    for (const Digest &id : superseded) {
        ++counters.transfersSuperseded;
        endTransfer(id, ResultCode::TransferSuperseded,
                    "superseded by version " + manifest.version.value());
    }
}

bool TransferPlanner::Impl::hasBase(const Manifest &manifest) const
{
    return std::ranges::any_of(m_transfers, [&](const auto &entry) {
        return isBaseOf(entry.second->manifest(), manifest);
    });
}

bool TransferPlanner::Impl::isBaseServable(const Manifest &manifest) const
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
    // Peers that cancel it too abort uploads of this host. This must not count as a stalled uplink.
    m_uploads.recordDelivery();
    endTransfer(id, ResultCode::TransferCancelled, "cancelled");
}

void TransferPlanner::Impl::endTransfer(const Digest &id, ResultCode code,
                                        const std::string &detail)
{
    const auto it = m_transfers.find(id);
    if (it == m_transfers.end())
        return;
    const std::unique_ptr<Transfer> transfer = std::move(it->second);
    m_transfers.erase(it);
    for (auto request = m_requests.begin(); request != m_requests.end();) {
        const auto next = std::next(request);
        if (request->second.transfer == id) {
            m_actions.push_back(CancelRequest{request->first});
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
    m_actions.push_back(ReportFailed{id, Error{code, detail}});
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
        endTransfer(id, ResultCode::BaseVersionUnavailable,
                    "transfer ended for base version " + base.version.value());
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
    updateRetained(*transfer);
    rebuildChecks(*transfer);
    if (peer.region == transfer->region)
        sendFullUpdate(*transfer, peer.host, true);
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
        updateRetained(*transfer);
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
    // A host that is not a known participant yet is also told what it can fetch from this one.
    if (update.wantReply)
        sendFullUpdate(*transfer, peer, false);
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
        setEqualHeld(transfer, view, chunk, true);
    for (const ChunkIndex chunk : update.removed)
        setEqualHeld(transfer, view, chunk, false);
}

void TransferPlanner::Impl::setEqualHeld(Transfer &transfer, PeerView &view, ChunkIndex chunk,
                                         bool held)
{
    if (chunk >= transfer.chunkCount())
        return;
    for (const ChunkIndex it : transfer.equalChunks(chunk))
        setHeld(transfer, view, it, held);
}

void TransferPlanner::Impl::setHeld(Transfer &transfer, PeerView &view, ChunkIndex chunk, bool held)
{
    if (!(held ? view.have.insert(chunk) : view.have.erase(chunk)))
        return;
    if (view.sameRegion) {
        transfer.availability[chunk] += held ? 1 : -1;
        if (held)
            transfer.markSeen(chunk, m_now);
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
        handleBadChunk(request, std::get<Error>(stored).code);
        return;
    }
    m_peers.recordSuccess(source(request), request.bytes, m_now - request.sent);
    recordReceived(request.bytes);
    (request.path == Path::Origin        ? counters.bytesFromOrigin
     : request.path == Path::OtherRegion ? counters.bytesFromOtherRegions
                                         : counters.bytesFromRegionPeers) += request.bytes;
    completeChunk(transfer, request.chunk);
}

void TransferPlanner::Impl::completeChunk(Transfer &transfer, ChunkIndex chunk)
{
    const auto equal = transfer.equalChunks(chunk);
    const ChunkIndex representative = equal.front();
    cancelRequestsFor(transfer, representative);
    for (const ChunkIndex it : equal)
        addVerified(transfer, it);
    transfer.pendingAdded.push_back(representative);
    announceToTargetRegions(transfer, representative);
}

void TransferPlanner::Impl::refreshViews(Transfer &transfer)
{
    if (transfer.verified.full()) {
        transfer.refreshAt.reset();
        return;
    }
    if (!transfer.refreshAt)
        transfer.refreshAt = m_now + jittered(m_settings.viewRefreshInterval, m_random);
    if (m_now < *transfer.refreshAt)
        return;
    transfer.refreshAt = m_now + jittered(m_settings.viewRefreshInterval, m_random);
    // Without progress the neighbours may all be gone, or may not know this host yet.
    const ChunkIndex verified = transfer.verified.count();
    const bool hasProgress = std::exchange(transfer.verifiedAtRefresh, verified) != verified;
    requestViews(transfer, hasProgress ? transfer.neighbours : transfer.regionMembers);
}

void TransferPlanner::Impl::requestViews(Transfer &transfer, const std::vector<HostId> &peers)
{
    constexpr std::size_t MaxRefreshedPeers = 8;
    const std::size_t n = peers.size();
    const std::size_t first = n > 0 ? m_random.below(n) : 0;
    for (std::size_t i = 0; i < std::min(n, MaxRefreshedPeers); ++i) {
        const HostId &peer = peers[(first + i) % n];
        if (peer != m_self)
            sendFullUpdate(transfer, peer, true);
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
    completeChunk(*transfer, chunk);
}

void TransferPlanner::Impl::chunkUnloaded(const Digest &id, ChunkIndex chunk)
{
    const Transfer *transfer = find(id);
    if (!transfer || !transfer->accepted.contains(chunk))
        return;
    // The same bytes may belong to other chunks, also of another version.
    const Digest &digest = transfer->manifest().chunks[chunk];
    const bool isNeeded = std::ranges::any_of(
            m_transfers, [&](const auto &entry) { return entry.second->needsBytes(digest); });
    if (!isNeeded)
        store.unload(digest);
}

void TransferPlanner::Impl::chunkLost(const Digest &id, ChunkIndex chunk)
{
    Transfer *transfer = find(id);
    if (transfer && chunk < transfer->chunkCount() && transfer->held.contains(chunk))
        dropChunk(*transfer, chunk);
}

void TransferPlanner::Impl::handleBadChunk(Request request, ResultCode code)
{
    Transfer &transfer = *find(request.transfer);
    if (code == ResultCode::ChunkWindowFull) {
        scheduleRetry(request);
        return;
    }
    ++counters.chunksCorrupt;
    if (request.path == Path::Origin) {
        if (++transfer.badFromOrigin[request.chunk] >= m_settings.maxBadFromOrigin) {
            ++counters.transfersFailed;
            endTransfer(request.transfer, ResultCode::TransferUnverifiable,
                        "chunk " + std::to_string(request.chunk));
            return;
        }
    } else if (m_peers.recordBadChunk(source(request), m_now, m_random)) {
        ++counters.peersExcluded;
        cancelRequestsTo(request.source);
    }
    scheduleRetry(request);
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
            setEqualHeld(transfer, view->second, request.chunk, false);
    } else if (code == ResultCode::UploadSlotsBusy) {
        // The queue of the peer advances within about two chunk times.
        from.availableAt =
                std::max(from.availableAt,
                         m_now + jittered(2 * chunkTime(transfer, m_settings.hostRate), m_random));
    } else {
        ++counters.requestsFailed;
        counters.originRefusals += code == ResultCode::OriginRefused;
        m_peers.recordFailure(from, m_now, m_random);
        from.availableAt = std::max(from.availableAt, m_now + retryAfter);
        // No bytes were sent, so the next request for the chunk is not charged to the retry budget.
        // Otherwise the budget would be spent by the time the origin recovers after some seconds.
        if (request.path == Path::Origin && code == ResultCode::PlatformUnreachable)
            --transfer.attempts[request.chunk];
    }
    scheduleRetry(request);
}

void TransferPlanner::Impl::addVerified(Transfer &transfer, ChunkIndex chunk)
{
    transfer.held.insert(chunk);
    transfer.verified.insert(chunk);
    transfer.wanted.erase(chunk);
    transfer.markSeen(chunk, m_now);
}

void TransferPlanner::Impl::engineAccepted(const Digest &id, ChunkIndex chunk)
{
    Transfer *transfer = find(id);
    if (!transfer || !transfer->delivered.contains(chunk))
        return;
    transfer->accepted.insert(chunk);
    if (transfer->accepted.full() && !transfer->finishing) {
        transfer->finishing = true;
        m_actions.push_back(FinishLoad{id});
    }
}

void TransferPlanner::Impl::engineLoaded(const Digest &id)
{
    Transfer *transfer = find(id);
    if (!transfer || !transfer->finishing || transfer->servable)
        return;
    if (transfer->manifest().isAdapter() && !isBaseServable(transfer->manifest()))
        return;
    transfer->servable = true;
    transfer->freeAt = retainUntil(*transfer);
    ++counters.transfersServable;
    m_actions.push_back(ReportServable{id});
}

void TransferPlanner::Impl::engineFailed(const Digest &id, Error error)
{
    if (!find(id))
        return;
    ++counters.transfersFailed;
    endTransfer(id, error.code, error.detail);
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
