#pragma once

#include "fleetprocessbase.h"
#include "peerlinks.h"

#include <godwit/fleet/backendfeed.h>
#include <godwit/fleet/configurationlookup.h>
#include <godwit/fleet/operatorfeed.h>
#include <godwit/rollout/versionrollout.h>

#include <map>

namespace godwit {

/// Host role: weights for the engine beside which the process runs.
class HostProcess : public FleetProcessBase
{
public:
    HostProcess(FleetSettings settings, std::string settingsFile, const FleetPlatform &platform);
    ~HostProcess() override;

protected:
    Result<void> start() override;
    void leave() override;

private:
    void configurationChanged(const GatewayConfiguration &configuration);
    void useOrigin(const WeightOrigin &origin);
    void recordsChanged();
    void maintain();
    RegionId regionOf(const ZoneId &zone) const;

    HttpClient m_engineClient;
    HttpClient m_originClient;
    std::unique_ptr<ModelEnginePort> m_engine;
    PeerLinks m_peers;
    VersionRollout m_rollout;
    std::optional<WeightOrigin> m_origin;
    std::map<BackendId, BackendRecord> m_records;
    std::unique_ptr<KeyValuePort> m_operatorStore;
    std::unique_ptr<KeyValuePort> m_backendStore;
    ConfigurationLookup m_configuration;
    OperatorFeed m_operator;
    BackendFeed m_backends;
    std::unique_ptr<Timer> m_maintenance;
};

} // namespace godwit
