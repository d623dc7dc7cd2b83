#pragma once

#include "engineversions.h"
#include "fleetprocessbase.h"
#include "http2peertransport.h"

#include <godwit/fleet/backendfeed.h>
#include <godwit/fleet/configurationlookup.h>
#include <godwit/fleet/operatorfeed.h>
#include <godwit/rollout/versionrollout.h>

#include <map>

namespace godwit {

/// Host role: loads weights into the engine on the same machine.
class HostProcess : public FleetProcessBase
{
public:
    HostProcess(FleetSettings settings, std::string settingsFile, const FleetPlatform &platform);
    ~HostProcess() override;

protected:
    Result<void> start() override;
    void beginShutdown() override;

private:
    void applyConfiguration(const GatewayConfiguration &configuration);
    void applyVersion(const WantedVersion &wanted, const std::optional<VersionWindow> &window);
    void load(const EngineVersions::Target &target);
    void lookUpConfigurationIfNeeded();
    void updateOrigin(const WeightOrigin &origin);
    void updateParticipants();
    void runMaintenance();
    void refreshVersions();
    RegionId regionOf(const ZoneId &zone) const;

    HttpClient m_engineClient;
    HttpClient m_originClient;
    std::unique_ptr<ModelEnginePort> m_engine;
    Http2PeerTransport m_peerTransport;
    EngineVersions m_engineVersions;
    VersionRollout m_rollout;
    std::optional<WeightOrigin> m_origin;
    std::map<BackendId, BackendRecord> m_backendRecords;
    bool m_participantsChanged = true; ///< Since the rollout was last told.
    std::optional<TimePoint> m_versionsRefreshedAt;
    std::unique_ptr<KeyValuePort> m_operatorStore;
    std::unique_ptr<KeyValuePort> m_backendStore;
    ConfigurationLookup m_configurationLookup;
    OperatorFeed m_operatorFeed;
    BackendFeed m_backendFeed;
    std::unique_ptr<Timer> m_maintenanceTimer;
};

} // namespace godwit
