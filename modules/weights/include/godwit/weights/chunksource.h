#pragma once

#include <godwit/base/resultcode.h>

namespace godwit {

/// Maps the result code of a failed chunk request to one that TransferPlanner::chunkFailed()
/// distinguishes: ChunkNotHeld, UploadSlotsBusy, PlatformUnreachable (no connection to the origin)
/// and OriginRefused. Any other failure becomes ChunkSourceUnreachable.
ResultCode chunkSourceCode(ResultCode code);

} // namespace godwit
