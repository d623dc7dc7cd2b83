#pragma once

#include "fleetprocessbase.h"
#include "gracefulstop.h"

#include <godwit/fleet/backendfeed.h>
#include <godwit/fleet/operatorfeed.h>
#include <godwit/gateway/gateway.h>

namespace godwit {

/// Entry role: forwards the requests of clients.
class EntryProcess : public FleetProcessBase
{
public:
    EntryProcess(FleetSettings settings, std::string settingsFile, const FleetPlatform &platform);
    ~EntryProcess() override;

protected:
    Result<void> start() override;
    void leave() override;

private:
    void configurationChanged(GatewayConfiguration configuration);
    void versionWanted(const WantedVersion &wanted, const std::optional<VersionWindow> &terms);
    void stopped(std::size_t requestsLeft);

    HttpClient m_backendClient;
    GatewayMetrics m_gatewayMetrics;
    Gateway m_gateway;
    std::unique_ptr<KeyValuePort> m_operatorStore;
    std::unique_ptr<KeyValuePort> m_backendStore;
    OperatorFeed m_operator;
    BackendFeed m_backends;
    std::unique_ptr<HttpServer> m_callers;
    std::unique_ptr<HttpServer> m_readiness;
    GracefulStop m_stop;
};

} // namespace godwit
