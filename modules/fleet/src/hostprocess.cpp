#include "hostprocess.h"

#include <godwit/observe/log.h>
#include <godwit/rollout/transferprofile.h>

#include <algorithm>

namespace godwit {

namespace {

/// Between two reads of the wanted versions that messages of peers cause.
constexpr Duration MinVersionRefreshInterval = std::chrono::milliseconds(500);
constexpr Duration MaintenanceInterval = std::chrono::seconds(3);
constexpr double BitsPerByte = 8;

/// Engine tokens share the host's link with uploads of weights and are late after a tenth of a
/// second, so uploads are sent in small pieces that keep the queue on the link short.
UploadLinks uploadLinks(const FleetSettings &settings)
{
    constexpr std::uint32_t MinPieceBytes = 4096; // 4.5 ms at 7.3 Mbit/s
    constexpr double LinkShare = 0.9;
    UploadLinks links;
    links.hostRate = settings.linkBitsPerSecond / BitsPerByte;
    links.hostShare = LinkShare;
    links.minHostPieceBytes = MinPieceBytes;
    return links;
}

/// The origin accepts a limited number of connections from all hosts together, so idle connections
/// of one host would lock out others.
HttpClientOptions originClientOptions()
{
    HttpClientOptions options;
    options.idlePerEndpoint = 0;
    return options;
}

RolloutOptions rolloutOptions(const FleetSettings &settings)
{
    RolloutOptions options;
    options.self = {HostId(settings.listen.peers.address), settings.zone, settings.region};
    options.transfer = transferProfile(settings.linkBitsPerSecond / BitsPerByte);
    return options;
}

} // namespace

HostProcess::HostProcess(FleetSettings settings, std::string settingsFile,
                         const FleetPlatform &platform)
    : FleetProcessBase(std::move(settings), std::move(settingsFile), platform)
    , m_engineClient(m_io)
    , m_originClient(m_io, originClientOptions())
    , m_engine(platform.createEngine(m_engineClient, toHttpEndpoint(m_settings.engine->endpoint)))
    , m_peerTransport(m_io, m_scheduler, HostId(m_settings.listen.peers.address),
                      m_settings.listen.peers.port, uploadLinks(m_settings))
    , m_engineVersions(m_settings.engine->service)
    , m_rollout(rolloutOptions(m_settings),
                {m_scheduler, *m_engine, m_peerTransport,
                 [this] { m_configurationLookup.lookUp(); }, [this] { refreshVersions(); }},
                newRandom())
    , m_operatorStore(openStore([this] { return versionPollTimeout(m_backendRecords.size()); },
                                Duration::zero()))
    , m_backendStore(openStore(participantPollIntervals()))
    , m_configurationLookup(m_platform, *m_operatorStore, m_scheduler, newRandom(),
                            [this](const GatewayConfiguration &configuration) {
                                applyConfiguration(configuration);
                            })
    , m_operatorFeed(
              m_platform, m_platform.versionPrefix(), *m_operatorStore, m_scheduler,
              m_settings.bounds, newRandom(),
              {[](const GatewayConfiguration &) {},
               [this](const WantedVersion &wanted, const std::optional<VersionWindow> &window) {
                   applyVersion(wanted, window);
               },
               [](TimePoint) {}})
    , m_backendFeed(m_platform, *m_backendStore, m_scheduler, m_settings.bounds, newRandom(),
                    {[this](const BackendRecord &record, StoreRevision) {
                         m_backendRecords[record.id] = record;
                         m_participantsChanged = true;
                     },
                     [this](const BackendId &id) {
                         m_backendRecords.erase(id);
                         m_participantsChanged = true;
                     },
                     [this] { updateParticipants(); }})
{}

HostProcess::~HostProcess() = default;

Result<void> HostProcess::start()
{
    BOOST_LEAF_CHECK(m_peerTransport.listen(
            {[this](const HostId &peer, const HaveUpdate &update) {
                 m_rollout.onHaveUpdate(peer, update);
             },
             [this](const HostId &peer, const Digest &chunk, UploadId upload) {
                 m_rollout.onChunkRequest(peer, chunk, upload);
             },
             [this](UploadId upload) { m_rollout.onUploadFailed(upload); },
             [this](ManifestRequest request) {
                 m_rollout.onManifestRequest(std::move(request));
             }}));
    m_configurationLookup.lookUp();
    m_operatorFeed.start();
    m_backendFeed.start();
    runMaintenance();
    return {};
}

void HostProcess::beginShutdown()
{
    logStateChange("process_stopped", {});
    finish(0);
}

void HostProcess::runMaintenance()
{
    m_peerTransport.closeIdleConnections();
    m_rollout.logProgress();
    m_maintenanceTimer = m_scheduler.after(MaintenanceInterval, [this] { runMaintenance(); });
}

void HostProcess::refreshVersions()
{
    const TimePoint now = m_scheduler.now();
    if (m_versionsRefreshedAt && now < *m_versionsRefreshedAt + MinVersionRefreshInterval)
        return;
    m_versionsRefreshedAt = now;
    m_operatorFeed.refresh();
}

RegionId HostProcess::regionOf(const ZoneId &zone) const
{
    const auto it = std::ranges::find(m_settings.zones, zone, &ZoneSettings::id);
    return it == m_settings.zones.end() ? RegionId(zone.value()) : it->region;
}

void HostProcess::applyConfiguration(const GatewayConfiguration &configuration)
{
    const auto own = std::ranges::find(configuration.services, m_settings.engine->service,
                                       &ServiceDescription::name);
    if (own != configuration.services.end() && own->engine) {
        for (const ModelId &model : own->engine->models)
            m_rollout.setLayerCount(model, own->engine->layers);
    }
    for (const ServiceDescription &it : configuration.services) {
        if (it.origin)
            updateOrigin(*it.origin);
    }
    for (const EngineVersions::Target &it : m_engineVersions.setConfiguration(configuration))
        load(it);
    lookUpConfigurationIfNeeded();
}

void HostProcess::applyVersion(const WantedVersion &wanted,
                               const std::optional<VersionWindow> &window)
{
    if (const auto target = m_engineVersions.setVersion(wanted, window))
        load(*target);
    else
        logStateChange("version_kept", {{"model", wanted.model.value()},
                                        {"version", wanted.version},
                                        {"service", m_settings.engine->service}});
    lookUpConfigurationIfNeeded();
}

void HostProcess::load(const EngineVersions::Target &target)
{
    m_rollout.setWantedVersion(target.wanted.model, target.wanted.version, target.window);
}

void HostProcess::lookUpConfigurationIfNeeded()
{
    if (const auto period = m_engineVersions.takeLookupPeriod())
        m_configurationLookup.lookUpWithin(*period);
}

void HostProcess::updateOrigin(const WeightOrigin &origin)
{
    if (m_origin == origin)
        return;
    m_origin = origin;
    logStateChange("origin_changed",
                   {{"endpoint", toString(origin.endpoint)}, {"zone", origin.zone.value()}});
    m_rollout.setOrigin(m_platform.createOrigin(m_originClient, origin.endpoint),
                        regionOf(origin.zone), origin.bytesPerSecond);
}

void HostProcess::updateParticipants()
{
    if (!std::exchange(m_participantsChanged, false))
        return;
    std::vector<Participant> participants;
    for (const auto &[id, record] : m_backendRecords) {
        if (record.service == m_settings.engine->service && !record.draining)
            participants.push_back(
                    {HostId(record.endpoint.address), record.zone, regionOf(record.zone)});
    }
    m_rollout.setParticipants(std::move(participants));
}

} // namespace godwit
