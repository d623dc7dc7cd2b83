#pragma once

#include "fleetprocessbase.h"
#include "gracefulstop.h"

#include <godwit/fleet/backendfeed.h>
#include <godwit/fleet/clientrejections.h>
#include <godwit/fleet/crashreportexchange.h>
#include <godwit/fleet/operatorfeed.h>
#include <godwit/gateway/gateway.h>
#include <godwit/mirror/sharedwatch.h>

namespace godwit {

/// Entry role: forwards client requests to backend servers.
class EntryProcess : public FleetProcessBase
{
public:
    EntryProcess(FleetSettings settings, std::string settingsFile, const FleetPlatform &platform);
    ~EntryProcess() override;

protected:
    Result<void> start() override;
    void beginShutdown() override;

private:
    void applyConfiguration(GatewayConfiguration configuration);
    void mergeCrashReport(const CrashReport &report);
    void onVersionWanted(const WantedVersion &wanted, const std::optional<VersionWindow> &window);
    void onStopped(std::size_t requestsLeft);

    HttpClient m_backendClient;
    GatewayMetrics m_gatewayMetrics;
    ClientRejections m_clientRejections;
    Gateway m_gateway;
    std::unique_ptr<KeyValuePort> m_store;
    SharedWatch m_sharedWatch;
    OperatorFeed m_operatorFeed;
    BackendFeed m_backendFeed;
    CrashReportExchange m_crashReports;
    std::unique_ptr<HttpServer> m_clientServer;
    std::unique_ptr<HttpServer> m_readinessServer;
    GracefulStop m_gracefulStop;
};

} // namespace godwit
