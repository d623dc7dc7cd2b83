#include <godwit/settings/settingsparser.h>

#include "settingsreader.h"

#include <fstream>
#include <sstream>

namespace godwit {

namespace {

using namespace std::string_literals;
using namespace std::string_view_literals;

constexpr std::int64_t MaxPort = 65535;
constexpr std::int64_t MaxBitsPerSecond = 1'000'000'000'000;
constexpr std::int64_t MaxBytes = 1LL << 40;

constexpr std::array RoleNames{std::pair{"entry"sv, DaemonRole::Entry},
                               std::pair{"host"sv, DaemonRole::Host}};
constexpr std::array KindNames{std::pair{"engine"sv, BackendKind::Engine},
                               std::pair{"plain"sv, BackendKind::Plain}};

// Strategies of the routing module, repeated here because this module must not depend on it. A test
// in the apps module checks that the lists match.
const std::array StrategyNames{std::pair{"random"sv, "random"s},
                               std::pair{"least_loaded"sv, "least_loaded"s},
                               std::pair{"power_of_two"sv, "power_of_two"s},
                               std::pair{"predicted_ttft"sv, "predicted_ttft"s}};

void readListen(SettingsReader &reader, ListenSettings &listen)
{
    reader.address("address", listen.address, Presence::Optional);
    reader.integer("caller_port", listen.callerPort, 0, MaxPort);
    reader.integer("peer_port", listen.peerPort, 0, MaxPort);
    reader.integer("admin_port", listen.adminPort, 0, MaxPort);
}

void readPlatform(SettingsReader &reader, PlatformSettings &platform)
{
    reader.endpoint("key_value", platform.keyValue, Presence::Required);
    reader.endpoint("host_list", platform.hostList, Presence::Required);
    reader.endpoint("weight_store", platform.weightStore, Presence::Required);
    reader.endpoint("origin", platform.origin, Presence::Required);
    reader.milliseconds("call_timeout_ms", platform.callTimeout, 10, 60'000);
}

void readBackend(SettingsReader &reader, std::vector<BackendSettings> &backends)
{
    BackendSettings backend;
    reader.id("id", backend.id, Presence::Required);
    reader.choice("kind", backend.kind, KindNames, Presence::Required);
    reader.endpoint("endpoint", backend.endpoint, Presence::Required);
    reader.boolean("checks_fencing", backend.checksFencing);
    reader.id("deployment", backend.deployment, Presence::Optional);
    if (backend.kind == BackendKind::Plain && backend.deployment.empty())
        reader.addProblem("deployment", "nothing", "the deployment of the plain service");
    if (backend.kind == BackendKind::Engine && !backend.deployment.empty())
        reader.addProblem("deployment", backend.deployment.value(),
                          "nothing: the configuration assigns engines to deployments");
    for (const auto &other : backends) {
        if (other.id == backend.id)
            reader.addProblem("id", backend.id.value(), "an id that no other backend has");
    }
    backends.push_back(std::move(backend));
}

void readZone(SettingsReader &reader, std::vector<ZoneSettings> &zones)
{
    ZoneSettings zone;
    reader.id("id", zone.id, Presence::Required);
    reader.id("region", zone.region, Presence::Required);
    reader.milliseconds("delay_ms", zone.delay, 0, 10'000);
    reader.number("cost", zone.cost, 0, 1'000'000);
    for (const auto &other : zones) {
        if (other.id == zone.id)
            reader.addProblem("id", zone.id.value(), "an id that no other zone has");
    }
    zones.push_back(std::move(zone));
}

void readLinks(SettingsReader &reader, LinkSettings &links)
{
    reader.integer("upload_bits_per_second", links.uploadBitsPerSecond, 0, MaxBitsPerSecond);
    reader.integer("download_bits_per_second", links.downloadBitsPerSecond, 0, MaxBitsPerSecond);
    reader.integer("inter_region_bits_per_second", links.interRegionBitsPerSecond, 0,
                   MaxBitsPerSecond);
    reader.integer("origin_bits_per_second", links.originBitsPerSecond, 0, MaxBitsPerSecond);
}

void readWeights(SettingsReader &reader, WeightsSettings &weights)
{
    reader.integer("window_bytes", weights.windowBytes, 1024LL * 1024, MaxBytes);
    reader.integer("upload_slots", weights.uploadSlots, 1, 1024);
    reader.integer("keepers", weights.chunkReplicasPerRegion, 1, 64);
}

void readRequests(SettingsReader &reader, RequestSettings &requests)
{
    reader.milliseconds("default_deadline_ms", requests.defaultDeadline, 100, 3'600'000);
    reader.integer("queue_limit", requests.queueLimit, 1, 1'000'000);
    reader.integer("concurrency_per_backend", requests.concurrencyPerBackend, 1, 100'000);
    reader.number("journal_writes_per_second", requests.journalWritesPerSecond, 0.1, 10'000);
    reader.integer("body_limit_bytes", requests.bodyLimitBytes, 1024, 64LL * 1024 * 1024);
}

void readRouting(SettingsReader &reader, RoutingSettings &routing)
{
    reader.choice("strategy", routing.strategy, StrategyNames, Presence::Optional);
    reader.integer("subset_size", routing.subsetSize, 1, 64);
}

void readTrace(SettingsReader &reader, TraceSettings &trace)
{
    reader.number("sample_ratio", trace.sampleRatio, 0, 1);
    reader.string("file", trace.file, Presence::Optional);
}

void checkRole(SettingsReader &reader, const DaemonSettings &settings)
{
    const bool isHost = settings.role == DaemonRole::Host;
    if (isHost && settings.backends.empty())
        reader.addProblem("backend", "nothing", "at least one backend for the role host");
    if (!isHost && !settings.backends.empty())
        reader.addProblem("backend", std::to_string(settings.backends.size()) + " backends",
                          "nothing for the role entry");
    if (isHost && settings.listen.callerPort != 0)
        reader.addProblem("listen.caller_port", std::to_string(settings.listen.callerPort),
                          "nothing for the role host");
}

void readDaemon(SettingsReader &reader, DaemonSettings &settings)
{
    const bool hasRole = reader.choice("role", settings.role, RoleNames, Presence::Required);
    reader.id("host", settings.host, Presence::Required);
    reader.id("zone", settings.zone, Presence::Required);
    reader.id("region", settings.region, Presence::Required);
    reader.id("origin_region", settings.originRegion, Presence::Optional);
    if (settings.originRegion.empty())
        settings.originRegion = settings.region;
    reader.sections("zones", [&](SettingsReader &it) { readZone(it, settings.zones); });
    reader.integer("traffic_threads", settings.trafficThreads, 1, 64);
    reader.milliseconds("shutdown_limit_ms", settings.shutdownLimit, 0, 3'600'000);
    reader.endpoints("seeds", settings.seeds);
    reader.section("listen", [&](SettingsReader &it) { readListen(it, settings.listen); });
    bool hasPlatform = false;
    reader.section("platform", [&](SettingsReader &it) {
        hasPlatform = true;
        readPlatform(it, settings.platform);
    });
    if (!hasPlatform)
        reader.addProblem("platform", "nothing",
                          "a table with the endpoints of the platform services");
    reader.sections("backend", [&](SettingsReader &it) { readBackend(it, settings.backends); });
    reader.section("links", [&](SettingsReader &it) { readLinks(it, settings.links); });
    reader.section("weights", [&](SettingsReader &it) { readWeights(it, settings.weights); });
    reader.section("requests", [&](SettingsReader &it) { readRequests(it, settings.requests); });
    reader.section("routing", [&](SettingsReader &it) { readRouting(it, settings.routing); });
    reader.section("trace", [&](SettingsReader &it) { readTrace(it, settings.trace); });
    if (hasRole)
        checkRole(reader, settings);
    reader.reportUnknownKeys();
}

void readFleetListen(SettingsReader &reader, FleetListenSettings &listen)
{
    reader.endpoint("callers", listen.callers, Presence::Optional);
    reader.endpoint("readiness", listen.readiness, Presence::Optional);
    reader.endpoint("peers", listen.peers, Presence::Required);
    reader.endpoint("metrics", listen.metrics, Presence::Optional);
}

void readBounds(SettingsReader &reader, FleetBounds &bounds)
{
    constexpr std::int64_t LongestMs = 3'600'000;
    constexpr double LongestSeconds = 3600;
    reader.seconds("leave_s", bounds.shutdownGracePeriod, 0, LongestSeconds);
    reader.milliseconds("key_revocation_ms", bounds.keyRevocationLimit, 0, LongestMs);
    reader.boolean("strict_revocation", bounds.strictRevocation);
    reader.milliseconds("version_change_ms", bounds.versionChangeLimit, 0, LongestMs);
    reader.milliseconds("reconnection_ms", bounds.reconnectionGracePeriod, 0, LongestMs);
    reader.milliseconds("configuration_ms", bounds.configurationLimit, 0, LongestMs);
    reader.milliseconds("drain_ms", bounds.drainLimit, 0, LongestMs);
    reader.number("retry_share", bounds.retryBudgetRatio, 0, 1);
    reader.number("retry_slack", bounds.retryBudgetSlack, 0, 1e9);
    reader.seconds("retry_window_s", bounds.retryBudgetWindow, 0, LongestSeconds);
    reader.number("cold_overage", bounds.coldOverage, 0, 1000);
    reader.number("cold_slack", bounds.coldSlack, 0, 1e9);
    reader.integer("entry_processes", bounds.entryProcesses, 1, 100'000);
}

/// Sets the defaults that follow from the limits of the machine.
void deriveLimits(FleetLimits &limits)
{
    // Requests, responses in the gateway and queued replies take at most a quarter each, and the
    // process itself the rest.
    constexpr std::uint64_t MemoryParts = 4;
    // For files, listening sockets and connections to the store.
    constexpr std::uint32_t ReservedDescriptors = 200;
    // Each client connection has one request at a time, which takes one connection to a backend
    // server; others are idle in the pool or belong to calls that were given up.
    constexpr std::uint32_t DescriptorsPerClient = 3;
    if (limits.memoryBytes > 0)
        limits.requestMemoryBytes = limits.memoryBytes / MemoryParts;
    if (limits.descriptors > 0)
        limits.clientConnections =
                (limits.descriptors - std::min(limits.descriptors - 1, ReservedDescriptors))
                / DescriptorsPerClient;
    limits.clientConnections = std::max(limits.clientConnections, 1U);
}

void readLimits(SettingsReader &reader, FleetLimits &limits)
{
    constexpr double BytesPerMegabyte = 1e6;
    constexpr std::int64_t MaxDescriptors = 1'000'000;
    double megabytes = 0;
    reader.number("memory_mb", megabytes, 0, 1e6);
    limits.memoryBytes = static_cast<std::uint64_t>(megabytes * BytesPerMegabyte);
    reader.integer("descriptors", limits.descriptors, 0, MaxDescriptors);
    deriveLimits(limits);
    reader.integer("request_memory_bytes", limits.requestMemoryBytes, 1024LL * 1024, MaxBytes);
    reader.integer("client_connections", limits.clientConnections, 1, MaxDescriptors);
}

void readLocalEngine(SettingsReader &reader, std::optional<LocalEngineSettings> &engine)
{
    engine.emplace();
    reader.endpoint("endpoint", engine->endpoint, Presence::Required);
    reader.string("service", engine->service, Presence::Optional);
}

void checkFleetRole(SettingsReader &reader, const FleetSettings &settings)
{
    const bool isHost = settings.role == DaemonRole::Host;
    if (isHost && !settings.engine)
        reader.addProblem("engine", "nothing", "a table for the role host");
    if (!isHost && settings.engine)
        reader.addProblem("engine", "a table", "nothing for the role entry");
    if (!isHost && settings.listen.callers.port == 0)
        reader.addProblem("listen.callers", "nothing", "an endpoint for the role entry");
}

void readFleet(SettingsReader &reader, FleetSettings &settings)
{
    const bool hasRole = reader.choice("role", settings.role, RoleNames, Presence::Required);
    reader.id("host", settings.host, Presence::Required);
    reader.id("zone", settings.zone, Presence::Required);
    reader.id("region", settings.region, Presence::Required);
    reader.sections("zones", [&](SettingsReader &it) { readZone(it, settings.zones); });
    reader.endpoint("store", settings.store, Presence::Required);
    reader.number("link_bits_per_second", settings.linkBitsPerSecond, 0, 1e12);
    reader.section("listen", [&](SettingsReader &it) { readFleetListen(it, settings.listen); });
    reader.section("bounds", [&](SettingsReader &it) { readBounds(it, settings.bounds); });
    reader.section("limits", [&](SettingsReader &it) { readLimits(it, settings.limits); });
    reader.section("routing", [&](SettingsReader &it) {
        it.boolean("ranked_callers", settings.ranksCallers);
        it.boolean("learned_speed", settings.learnsSpeed);
    });
    reader.section("engine", [&](SettingsReader &it) { readLocalEngine(it, settings.engine); });
    if (hasRole)
        checkFleetRole(reader, settings);
    reader.reportUnknownKeys();
}

/// Parses \a text into a T with the function \a read. Returns all problems if there are any.
template <typename T>
std::variant<T, std::vector<SettingsProblem>>
parseSettings(std::string_view text, const std::string &file, void (*read)(SettingsReader &, T &))
{
    std::vector<SettingsProblem> problems;
    T settings;
    try {
        const toml::table table = toml::parse(text);
        SettingsReader reader(table, file, {}, problems);
        read(reader, settings);
    } catch (const toml::parse_error &error) {
        const auto line = std::to_string(error.source().begin.line);
        problems.push_back({file, "line " + line, std::string(error.description()), "valid TOML"});
    }
    if (!problems.empty())
        return problems;
    return settings;
}

template <typename T>
std::variant<T, std::vector<SettingsProblem>> loadSettings(const std::string &file,
                                                           void (*read)(SettingsReader &, T &))
{
    std::ifstream in(file, std::ios::binary);
    std::ostringstream text;
    text << in.rdbuf();
    if (!in)
        return std::vector{SettingsProblem{file, "file", "nothing", "a readable TOML file"}};
    return parseSettings<T>(text.str(), file, read);
}

} // namespace

std::string toString(const Endpoint &endpoint)
{
    return endpoint.address + ':' + std::to_string(endpoint.port);
}

std::string toString(const SettingsProblem &problem)
{
    return problem.file + ": " + problem.key + ": found " + problem.found
           + ", allowed: " + problem.allowed;
}

ParsedSettings parseDaemonSettings(std::string_view text, const std::string &file)
{
    return parseSettings<DaemonSettings>(text, file, readDaemon);
}

ParsedSettings loadDaemonSettings(const std::string &file)
{
    return loadSettings<DaemonSettings>(file, readDaemon);
}

ParsedFleetSettings parseFleetSettings(std::string_view text, const std::string &file)
{
    return parseSettings<FleetSettings>(text, file, readFleet);
}

ParsedFleetSettings loadFleetSettings(const std::string &file)
{
    return loadSettings<FleetSettings>(file, readFleet);
}

} // namespace godwit
