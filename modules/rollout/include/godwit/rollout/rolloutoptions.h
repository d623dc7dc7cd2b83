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
    /// From the naming of a version on until older ones may serve no longer.
    Duration versionTime = std::chrono::seconds(8);
    /// Between two looks at the engine's report.
    Duration engineInterval = std::chrono::milliseconds(1000);
};

} // namespace godwit
