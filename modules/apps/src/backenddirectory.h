#pragma once

#include "hostreport.h"

#include <godwit/control/configuration.h>
#include <godwit/requests/drainstate.h>
#include <godwit/requests/peerclock.h>
#include <godwit/requests/slotrouter.h>
#include <godwit/settings/daemonsettings.h>

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace godwit {

/// Hosts and their backend servers as known to one traffic thread of an entry process.
class BackendDirectory
{
public:
    struct Host
    {
        Endpoint endpoint;
        ZoneId zone;
        Incarnation incarnation; ///< Of the host process that sent the last report.
        PeerClock clock;
        bool usable = false;     ///< According to the membership.
        bool hasReport = false;  ///< The current host process has sent a report.
        bool subscribed = false; ///< Reports are received; without them it gets no requests.
        std::map<BackendId, BackendReport> backends;
    };

    struct Target
    {
        HostId host;
        BackendId backend;
        ModelPin pin;
    };

    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    const Configuration *configuration() const { return m_configuration.get(); }

    /// Adds or updates a host. Removes the backend servers of a host that is not \a subscribed to,
    /// because their last known state becomes stale.
    void setHost(const HostId &id, const Endpoint &endpoint, const ZoneId &zone, bool usable,
                 bool subscribed);
    void removeHost(const HostId &id) { m_hosts.erase(id); }
    Host *find(const HostId &id);

    /// Discards the last report of a host whose process has ended. The host gets no requests until
    /// its next report.
    void clearReport(const HostId &id);

    /// Applies a report, including its drain indications. Returns false if it is ignored.
    bool applyReport(const HostReport &report, TimePoint now);

    /// Owners of the idempotency keys of \a deployment.
    SlotRouter &slotRouter(const DeploymentId &deployment) { return m_slotRouters[deployment]; }

    DrainState &drain() { return m_drain; }
    const DrainState &drain() const { return m_drain; }
    const std::map<HostId, Host> &hosts() const { return m_hosts; }

    /// Versions of (model, adapter) that the load orders of \a deployment allow.
    std::vector<VersionId> allowedVersions(const DeploymentId &deployment, const ModelId &model,
                                           const AdapterId &adapter) const;

    /// Engines that may currently run a request for (model, adapter) of \a deployment.
    std::vector<Target> eligibleEngines(const DeploymentId &deployment, const ModelId &model,
                                        const AdapterId &adapter) const;

    /// Backend servers of the plain service \a deployment that may currently receive requests.
    std::vector<Target> eligibleServices(const DeploymentId &deployment) const;

private:
    bool mayReceive(const HostId &id, const Host &host) const;

    std::shared_ptr<const Configuration> m_configuration;
    std::map<HostId, Host> m_hosts;
    std::map<DeploymentId, SlotRouter> m_slotRouters;
    DrainState m_drain;
};

} // namespace godwit
