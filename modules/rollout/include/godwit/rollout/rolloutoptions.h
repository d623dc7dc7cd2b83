#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/weights/transfersettings.h>

namespace godwit {

/// Settings of a VersionRollout.
struct RolloutOptions
{
    HostId self;
    TransferSettings transfer;
    /// Between two looks at the engine's report.
    Duration engineInterval = std::chrono::milliseconds(1000);
};

} // namespace godwit
