#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <set>

namespace godwit {

/// Denies hosts, backend servers and customers in a deployment. Existing load orders keep denied
/// hosts until the order is cancelled or the host is replaced.
struct Deny
{
    DeploymentId deployment;
    std::set<HostId> hosts;
    std::set<BackendId> backends;
    std::set<CustomerId> customers;

    friend bool operator==(const Deny &, const Deny &) = default;
};

template <>
struct JsonFields<Deny>
{
    static constexpr auto table =
            std::tuple{field("deployment", &Deny::deployment), field("hosts", &Deny::hosts),
                       field("backends", &Deny::backends), field("customers", &Deny::customers)};
};

} // namespace godwit
