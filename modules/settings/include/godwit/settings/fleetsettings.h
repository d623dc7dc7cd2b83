#pragma once

#include <godwit/settings/daemonsettings.h>

#include <cstdint>
#include <optional>

namespace godwit {

/// Listening endpoints of a process of a fleet. An endpoint with port 0 is disabled.
struct FleetListenSettings
{
    Endpoint callers;   ///< For clients; entry role only.
    Endpoint readiness; ///< For the load balancer of the platform; entry role only.
    Endpoint peers;     ///< For other processes of the fleet.
    Endpoint metrics;

    friend bool operator==(const FleetListenSettings &, const FleetListenSettings &) = default;
};

/// Time limits and retry budget that the operators set for the whole fleet.
struct FleetBounds
{
    Duration shutdownGracePeriod = std::chrono::seconds(8); ///< Time from SIGTERM to SIGKILL.
    /// Time until a revoked key is no longer accepted.
    Duration keyRevocationLimit = std::chrono::seconds(5);
    bool strictRevocation = true; ///< Enforce the limit also on hosts that cannot reach the store.
    /// Time from the announcement of a version to its use.
    Duration versionChangeLimit = std::chrono::seconds(8);
    /// Time after an outage of the store during which the other limits do not apply.
    Duration reconnectionGracePeriod = std::chrono::seconds(3);
    /// Time from the acceptance of a configuration to its use.
    Duration configurationLimit = std::chrono::seconds(2);
    /// Time after which a leaving backend server gets no new requests.
    Duration drainLimit = std::chrono::seconds(2);
    double retryBudgetRatio = 0.1; ///< Retries as a fraction of the requests of a service.
    double retryBudgetSlack = 0;   ///< Additional retries per window.
    Duration retryBudgetWindow = std::chrono::seconds(10);
    /// Requests per second to a cold backend server, in multiples of the rate that it tolerates.
    double coldOverage = 1;
    double coldSlack = 0; ///< Additional requests to it in a second.
    /// Most entry processes that may ever exist at a time.
    std::uint32_t entryProcesses = 40;

    friend bool operator==(const FleetBounds &, const FleetBounds &) = default;
};

/// The backend server that runs next to a host process.
struct LocalEngineSettings
{
    Endpoint endpoint;
    std::string service;

    friend bool operator==(const LocalEngineSettings &, const LocalEngineSettings &) = default;
};

/// Limits of the machine, and what a process may use of them for its clients. Parsing derives what
/// the settings do not state.
struct FleetLimits
{
    std::uint64_t memoryBytes = 0;                         ///< Of the machine; 0 means unknown.
    std::uint32_t descriptors = 0;                         ///< Of the machine; 0 means unknown.
    std::uint64_t requestMemoryBytes = 64UL * 1024 * 1024; ///< For all requests of clients.
    std::uint32_t clientConnections = 10'000;

    friend bool operator==(const FleetLimits &, const FleetLimits &) = default;
};

/// All settings of a `godwitd` process that is configured through the platform of the operators.
/// Parsed by parseFleetSettings().
struct FleetSettings
{
    DaemonRole role = DaemonRole::Entry;
    HostId host;
    ZoneId zone;
    RegionId region;
    std::vector<ZoneSettings> zones;
    Endpoint store;               ///< Key-value service of the platform.
    double linkBitsPerSecond = 0; ///< Bandwidth limit of the host; 0 means unlimited.
    FleetListenSettings listen;
    FleetBounds bounds;
    FleetLimits limits;
    /// Whether callers compete by priority and share when a service is short, see DemandTracker.
    bool ranksCallers = false;
    /// Whether an entry process learns the speed of the backend servers, see ServerSpeed.
    bool learnsSpeed = false;
    std::optional<LocalEngineSettings> engine; ///< Host role only.

    friend bool operator==(const FleetSettings &, const FleetSettings &) = default;
};

} // namespace godwit
