#include <godwit/weights/chunksource.h>

namespace godwit {

ResultCode chunkSourceCode(ResultCode code)
{
    switch (code) {
    case ResultCode::ChunkNotHeld:
    case ResultCode::UploadSlotsBusy:
    case ResultCode::PlatformUnreachable:
        return code;
    case ResultCode::PlatformRefused:
        return ResultCode::OriginRefused;
    default:
        return ResultCode::ChunkSourceUnreachable;
    }
}

} // namespace godwit
