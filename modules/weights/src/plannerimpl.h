#pragma once

#include "peertable.h"
#include "transfer.h"
#include "uploadqueue.h"

#include <godwit/weights/transferplanner.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace godwit {

/// Implementation of TransferPlanner. Events are handled in plannerevents.cpp, fetches are chosen
/// in plannerfetch.cpp, and uploads, announcements and memory are managed in plannershare.cpp.
class TransferPlanner::Impl
{
public:
    Impl(HostId self, TransferSettings settings, std::uint64_t seed);

    void setOriginRate(double bytesPerSecond) { m_settings.originRate = bytesPerSecond; }
    void start(TransferOrder order);
    void cancel(const Digest &id);
    void peerJoined(const Digest &id, const Participant &peer);
    void peerLeft(const HostId &peer);
    void peerHave(const HostId &peer, const HaveUpdate &update);
    void chunkRequested(const HostId &peer, const Digest &digest, UploadId upload);
    void uploadFinished(UploadId upload, bool delivered);
    void chunkProgress(ChunkRequestId request);
    void chunkArrived(ChunkRequestId request, ChunkBytes bytes);
    void chunkFound(const Digest &id, ChunkIndex chunk, ChunkBytes bytes);
    void chunkUnloaded(const Digest &id, ChunkIndex chunk);
    void chunkLost(const Digest &id, ChunkIndex chunk);
    void completeChunk(Transfer &transfer, ChunkIndex chunk);
    void refreshViews(Transfer &transfer);
    /// Asks some of \a peers what they hold.
    void requestViews(Transfer &transfer, const std::vector<HostId> &peers);
    void chunkFailed(ChunkRequestId request, ResultCode code, Duration retryAfter);
    void engineAccepted(const Digest &id, ChunkIndex chunk);
    void engineLoaded(const Digest &id);
    void engineFailed(const Digest &id, Error error);

    /// Sets the current time; leaves out jumps of the clock and never goes back.
    void advanceClock(TimePoint now);
    /// Handles due timeouts and schedules, and issues requests, uploads and announcements. Called
    /// after each event.
    void run();
    TransferActions takeActions() { return std::exchange(m_actions, {}); }
    std::optional<TimePoint> nextTick() const;
    std::vector<TransferStatus> status() const;

    TransferCounters counters;
    ChunkStore store;

private:
    enum class Path { RegionPeer, OtherRegion, Origin };

    struct Request
    {
        Digest transfer;
        ChunkIndex chunk = 0;
        Path path = Path::RegionPeer;
        HostId source; ///< Empty for the origin.
        std::uint32_t bytes = 0;
        TimePoint sent;
        TimePoint lastProgress;
        bool speculative = false; ///< The peer had not announced the chunk.
    };

    using Requests = std::map<ChunkRequestId, Request>;

    // Events
    Transfer *find(const Digest &id);
    void reuseStoredChunks(Transfer &transfer);
    void supersedeOtherVersions(const Manifest &manifest, Transfer &successor);
    bool hasBase(const Manifest &manifest) const;
    bool isBaseServable(const Manifest &manifest) const;
    void endTransfer(const Digest &id, ResultCode code, const std::string &detail);
    void failDependents(const Manifest &base);
    void addVerified(Transfer &transfer, ChunkIndex chunk);
    void handleBadChunk(Request request, ResultCode code);
    void updateView(Transfer &transfer, const HostId &peer, const HaveUpdate &update);
    void setHeld(Transfer &transfer, PeerView &view, ChunkIndex chunk, bool held);
    /// Calls setHeld() for all chunks with the bytes of \a chunk; ignores one out of range.
    void setEqualHeld(Transfer &transfer, PeerView &view, ChunkIndex chunk, bool held);
    void removePeer(Transfer &transfer, const HostId &peer);

    // Fetching
    SourceState &source(const Request &request);
    Request endRequest(Requests::iterator it);
    void scheduleRetry(const Request &request);
    void cancelRequestsFor(Transfer &transfer, ChunkIndex chunk);
    void cancelRequestsTo(const HostId &peer);
    void expireRequests();
    Duration stallTimeout(const Request &request) const;
    void rebuildChecks(Transfer &transfer);
    void runChecks(Transfer &transfer);
    void runCheck(Transfer &transfer, PathCheck check);
    bool hasOnlyFailingRequests(const Transfer &transfer, ChunkIndex chunk);
    void runFallback(Transfer &transfer, PathCheck check);
    bool fetchOverPath(Transfer &transfer, ChunkIndex chunk, bool fallback);
    bool fetchFromOrigin(Transfer &transfer, ChunkIndex chunk, bool fallback);
    bool requestFromRetainingHost(Transfer &transfer, ChunkIndex chunk);
    bool hasUsableHolder(const Transfer &transfer, ChunkIndex chunk);
    TimePoint scheduledAt(const Transfer &transfer, ChunkIndex chunk) const;
    Duration fallbackDelay(const Transfer &transfer) const;
    Duration chunkTime(const Transfer &transfer, double rate) const;
    void fillRequests(Transfer &transfer, std::uint32_t limit);
    void fillAllRequests();
    bool requestFromPeer(Transfer &transfer);
    bool requestEndgame(Transfer &transfer);
    std::optional<ChunkIndex> rarestWanted(const Transfer &transfer, const PeerView &view);
    bool request(Transfer &transfer, ChunkIndex chunk, Path path, const HostId &source,
                 bool speculative = false);
    bool consumeOriginRetry();
    /// Adds \a bytes to the measurement of the receive rate.
    void recordReceived(std::uint32_t bytes);
    bool hasRequestCapacity(const Transfer &transfer);

    // Sharing
    bool reserve(Transfer &transfer, std::uint32_t bytes);
    bool evictOne(Transfer &transfer);
    TimePoint retainUntil(const Transfer &transfer) const;
    /// Drops \a chunk and those with equal bytes.
    void dropChunk(Transfer &transfer, ChunkIndex chunk);
    void updateRetained(Transfer &transfer);
    void freeUnretained(Transfer &transfer);
    bool neighbourLacksChunks(const Transfer &transfer) const;
    void deliver(Transfer &transfer);
    void announce(Transfer &transfer);
    void announceToTargetRegions(Transfer &transfer, ChunkIndex chunk);
    void sendFullUpdate(Transfer &transfer, const HostId &peer, bool wantReply);
    /// Size of each chunk except the last.
    std::uint64_t nominalChunkBytes(const Digest &id);
    void startUploads();

    HostId m_self;
    TransferSettings m_settings;
    Random m_random;
    PeerTable m_peers;
    UploadQueue m_uploads;
    std::map<Digest, std::unique_ptr<Transfer>> m_transfers;
    Requests m_requests;
    ChunkRequestId m_nextRequest = 1;
    std::uint64_t m_reservedBytes = 0;
    std::uint32_t m_originOutstanding = 0;
    std::uint32_t m_regionOutstanding = 0;
    double m_originRetries;
    TimePoint m_originRetriesRefilledAt{};
    double m_receiveRate;              ///< Bytes per second while requests are outstanding.
    std::uint64_t m_receivedBytes = 0; ///< Since m_receiveWindowStart.
    TimePoint m_receiveWindowStart{};
    std::optional<TimePoint> m_retryAt; ///< Earliest time at which a skipped source is usable.
    TimePoint m_now{};
    Duration m_skippedTime{}; ///< Sum of the clock jumps that were left out.
    bool m_started = false;
    TransferActions m_actions;
};

} // namespace godwit
