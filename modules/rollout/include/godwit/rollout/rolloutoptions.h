#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/weights/transfersettings.h>

#include <cstddef>

namespace godwit {

/// Settings of a VersionRollout.
struct RolloutOptions
{
    HostId self;
    TransferSettings transfer;
    /// Between two looks at the engine's report.
    Duration engineInterval = std::chrono::milliseconds(1000);
    /// Staged pieces that stay in memory, for the peers that ask for them soon; others are read
    /// back from the engine.
    std::size_t piecesInMemory = 16;
};

} // namespace godwit
