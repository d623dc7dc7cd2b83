#include "plannerimpl.h"

#include <algorithm>

namespace godwit {

namespace {

constexpr std::uint32_t StallChunkTimes = 16;       // a queue of this length is not a stall
constexpr std::uint32_t UplinkStallChunkTimes = 16; // of the uplink without a delivered upload
constexpr std::uint32_t PassedDistance = 16;     // chunks of a path arrive out of order within this
constexpr std::uint32_t MaxRankDoublings = 8;    // bounds the fallback delay of the last ranks
constexpr std::uint32_t RetainingHostsTried = 3; // tried without an announcement
constexpr std::size_t ScanWords = 64;            // bounds the search of one request to 4,096 chunks
constexpr std::uint32_t MaxEndgameRequests = 2;  // concurrent requests for one chunk
constexpr double RateWindowSeconds = 0.25;       // measuring window of the receive rate
constexpr double RateGain = 0.5;        // weight of the newest window in the moving average
constexpr double MinOutstanding = 2;    // requests; fewer would leave the link idle in between
constexpr double ScheduleSpeedup = 1.1; // keeps the path busy; regionWindow bounds the lead

} // namespace

SourceState &TransferPlanner::Impl::source(const Request &request)
{
    return request.path == Path::Origin ? m_peers.origin() : m_peers.at(request.source);
}

TransferPlanner::Impl::Request TransferPlanner::Impl::endRequest(Requests::iterator it)
{
    Request request = std::move(it->second);
    m_requests.erase(it);
    Transfer &transfer = *find(request.transfer);
    --source(request).outstanding;
    m_reservedBytes -= request.bytes;
    m_originOutstanding -= request.path == Path::Origin;
    m_regionOutstanding -= request.path == Path::OtherRegion;
    transfer.outstanding -= request.path == Path::RegionPeer;
    const auto active = transfer.activeRequests.find(request.chunk);
    if (--active->second == 0) {
        transfer.activeRequests.erase(active);
        if (transfer.missing(request.chunk))
            transfer.wanted.insert(request.chunk);
    }
    return request;
}

void TransferPlanner::Impl::scheduleRetry(const Request &request)
{
    Transfer &transfer = *find(request.transfer);
    if (request.path == Path::RegionPeer) {
        // fillRequests() immediately requests an announced chunk from another peer.
        if (request.speculative)
            transfer.checks.push(PathCheck{m_now + jittered(m_settings.announceInterval, m_random),
                                           request.chunk, transfer.ownRank(request.chunk), true});
        return;
    }
    ++transfer.pathFailures[request.chunk];
    const std::uint32_t rank = transfer.ownRank(request.chunk);
    const TimePoint due =
            std::max(source(request).availableAt,
                     m_now
                             + backoff(m_settings.peerBackoff / 4, m_settings.maxBackoff,
                                       transfer.attempts[request.chunk], m_random));
    transfer.checks.push(PathCheck{due, request.chunk, rank, rank > 0});
}

void TransferPlanner::Impl::cancelRequestsFor(Transfer &transfer, ChunkIndex chunk)
{
    if (!transfer.activeRequests.contains(chunk))
        return;
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto next = std::next(it);
        if (it->second.transfer == transfer.id && it->second.chunk == chunk) {
            m_actions.push_back(CancelRequest{it->first});
            ++counters.requestsCancelled;
            endRequest(it);
        }
        it = next;
    }
}

void TransferPlanner::Impl::cancelRequestsTo(const HostId &peer)
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto next = std::next(it);
        if (it->second.path != Path::Origin && it->second.source == peer) {
            m_actions.push_back(CancelRequest{it->first});
            ++counters.requestsCancelled;
            scheduleRetry(endRequest(it));
        }
        it = next;
    }
}

Duration TransferPlanner::Impl::chunkTime(const Transfer &transfer, double rate) const
{
    return fromSeconds(transfer.manifest().chunkBytes / rate);
}

Duration TransferPlanner::Impl::stallTimeout(const Request &request) const
{
    const double rate = request.path == Path::RegionPeer    ? m_settings.hostRate
                        : request.path == Path::OtherRegion ? m_settings.regionLinkRate
                                                            : m_settings.originRate;
    // Inter-region uploads have separate slots, for which at most a window of chunks waits.
    const std::uint32_t chunkTimes =
            request.path == Path::OtherRegion ? 2 * (m_settings.regionWindow + 1) : StallChunkTimes;
    return std::max(m_settings.stallTimeout, fromSeconds(chunkTimes * request.bytes / rate));
}

void TransferPlanner::Impl::expireRequests()
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        const auto next = std::next(it);
        if (m_now >= it->second.lastProgress + stallTimeout(it->second)) {
            m_actions.push_back(CancelRequest{it->first});
            ++counters.requestsStalled;
            const Request request = endRequest(it);
            m_peers.recordFailure(source(request), m_now, m_random);
            scheduleRetry(request);
        }
        it = next;
    }
}

Duration TransferPlanner::Impl::fallbackDelay(const Transfer &transfer) const
{
    const Duration base = transfer.order.policy == TransferPolicy::TimeFirst
                                  ? m_settings.timeFirstFallbackDelay
                                  : m_settings.bytesFirstFallbackDelay;
    // A chunk that is fetched twice by mistake takes less of the time of a faster origin.
    if (transfer.region == transfer.order.originRegion)
        return fromSeconds(toSeconds(base)
                           * std::min(1.0, m_settings.hostRate / m_settings.originRate));
    // The chunks in the window share the link, so that each takes that many chunk times.
    return std::max(base, 2 * (m_settings.regionWindow + 1)
                                  * chunkTime(transfer, m_settings.regionLinkRate));
}

TimePoint TransferPlanner::Impl::scheduledAt(const Transfer &transfer, ChunkIndex chunk) const
{
    // If hosts started all their fetches at once, these would share the path, and the first chunks
    // would be complete only when all of them are. In schedule order, peers can exchange the first
    // chunks early.
    const bool overRegion = transfer.region != transfer.order.originRegion;
    const double rate =
            overRegion ? m_settings.regionLinkRate * ScheduleSpeedup : m_settings.originRate;
    return transfer.started + m_settings.initialFetchDelay
           + fromSeconds(static_cast<double>(transfer.pathOrdinal(chunk))
                         * transfer.manifest().chunkBytes / rate);
}

void TransferPlanner::Impl::rebuildChecks(Transfer &transfer)
{
    transfer.checks = {};
    // Includes chunks that are already requested, as the requests may fail.
    for (ChunkIndex chunk = 0; chunk < transfer.chunkCount(); ++chunk) {
        if (!transfer.missing(chunk) || !transfer.isRepresentative(chunk))
            continue;
        const std::uint32_t rank = transfer.ownRank(chunk);
        const TimePoint scheduled = std::max(m_now, scheduledAt(transfer, chunk));
        transfer.checks.push(PathCheck{rank == 0 ? scheduled : scheduled + fallbackDelay(transfer),
                                       chunk, rank});
    }
}

void TransferPlanner::Impl::runChecks(Transfer &transfer)
{
    while (!transfer.checks.empty() && transfer.checks.top().due <= m_now) {
        PathCheck check = transfer.checks.top();
        transfer.checks.pop();
        if (check.overdue && hasOnlyFailingRequests(transfer, check.chunk))
            cancelRequestsFor(transfer, check.chunk);
        if (transfer.wanted.contains(check.chunk)) {
            runCheck(transfer, check);
        } else if (transfer.missing(check.chunk)) {
            check.due = m_now + jittered(m_settings.stallTimeout / 2, m_random);
            transfer.checks.push(check);
        }
    }
}

bool TransferPlanner::Impl::hasOnlyFailingRequests(const Transfer &transfer, ChunkIndex chunk)
{
    bool requested = false;
    for (const auto &[id, request] : m_requests) {
        if (request.transfer != transfer.id || request.chunk != chunk)
            continue;
        requested = true;
        if (request.path != Path::RegionPeer || source(request).failures == 0)
            return false;
    }
    return requested;
}

bool TransferPlanner::Impl::hasUsableHolder(const Transfer &transfer, ChunkIndex chunk)
{
    return transfer.availability[chunk] > 0
           && std::ranges::any_of(transfer.views, [&](const auto &entry) {
                  return entry.second.sameRegion && entry.second.have.contains(chunk)
                         && m_peers.at(entry.first).usable(m_now)
                         && m_peers.at(entry.first).failures == 0;
              });
}

void TransferPlanner::Impl::runCheck(Transfer &transfer, PathCheck check)
{
    if (check.rank > 0) {
        runFallback(transfer, check);
        return;
    }
    const Duration delay = fallbackDelay(transfer);
    if (hasUsableHolder(transfer, check.chunk)) {
        check.due = m_now + jittered(delay / 2, m_random);
        transfer.checks.push(check);
        return;
    }
    const bool overRegion = transfer.region != transfer.order.originRegion;
    const bool stalled = m_now >= transfer.pathProgress(check.chunk) + delay;
    const std::uint32_t window = m_settings.regionWindow * (stalled ? 4 : 1);
    const bool uplinkStalled = m_uploads.isStalled(
            m_now, UplinkStallChunkTimes * chunkTime(transfer, m_settings.hostRate));
    const bool canStart =
            !uplinkStalled && (!overRegion || transfer.unseenBefore(check.chunk) <= window);
    if (canStart && fetchOverPath(transfer, check.chunk, false))
        return;
    const double rate = overRegion ? m_settings.regionLinkRate : m_settings.originRate;
    check.due = m_now
                + std::max(jittered(chunkTime(transfer, rate) / 2, m_random),
                           Duration(std::chrono::milliseconds(1)));
    if (!overRegion)
        check.due = std::max(check.due, m_peers.origin().availableAt);
    transfer.checks.push(check);
}

void TransferPlanner::Impl::runFallback(Transfer &transfer, PathCheck check)
{
    const Duration delay = fallbackDelay(transfer);
    const Duration wait = delay * ((1 << std::min(check.rank, MaxRankDoublings)) - 1);
    if (check.overdue && hasUsableHolder(transfer, check.chunk)) {
        check.due = m_now + jittered(delay / 4, m_random);
        transfer.checks.push(check);
        return;
    }
    if (check.overdue) {
        if (requestFromRetainingHost(transfer, check.chunk))
            return;
        check.due = m_now + jittered(delay, m_random);
        if (!fetchOverPath(transfer, check.chunk, true))
            transfer.checks.push(check);
        return;
    }
    const bool overRegion = transfer.region != transfer.order.originRegion;
    const bool passed = transfer.pathPassed(check.chunk, overRegion ? m_settings.regionWindow / 2
                                                                    : PassedDistance);
    const bool stalled = m_now >= transfer.pathProgress(check.chunk) + delay;
    check.overdue = passed || stalled;
    check.due = m_now + (check.overdue ? jittered(wait, m_random) : jittered(delay / 4, m_random));
    transfer.checks.push(check);
}

bool TransferPlanner::Impl::requestFromRetainingHost(Transfer &transfer, ChunkIndex chunk)
{
    // Each call tries the next retaining host; after the last one, the path is used. The number of
    // attempts cannot select the host, as other requests for the chunk are made in between.
    const std::uint32_t turn = transfer.retainingHostTurns[chunk]++ % (RetainingHostsTried + 1);
    const std::vector<HostId> hosts =
            transfer.topRanked(transfer.region, chunk, RetainingHostsTried);
    for (std::size_t i = turn; i < hosts.size(); ++i) {
        const SourceState &peer = m_peers.at(hosts[i]);
        if (hosts[i] == m_self || !peer.usable(m_now) || peer.failures > 0
            || peer.outstanding >= m_settings.maxRequestsPerPeer)
            continue;
        if (request(transfer, chunk, Path::RegionPeer, hosts[i], true)) {
            ++counters.requestsSpeculative;
            return true;
        }
    }
    return false;
}

bool TransferPlanner::Impl::fetchOverPath(Transfer &transfer, ChunkIndex chunk, bool fallback)
{
    const std::optional<RegionId> from = transfer.sourceRegion(chunk);
    if (!from)
        return fetchFromOrigin(transfer, chunk, fallback);
    if (m_regionOutstanding >= m_settings.maxRegionRequests)
        return false;
    const auto usable = [&](const HostId &host) {
        const SourceState &peer = m_peers.at(host);
        return peer.usable(m_now) && peer.outstanding < m_settings.maxRequestsPerPeer;
    };
    const auto failures = transfer.pathFailures.find(chunk);
    const std::uint32_t failed = failures == transfer.pathFailures.end() ? 0 : failures->second;
    const HostId *best = nullptr;
    for (const auto &[host, view] : transfer.views) {
        if (!view.sameRegion && view.have.contains(chunk) && usable(host)
            && (failed > 0 || transfer.participants.at(host).region == *from)
            && (!best || m_peers.at(host).failures < m_peers.at(*best).failures))
            best = &host;
    }
    if (best) {
        counters.regionTakeovers += fallback;
        return request(transfer, chunk, Path::OtherRegion, *best);
    }
    const bool stalled = m_now >= transfer.pathProgress(chunk) + fallbackDelay(transfer);
    if (!fallback && !stalled && failed == 0)
        return false;
    // No host announced the chunk: try those that are expected to hold it, one after the other.
    const std::vector<HostId> hosts = transfer.likelyHolders(chunk);
    for (std::size_t i = failed % (hosts.size() + 1); i < hosts.size(); ++i) {
        if (!usable(hosts[i]))
            continue;
        ++counters.requestsSpeculative;
        counters.regionTakeovers += fallback;
        return request(transfer, chunk, Path::OtherRegion, hosts[i]);
    }
    return fetchFromOrigin(transfer, chunk, true);
}

bool TransferPlanner::Impl::fetchFromOrigin(Transfer &transfer, ChunkIndex chunk, bool fallback)
{
    if (m_originOutstanding >= m_settings.maxOriginRequests || !m_peers.origin().usable(m_now))
        return false;
    if ((fallback || transfer.attempts[chunk] > 0) && !consumeOriginRetry())
        return false;
    counters.originFallbacks += fallback;
    return request(transfer, chunk, Path::Origin, HostId());
}

bool TransferPlanner::Impl::consumeOriginRetry()
{
    m_originRetries =
            std::min<double>(m_settings.originRetryBurst,
                             m_originRetries
                                     + m_settings.originRetriesPerSecond
                                               * toSeconds(m_now - m_originRetriesRefilledAt));
    m_originRetriesRefilledAt = m_now;
    if (m_originRetries < 1)
        return false;
    m_originRetries -= 1;
    return true;
}

void TransferPlanner::Impl::recordReceived(std::uint32_t bytes)
{
    m_receivedBytes += bytes;
    const double seconds = toSeconds(m_now - m_receiveWindowStart);
    if (seconds < RateWindowSeconds)
        return;
    const double rate = static_cast<double>(m_receivedBytes) / seconds;
    m_receiveRate += RateGain * (rate - m_receiveRate);
    m_receivedBytes = 0;
    m_receiveWindowStart = m_now;
}

bool TransferPlanner::Impl::hasRequestCapacity(const Transfer &transfer)
{
    if (m_settings.maxQueueTime == Duration::zero())
        return true;
    if (m_requests.empty()) {
        // Time without outstanding requests does not count for the receive rate.
        m_receivedBytes = 0;
        m_receiveWindowStart = m_now;
    }
    const double queue = m_receiveRate * toSeconds(m_settings.maxQueueTime);
    const double chunks = queue / transfer.manifest().chunkBytes;
    return static_cast<double>(m_requests.size()) < std::max(MinOutstanding, chunks);
}

bool TransferPlanner::Impl::request(Transfer &transfer, ChunkIndex chunk, Path path,
                                    const HostId &from, bool speculative)
{
    const std::uint32_t bytes = transfer.manifest().chunkSize(chunk);
    if (!hasRequestCapacity(transfer) || !reserve(transfer, bytes))
        return false;
    const ChunkRequestId id = m_nextRequest++;
    const Request &added = m_requests
                                   .emplace(id, Request{transfer.id, chunk, path, from, bytes,
                                                        m_now, m_now, speculative})
                                   .first->second;
    m_reservedBytes += bytes;
    ++source(added).outstanding;
    ++transfer.activeRequests[chunk];
    transfer.wanted.erase(chunk);
    m_originOutstanding += path == Path::Origin;
    m_regionOutstanding += path == Path::OtherRegion;
    transfer.outstanding += path == Path::RegionPeer;
    ++(path == Path::Origin        ? counters.requestsToOrigin
       : path == Path::OtherRegion ? counters.requestsToOtherRegions
                                   : counters.requestsToRegionPeers);
    m_actions.push_back(
            RequestChunk{id, transfer.id, chunk, transfer.manifest().chunks[chunk], bytes,
                         path == Path::Origin ? std::nullopt : std::optional<HostId>(from),
                         ++transfer.attempts[chunk]});
    return true;
}

std::optional<ChunkIndex> TransferPlanner::Impl::rarestWanted(const Transfer &transfer,
                                                              const PeerView &view)
{
    const std::size_t words = transfer.wanted.wordCount();
    const std::size_t first = m_random.below(words);
    std::optional<ChunkIndex> best;
    std::uint32_t ties = 0;
    for (std::size_t i = 0; i < words && (i < ScanWords || !best); ++i) {
        const std::size_t w = (first + i) % words;
        for (std::uint64_t bits = transfer.wanted.word(w) & view.have.word(w); bits;
             bits &= bits - 1) {
            const auto chunk = static_cast<ChunkIndex>(w * 64 + std::countr_zero(bits));
            if (best && transfer.availability[chunk] > transfer.availability[*best])
                continue;
            if (!best || transfer.availability[chunk] < transfer.availability[*best])
                ties = 0;
            if (m_random.below(++ties) == 0)
                best = chunk;
        }
    }
    return best;
}

bool TransferPlanner::Impl::requestFromPeer(Transfer &transfer)
{
    // Peers in order of the expected completion time of a further request.
    struct Candidate
    {
        double cost;
        const HostId *host;
        const PeerView *view;
    };
    std::vector<Candidate> candidates;
    for (const auto &[host, view] : transfer.views) {
        if (!view.sameRegion || view.have.count() == 0)
            continue;
        const SourceState &peer = m_peers.at(host);
        if (!peer.usable(m_now)) {
            m_retryAt = std::min(m_retryAt.value_or(peer.availableAt), peer.availableAt);
            continue;
        }
        if (peer.outstanding >= m_settings.maxRequestsPerPeer)
            continue;
        const double rate = peer.rate > 0 ? peer.rate : m_settings.hostRate / 4;
        const double queue = 1 + peer.outstanding + peer.backlog;
        candidates.push_back({queue / rate * (0.8 + 0.4 * m_random.uniform()), &host, &view});
    }
    std::ranges::sort(candidates, {}, &Candidate::cost);
    for (const Candidate &candidate : candidates) {
        const std::optional<ChunkIndex> chunk = rarestWanted(transfer, *candidate.view);
        if (chunk)
            return request(transfer, *chunk, Path::RegionPeer, *candidate.host);
    }
    return false;
}

bool TransferPlanner::Impl::requestEndgame(Transfer &transfer)
{
    if (transfer.wanted.count() > 0 || transfer.activeRequests.size() > m_settings.maxPeerRequests)
        return false;
    for (const auto &[chunk, active] : transfer.activeRequests) {
        if (active >= MaxEndgameRequests)
            continue;
        for (const auto &[host, view] : transfer.views) {
            const bool asked = std::ranges::any_of(
                    m_requests, [&, chunk = chunk, &host = host](const auto &entry) {
                        return entry.second.chunk == chunk && entry.second.transfer == transfer.id
                               && entry.second.source == host;
                    });
            if (asked || !view.sameRegion || !view.have.contains(chunk)
                || !m_peers.at(host).usable(m_now) || m_peers.at(host).outstanding > 0)
                continue;
            ++counters.requestsEndgame;
            return request(transfer, chunk, Path::RegionPeer, host);
        }
    }
    return false;
}

void TransferPlanner::Impl::fillRequests(Transfer &transfer, std::uint32_t limit)
{
    while (transfer.outstanding < limit && transfer.wanted.count() > 0) {
        if (!requestFromPeer(transfer))
            break;
    }
    while (transfer.outstanding < limit && requestEndgame(transfer)) {
    }
}

void TransferPlanner::Impl::fillAllRequests()
{
    std::uint64_t weights = 0;
    std::vector<Transfer *> active;
    for (const auto &[id, transfer] : m_transfers) {
        if (transfer->verified.full())
            continue;
        active.push_back(transfer.get());
        weights += std::max(transfer->order.weight, 1U);
    }
    std::ranges::stable_sort(active, std::greater<>(),
                             [](const Transfer *transfer) { return transfer->order.weight; });
    for (Transfer *transfer : active) {
        const std::uint64_t share = static_cast<std::uint64_t>(m_settings.maxPeerRequests)
                                    * std::max(transfer->order.weight, 1U) / weights;
        fillRequests(*transfer, static_cast<std::uint32_t>(std::max<std::uint64_t>(share, 1)));
    }
}

void TransferPlanner::Impl::run()
{
    m_retryAt.reset();
    expireRequests();
    for (const auto &[id, transfer] : m_transfers) {
        deliver(*transfer);
        runChecks(*transfer);
        freeUnretained(*transfer);
        refreshViews(*transfer);
    }
    fillAllRequests();
    startUploads();
    for (const auto &[id, transfer] : m_transfers)
        announce(*transfer);
}

std::optional<TimePoint> TransferPlanner::Impl::nextTick() const
{
    std::optional<TimePoint> next = m_retryAt;
    const auto consider = [&](TimePoint time) { next = std::min(next.value_or(time), time); };
    for (const auto &[id, request] : m_requests)
        consider(request.lastProgress + stallTimeout(request));
    for (const auto &[id, transfer] : m_transfers) {
        if (!transfer->checks.empty())
            consider(transfer->checks.top().due);
        if (!transfer->pendingAdded.empty() || !transfer->pendingRemoved.empty())
            consider(transfer->lastAnnounce + m_settings.announceInterval);
        if (transfer->freeAt)
            consider(*transfer->freeAt);
        if (transfer->refreshAt)
            consider(*transfer->refreshAt);
    }
    return next ? std::optional(std::max(*next, m_now) + m_skippedTime) : std::nullopt;
}

} // namespace godwit
