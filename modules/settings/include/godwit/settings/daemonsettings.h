#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

enum class DaemonRole { Entry, Host };
enum class BackendKind { Engine, Plain };

/// IP address and TCP port.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(const Endpoint &, const Endpoint &) = default;
};

/// Formats \a endpoint as "ADDRESS:PORT".
std::string toString(const Endpoint &endpoint);

/// Listening address and ports of the process. Port 0 selects a free port.
struct ListenSettings
{
    std::string address = "127.0.0.1";
    std::uint16_t callerPort = 0; ///< For clients and operators; entry role only.
    std::uint16_t peerPort = 0;   ///< For other processes of the system.
    std::uint16_t adminPort = 0;  ///< For health, readiness and metrics.

    friend bool operator==(const ListenSettings &, const ListenSettings &) = default;
};

/// Endpoints of the platform services.
struct PlatformSettings
{
    Endpoint keyValue;
    Endpoint hostList;
    Endpoint weightStore;
    Endpoint origin;
    Duration callTimeout = std::chrono::milliseconds(2000);

    friend bool operator==(const PlatformSettings &, const PlatformSettings &) = default;
};

/// A backend server that runs next to a host process.
struct BackendSettings
{
    BackendId id;
    BackendKind kind = BackendKind::Engine;
    Endpoint endpoint;
    bool checksFencing = false;
    DeploymentId deployment; ///< Required for a plain service; empty for an engine.

    friend bool operator==(const BackendSettings &, const BackendSettings &) = default;
};

/// An availability zone, as seen from this process.
struct ZoneSettings
{
    ZoneId id;
    RegionId region;
    Duration delay{0}; ///< One-way network delay from the zone of this process.
    double cost = 0;   ///< Relative cost of traffic to the zone.

    friend bool operator==(const ZoneSettings &, const ZoneSettings &) = default;
};

/// Bandwidth limits in bits per second. 0 means unlimited for upload and inter-region traffic, and
/// the default of the transfer planner for download and origin.
struct LinkSettings
{
    std::uint64_t uploadBitsPerSecond = 0;
    std::uint64_t downloadBitsPerSecond = 0;
    std::uint64_t interRegionBitsPerSecond = 0;
    std::uint64_t originBitsPerSecond = 0; ///< Of the origin, shared by all hosts.

    friend bool operator==(const LinkSettings &, const LinkSettings &) = default;
};

struct WeightsSettings
{
    std::uint64_t windowBytes = 256ULL * 1024 * 1024; ///< Memory limit for buffered chunks.
    std::uint32_t uploadSlots = 8;            ///< Maximum number of concurrent chunk uploads.
    std::uint32_t chunkReplicasPerRegion = 2; ///< Hosts that retain a chunk after loading.

    friend bool operator==(const WeightsSettings &, const WeightsSettings &) = default;
};

struct RequestSettings
{
    Duration defaultDeadline = std::chrono::seconds(60);
    std::uint32_t queueLimit = 1000; ///< Maximum number of requests queued in one entry process.
    std::uint32_t concurrencyPerBackend = 64; ///< Upper bound of the adaptive limit; not used yet.
    double journalWritesPerSecond = 120;      ///< Rate limit for all slot owners together.
    std::uint64_t bodyLimitBytes = 1024UL * 1024;

    friend bool operator==(const RequestSettings &, const RequestSettings &) = default;
};

/// How an entry process selects engines.
struct RoutingSettings
{
    std::string strategy = "predicted_ttft";
    std::uint32_t subsetSize = 32; ///< Engines that one entry process uses per set of weights.

    friend bool operator==(const RoutingSettings &, const RoutingSettings &) = default;
};

struct TraceSettings
{
    double sampleRatio = 0.01;
    std::string file; ///< OTLP JSON lines are appended to this file; empty disables the export.

    friend bool operator==(const TraceSettings &, const TraceSettings &) = default;
};

/// All settings of a `godwitd` process. Parsed by parseDaemonSettings().
struct DaemonSettings
{
    DaemonRole role = DaemonRole::Entry;
    HostId host;
    ZoneId zone;
    RegionId region;
    RegionId originRegion; ///< Region of the weight origin.
    std::vector<ZoneSettings> zones;
    std::uint32_t trafficThreads = 1;
    Duration shutdownLimit = std::chrono::seconds(30);
    ListenSettings listen;
    PlatformSettings platform;
    std::vector<Endpoint> seeds; ///< Peer endpoints of other processes, for starting while the
                                 ///< platform is unavailable.
    std::vector<BackendSettings> backends;
    LinkSettings links;
    WeightsSettings weights;
    RequestSettings requests;
    RoutingSettings routing;
    TraceSettings trace;

    friend bool operator==(const DaemonSettings &, const DaemonSettings &) = default;
};

} // namespace godwit
