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

/// Number of a chunk request of this host; never reused.
using ChunkRequestId = std::uint64_t;

/// Number of an incoming chunk request, chosen by the caller of the planner.
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
    std::uint32_t attempt = 1; ///< Of this chunk, from 1.
};

/// Stops an outstanding request; no further report is needed.
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

/// Sends verified bytes as the answer to an incoming request. uploadFinished() must follow.
struct ServeChunk
{
    UploadId upload = 0;
    HostId peer;
    Digest digest;
    ChunkBytes bytes; ///< Null if the chunk was unloaded; the receiver of this reads it back.
    Digest transfer;
    std::uint32_t weight = 1; ///< Priority weight of the transfer.
    RegionId region;          ///< Of the peer if it is not the region of this host, else empty.
};

/// Answers an incoming request with a refusal (UploadSlotsBusy or ChunkNotHeld).
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

/// All chunks have been accepted: the engine finishes the load. engineLoaded() must follow.
struct FinishLoad
{
    Digest transfer;
};

/// The engine has confirmed the complete, verified set; the version may serve on this host.
struct ReportServable
{
    Digest transfer;
};

/// The transfer ended without success. The engine drops what it received of it.
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
