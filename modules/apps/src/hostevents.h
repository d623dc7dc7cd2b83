#pragma once

#include "controlevents.h"

#include <godwit/weights/haveupdate.h>
#include <godwit/weights/transferaction.h>

#include <string>

namespace godwit {

struct HaveUpdateArrived
{
    HostId from;
    std::string text;
};

struct ChunkRequestArrived
{
    HostId from;
    Digest digest;
    UploadId upload = 0;
};

struct UploadEnded
{
    UploadId upload = 0;
    bool isDelivered = true; ///< False if the peer went away before it had all bytes.
};

} // namespace godwit
