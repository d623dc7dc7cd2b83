#pragma once

#include <godwit/weights/transferaction.h>
#include <godwit/weights/transfercounters.h>
#include <godwit/weights/transferorder.h>
#include <godwit/weights/transfersettings.h>

#include <godwit/base/random.h>
#include <godwit/base/time.h>

#include <map>
#include <memory>
#include <optional>

namespace godwit {

/// Progress of one transfer, as shown to operators.
struct TransferStatus
{
    Digest transfer;
    ChunkIndex chunks = 0;
    ChunkIndex verified = 0; ///< Chunks verified on this host.
    ChunkIndex accepted = 0; ///< Chunks accepted by the engine.
    std::uint32_t outstanding = 0;
    bool servable = false;
};

/// Plans all weight transfers of one host. It uses no sockets and no clock: each event takes the
/// current time and returns the actions to execute, in order. Events with unknown or stale ids are
/// ignored, so that late and duplicate replies are harmless.
///
/// A chunk is verified before it is stored, served, announced or delivered. A clock jump of more
/// than TransferSettings::clockJumpThreshold, in either direction, neither expires nor suspends
/// timeouts; after a smaller step back, the latest time seen is used.
class TransferPlanner
{
public:
    TransferPlanner(HostId self, TransferSettings settings, std::uint64_t seed);
    ~TransferPlanner();
    TransferPlanner(TransferPlanner &&) noexcept;
    TransferPlanner &operator=(TransferPlanner &&) noexcept;

    /// Sets TransferSettings::originRate, for transfers in progress as well.
    void setOriginRate(double bytesPerSecond);

    /// Starts a transfer. Unless TransferOrder::keepOtherVersions is set, it supersedes unfinished
    /// transfers of other versions of the same model or adapter, whose chunks are reused by
    /// content. If the transfer is already servable, this is reported again without fetching
    /// anything. An invalid manifest or a missing base version is reported by ReportFailed.
    TransferActions start(TimePoint now, TransferOrder order);

    /// Ends a transfer at any point and frees its chunks. Transfers of its adapters fail with it.
    TransferActions cancel(TimePoint now, const Digest &transfer);

    /// A host was added to the transfer (a late joiner, or a host list that arrived late).
    TransferActions peerJoined(TimePoint now, const Digest &transfer, const Participant &peer);

    /// A host left or died; it is removed from all transfers.
    TransferActions peerLeft(TimePoint now, const HostId &peer);

    /// An update about the chunks that \a peer holds arrived from it.
    TransferActions peerHave(TimePoint now, const HostId &peer, const HaveUpdate &update);

    /// \a peer requests the chunk \a digest.
    TransferActions chunkRequested(TimePoint now, const HostId &peer, const Digest &digest,
                                   UploadId upload);

    /// An upload ended. \a delivered is false if the connection failed or the peer cancelled the
    /// request. A host none of whose uploads is delivered starts no origin or inter-region fetches
    /// and leaves them to the next host in rank.
    TransferActions uploadFinished(TimePoint now, UploadId upload, bool delivered = true);

    /// Bytes of an outstanding request arrived; restarts its stall timeout.
    void chunkProgress(TimePoint now, ChunkRequestId request);

    /// The complete reply to a request arrived.
    TransferActions chunkArrived(TimePoint now, ChunkRequestId request, ChunkBytes bytes);

    /// The host found the \a bytes of a chunk without requesting it, for example in the engine's
    /// staging area. Bytes that do not match the digest are discarded.
    TransferActions chunkFound(TimePoint now, const Digest &transfer, ChunkIndex chunk,
                               ChunkBytes bytes);

    /// The bytes of a chunk that the engine accepted can be read back from it and are dropped from
    /// the store. ServeChunk has no bytes for such a chunk.
    TransferActions chunkUnloaded(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// An unloaded chunk could not be read back; it is announced as no longer held.
    TransferActions chunkLost(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// A request failed with \a code; \a retryAfter is the delay that the source asked for.
    TransferActions chunkFailed(TimePoint now, ChunkRequestId request, ResultCode code,
                                Duration retryAfter = Duration::zero());

    /// The engine accepted a chunk; its bytes may be evicted from now on.
    TransferActions engineAccepted(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// The engine confirmed the load after FinishLoad.
    TransferActions engineLoaded(TimePoint now, const Digest &transfer);

    /// The engine rejected the load or lost it; the transfer fails with \a error.
    TransferActions engineFailed(TimePoint now, const Digest &transfer, Error error);

    /// Handles due timeouts, scheduled fetches and announcements. Call it at nextTick() or earlier.
    TransferActions tick(TimePoint now);

    /// Time by which tick() must be called; none if nothing is pending.
    std::optional<TimePoint> nextTick() const;

    std::vector<TransferStatus> status() const;
    const TransferCounters &counters() const;
    const ChunkStore &store() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace godwit
