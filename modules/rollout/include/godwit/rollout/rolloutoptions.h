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
    /// A wanted version is on all engines after this time.
    Duration versionTime = std::chrono::seconds(8);
    /// From an order to load until the engine serves: requests that run come to their end, and the
    /// weights are loaded.
    Duration loadTime = std::chrono::milliseconds(3500);
    /// Between two looks at the engine's report.
    Duration engineInterval = std::chrono::milliseconds(1000);
};

} // namespace godwit
