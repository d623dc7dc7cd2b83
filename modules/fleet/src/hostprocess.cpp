#include "hostprocess.h"

#include <godwit/observe/log.h>
#include <godwit/rollout/transferprofile.h>

#include <algorithm>

namespace godwit {

namespace {

/// A connection that has gone silent is noticed after this time; a version waits no longer for it.
constexpr Duration OperatorWait = std::chrono::milliseconds(2500);
/// Which hosts exist matters only to transfers, and hosts that are gone show by themselves.
constexpr Duration BackendWait = std::chrono::seconds(10);
constexpr Duration BackendPause = std::chrono::seconds(2);
constexpr Duration MaintenanceInterval = std::chrono::seconds(3);
constexpr double BitsPerByte = 8;
/// The first version of a model is wanted before the operator has named any.
constexpr std::uint64_t FirstVersion = 1;

/// The tokens of the engine share the host's link with the weights, and are late after a tenth of a
/// second: short pieces keep the queue on the link short.
UploadLinks uploadLinks(const FleetSettings &settings)
{
    constexpr std::uint32_t LeastPiece = 4096; // 4.5 ms at 7.3 Mbit/s
    constexpr double LinkShare = 0.9;
    UploadLinks links;
    links.hostRate = settings.linkBitsPerSecond / BitsPerByte;
    links.hostShare = LinkShare;
    links.minHostPieceBytes = LeastPiece;
    return links;
}

/// The origin accepts a limited number of connections from all hosts together. Those that a host
/// keeps idle would shut the others out.
HttpClientOptions originConnections()
{
    HttpClientOptions options;
    options.idlePerEndpoint = 0;
    return options;
}

RolloutOptions optionsFor(const FleetSettings &settings)
{
    RolloutOptions options;
    options.self = HostId(settings.listen.peers.address);
    options.transfer = transferProfile(settings.linkBitsPerSecond / BitsPerByte);
    return options;
}

} // namespace

HostProcess::HostProcess(FleetSettings settings, std::string settingsFile,
                         const FleetPlatform &platform)
    : FleetProcessBase(std::move(settings), std::move(settingsFile), platform)
    , m_engineClient(m_io)
    , m_originClient(m_io, originConnections())
    , m_engine(platform.engine(m_engineClient, toHttpEndpoint(m_settings.engine->endpoint)))
    , m_peers(m_io, m_scheduler, HostId(m_settings.listen.peers.address),
              m_settings.listen.peers.port, uploadLinks(m_settings))
    , m_rollout(optionsFor(m_settings),
                {m_scheduler, *m_engine, m_peers, [this] { m_configuration.lookUp(); }},
                newRandom())
    , m_operatorStore(openStore(OperatorWait, Duration::zero()))
    , m_backendStore(openStore(BackendWait, BackendPause))
    , m_configuration(m_platform, *m_operatorStore, m_scheduler, newRandom(),
                      [this](const GatewayConfiguration &configuration) {
                          configurationChanged(configuration);
                      })
    , m_operator(m_platform, m_platform.versionPrefix(), *m_operatorStore, m_scheduler,
                 m_settings.bounds, newRandom(),
                 {[](const GatewayConfiguration &) {},
                  [this](const WantedVersion &wanted, const std::optional<VersionWindow> &terms) {
                      m_rollout.want(wanted.model, wanted.version, terms);
                  },
                  [](TimePoint) {}})
    , m_backends(m_platform, *m_backendStore, m_scheduler, newRandom(),
                 {[this](const BackendRecord &record) {
                      m_records[record.id] = record;
                      recordsChanged();
                  },
                  [this](const BackendId &id) {
                      m_records.erase(id);
                      recordsChanged();
                  }})
{}

HostProcess::~HostProcess() = default;

Result<void> HostProcess::start()
{
    BOOST_LEAF_CHECK(
            m_peers.listen({[this](const HostId &peer, const HaveUpdate &update) {
                                m_rollout.haveArrived(peer, update);
                            },
                            [this](const HostId &peer, const Digest &chunk, UploadId upload) {
                                m_rollout.chunkRequested(peer, chunk, upload);
                            },
                            [this](UploadId upload) { m_rollout.uploadFailed(upload); }}));
    m_configuration.lookUp();
    m_operator.start();
    m_backends.start();
    maintain();
    return {};
}

void HostProcess::leave()
{
    logStateChange("process_stopped", {});
    finish(0);
}

void HostProcess::maintain()
{
    m_peers.closeIdle();
    m_rollout.logProgress();
    m_maintenance = m_scheduler.after(MaintenanceInterval, [this] { maintain(); });
}

RegionId HostProcess::regionOf(const ZoneId &zone) const
{
    const auto it = std::ranges::find(m_settings.zones, zone, &ZoneSettings::id);
    return it == m_settings.zones.end() ? RegionId(zone.value()) : it->region;
}

void HostProcess::configurationChanged(const GatewayConfiguration &configuration)
{
    for (const ServiceDescription &it : configuration.services) {
        if (it.origin)
            useOrigin(*it.origin);
    }
    for (const ServiceDescription &it : configuration.services) {
        if (it.name != m_settings.engine->service || !it.engine)
            continue;
        for (const ModelId &model : it.engine->models)
            m_rollout.want(model, FirstVersion, std::nullopt);
    }
}

void HostProcess::useOrigin(const WeightOrigin &origin)
{
    if (m_origin == origin)
        return;
    m_origin = origin;
    logStateChange("origin_changed",
                   {{"endpoint", toString(origin.endpoint)}, {"zone", origin.zone.value()}});
    m_rollout.setOrigin(m_platform.origin(m_originClient, origin.endpoint), regionOf(origin.zone));
}

void HostProcess::recordsChanged()
{
    std::vector<Participant> participants;
    for (const auto &[id, record] : m_records) {
        if (record.service == m_settings.engine->service && !record.draining)
            participants.push_back(
                    {HostId(record.endpoint.address), record.zone, regionOf(record.zone)});
    }
    m_rollout.setParticipants(std::move(participants));
}

} // namespace godwit
