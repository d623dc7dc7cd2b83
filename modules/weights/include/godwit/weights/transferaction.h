#pragma once

#include <godwit/weights/chunkstore.h>
#include <godwit/weights/haveupdate.h>

#include <godwit/base/error.h>
#include <godwit/base/ids.h>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace godwit {

/// Identifies a chunk request of this host; never reused.
using ChunkRequestId = std::uint64_t;

/// Identifies an incoming chunk request; chosen by the caller of the planner.
using UploadId = std::uint64_t;

/// Requests a chunk from a peer, or from the origin if `source` is empty. The outcome is reported
/// by chunkProgress(), chunkArrived() and chunkFailed() with `request`.
struct RequestChunk
{
    ChunkRequestId request = 0;
    Digest transfer;
    ChunkIndex chunk = 0;
    Digest digest;
    std::uint32_t bytes = 0;
    std::optional<HostId> source;
    std::uint32_t attempt = 1; ///< Number of this attempt for the chunk, from 1.
};

/// Cancels an outstanding request; its outcome need not be reported.
struct CancelRequest
{
    ChunkRequestId request = 0;
};

/// Sends `update` to `peer`.
struct AnnounceHave
{
    HostId peer;
    HaveUpdate update;
};

/// Sends verified bytes in reply to an incoming request. uploadFinished() must follow.
struct ServeChunk
{
    UploadId upload = 0;
    HostId peer;
    Digest digest;
    ChunkBytes bytes; ///< Null if the chunk was unloaded; the caller has to read it back.
    Digest transfer;
    std::uint32_t weight = 1; ///< Priority weight of the transfer.
    RegionId region;          ///< Region of the peer; empty if it is that of this host.
};

/// Refuses an incoming request with UploadSlotsBusy or ChunkNotHeld.
struct RefuseChunk
{
    UploadId upload = 0;
    HostId peer;
    ResultCode code = ResultCode::ChunkNotHeld;
};

/// Passes a verified chunk to the load operation of the engine. engineAccepted() must follow.
struct DeliverToEngine
{
    Digest transfer;
    ChunkIndex chunk = 0;
    ChunkBytes bytes;
};

/// Tells the engine to finish the load, as it has accepted all chunks. engineLoaded() must follow.
struct FinishLoad
{
    Digest transfer;
};

/// The engine has confirmed the complete, verified weights; this host may serve the version.
struct ReportServable
{
    Digest transfer;
};

/// The transfer failed or was cancelled. The engine has to drop what it received of it.
struct ReportFailed
{
    Digest transfer;
    Error error;
};

using TransferAction =
        std::variant<RequestChunk, CancelRequest, AnnounceHave, ServeChunk, RefuseChunk,
                     DeliverToEngine, FinishLoad, ReportServable, ReportFailed>;
using TransferActions = std::vector<TransferAction>;

} // namespace godwit
