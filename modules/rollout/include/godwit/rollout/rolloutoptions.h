#pragma once

#include <godwit/base/time.h>
#include <godwit/weights/participant.h>
#include <godwit/weights/transfersettings.h>

#include <cstddef>

namespace godwit {

/// Settings of a VersionRollout.
struct RolloutOptions
{
    /// This host. The list of participants may lack it until its backend server has registered.
    Participant self;
    TransferSettings transfer;
    /// Interval between two reads of the engine's report.
    Duration enginePollInterval = std::chrono::milliseconds(1000);
    /// Staged chunks that are kept in memory for peers that request them soon; older ones are read
    /// back from the engine.
    std::size_t maxCachedChunks = 16;
};

} // namespace godwit
