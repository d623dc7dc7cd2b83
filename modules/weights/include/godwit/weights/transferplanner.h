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

/// What an operator sees of one transfer.
struct TransferStatus
{
    Digest transfer;
    ChunkIndex chunks = 0;
    ChunkIndex verified = 0; ///< Chunks that were verified on this host.
    ChunkIndex accepted = 0; ///< Chunks that the engine accepted.
    std::uint32_t outstanding = 0;
    bool servable = false;
};

/// Plans all weight transfers of one host. It has no sockets and no clock: each event takes the
/// current time and returns the actions to carry out, in order. Events with unknown or stale
/// numbers are dropped, so that late and duplicate replies are harmless.
///
/// A chunk is verified before it is stored, served, announced or delivered. A clock that
/// jumps by more than TransferSettings::clockJump, in either direction, neither expires nor stops
/// the timeouts; a smaller step back is replaced by the latest time seen.
class TransferPlanner
{
public:
    TransferPlanner(HostId self, TransferSettings settings, std::uint64_t seed);
    ~TransferPlanner();
    TransferPlanner(TransferPlanner &&) noexcept;
    TransferPlanner &operator=(TransferPlanner &&) noexcept;

    /// Starts a transfer. An unfinished transfer of another version of the same model or adapter
    /// is abandoned; its chunks are reused by content. A transfer that is servable already is
    /// reported again without bytes. Reports failure of an invalid manifest
    /// or a missing base version by ReportFailed.
    TransferActions start(TimePoint now, TransferOrder order);

    /// Ends a transfer at any point and frees its chunks. An adapter of it fails with it.
    TransferActions cancel(TimePoint now, const Digest &transfer);

    /// A host was added to the order (late joiner, or a late host list).
    TransferActions peerJoined(TimePoint now, const Digest &transfer, const Participant &peer);

    /// A host left or is dead; it is removed from all transfers.
    TransferActions peerLeft(TimePoint now, const HostId &peer);

    /// A message about held chunks arrived from \a peer.
    TransferActions peerHave(TimePoint now, const HostId &peer, const HaveUpdate &update);

    /// \a peer requests the chunk \a digest.
    TransferActions chunkRequested(TimePoint now, const HostId &peer, const Digest &digest,
                                   UploadId upload);

    /// An upload ended. \a delivered is false if the connection failed or the peer withdrew the
    /// request; a host whose uploads all end so leaves its origin fetches to the next in rank.
    TransferActions uploadFinished(TimePoint now, UploadId upload, bool delivered = true);

    /// Bytes of an outstanding request arrived; defers its stall timeout.
    void chunkProgress(TimePoint now, ChunkRequestId request);

    /// The complete reply to a request.
    TransferActions chunkArrived(TimePoint now, ChunkRequestId request, ChunkBytes bytes);

    /// The host has found \a bytes of a chunk without a request, for example in the engine's
    /// staging area. Bytes that do not match the digest are dropped.
    TransferActions chunkFound(TimePoint now, const Digest &transfer, ChunkIndex chunk,
                               ChunkBytes bytes);

    /// The bytes of a chunk that the engine accepted can be read back from it, and are dropped
    /// here. ServeChunk comes without bytes then.
    TransferActions chunkUnloaded(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// An unloaded chunk could not be read back; peers hear that it is no longer held.
    TransferActions chunkLost(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// A request failed with \a code; \a retryAfter is the wait that the source asked for.
    TransferActions chunkFailed(TimePoint now, ChunkRequestId request, ResultCode code,
                                Duration retryAfter = Duration::zero());

    /// The engine accepted a chunk; its bytes may be evicted from now on.
    TransferActions engineAccepted(TimePoint now, const Digest &transfer, ChunkIndex chunk);

    /// The engine confirmed the load after FinishLoad.
    TransferActions engineLoaded(TimePoint now, const Digest &transfer);

    /// The engine rejected the load or lost it; the transfer fails with \a error.
    TransferActions engineFailed(TimePoint now, const Digest &transfer, Error error);

    /// Handles timeouts, schedules and announcements. Call it at nextTick() or earlier.
    TransferActions tick(TimePoint now);

    /// Time of the next necessary tick(); none if nothing is in progress.
    std::optional<TimePoint> nextTick() const;

    std::vector<TransferStatus> status() const;
    const TransferCounters &counters() const;
    const ChunkStore &store() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace godwit
