#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/customershare.h>
#include <godwit/control/deploymentoptions.h>

#include <map>
#include <set>

namespace godwit {

/// A group of models defined by the operator, or one plain service.
struct Deployment
{
    DeploymentOptions options;
    bool anyHost = true;           ///< All hosts and backend servers are allowed unless denied.
    bool anyCustomer = true;       ///< Unlisted customers are admitted with the default share.
    std::set<HostId> allowedHosts; ///< Used if anyHost is false.
    std::set<BackendId> allowedBackends; ///< Used if anyHost is false.
    std::set<HostId> deniedHosts;
    std::set<BackendId> deniedBackends;
    std::map<CustomerId, CustomerShare> customers;

    friend bool operator==(const Deployment &, const Deployment &) = default;
};

/// True if \a deployment may use \a backend, which runs on \a host.
bool isAllowed(const Deployment &deployment, const HostId &host, const BackendId &backend);

/// True if \a deployment may be placed on \a host. An entry in allowedBackends alone does not allow
/// its host; to receive placements the host must be in allowedHosts as well.
bool isAllowed(const Deployment &deployment, const HostId &host);

template <>
struct JsonFields<Deployment>
{
    static constexpr auto table =
            std::tuple{field("options", &Deployment::options),
                       field("any_host", &Deployment::anyHost),
                       field("any_customer", &Deployment::anyCustomer),
                       field("allowed_hosts", &Deployment::allowedHosts),
                       field("allowed_backends", &Deployment::allowedBackends),
                       field("denied_hosts", &Deployment::deniedHosts),
                       field("denied_backends", &Deployment::deniedBackends),
                       field("customers", &Deployment::customers)};
};

} // namespace godwit
