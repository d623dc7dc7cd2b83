#pragma once

#include <godwit/settings/daemonsettings.h>

#include <optional>

namespace godwit {

/// Where a process of a fleet listens. Endpoints with port 0 are not served.
struct FleetListenSettings
{
    Endpoint callers;   ///< Clients; entry role only.
    Endpoint readiness; ///< The platform's balancer; entry role only.
    Endpoint peers;     ///< Other processes of the fleet.
    Endpoint metrics;

    friend bool operator==(const FleetListenSettings &, const FleetListenSettings &) = default;
};

/// Bounds that the operators set for all processes together.
struct FleetBounds
{
    Duration leave = std::chrono::seconds(8);         ///< From SIGTERM to SIGKILL.
    Duration keyRevocation = std::chrono::seconds(5); ///< Until a key that was taken away is dead.
    bool strictRevocation = true;                     ///< Also on hosts without the store.
    Duration versionChange = std::chrono::seconds(8); ///< From naming a version to its use.
    /// For this long after an outage of the store, the other bounds do not count.
    Duration reconnection = std::chrono::seconds(3);
    double retryShare = 0.1; ///< Of the requests of a service.
    double retrySlack = 0;   ///< Retries besides, in each window.
    Duration retryWindow = std::chrono::seconds(10);

    friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

/// The backend server beside which a host process runs.
struct LocalEngineSettings
{
    Endpoint endpoint;
    std::string service;

    friend bool operator==(const LocalEngineSettings &, const LocalEngineSettings &) = default;
};

/// All settings of one `godwitd` process that takes its configuration from the operators' platform.
/// Filled by parseFleetSettings().
struct FleetSettings
{
    DaemonRole role = DaemonRole::Entry;
    HostId host;
    ZoneId zone;
    RegionId region;
    std::vector<ZoneSettings> zones;
    Endpoint store;               ///< Key-value service of the platform.
    double linkBitsPerSecond = 0; ///< Of the host's own link; 0 means not limited.
    FleetListenSettings listen;
    FleetBounds bounds;
    std::optional<LocalEngineSettings> engine; ///< Host role only.

    friend bool operator==(const FleetSettings &, const FleetSettings &) = default;
};

} // namespace godwit
