#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/customershare.h>

#include <map>
#include <set>

namespace godwit {

/// Allows hosts, backend servers and customers in a deployment; removes them from its denied sets.
struct Allow
{
    DeploymentId deployment;
    std::set<HostId> hosts;
    std::set<BackendId> backends;
    std::map<CustomerId, CustomerShare> customers;

    friend bool operator==(const Allow &, const Allow &) = default;
};

template <>
struct JsonFields<Allow>
{
    static constexpr auto table =
            std::tuple{field("deployment", &Allow::deployment), field("hosts", &Allow::hosts),
                       field("backends", &Allow::backends), field("customers", &Allow::customers)};
};

} // namespace godwit
