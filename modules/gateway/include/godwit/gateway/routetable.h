#pragma once

#include <godwit/gateway/gatewayconfiguration.h>

#include <memory>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit {

/// Immutable lookup tables for one version of the configuration. A request keeps the table with
/// which it started.
class RouteTable
{
public:
    explicit RouteTable(GatewayConfiguration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    std::uint64_t version() const { return m_configuration.version; }
    const GatewayConfiguration &configuration() const { return m_configuration; }

    /// The route of \a host with the longest prefix that matches \a path, or null.
    const Route *find(std::string_view host, std::string_view path) const;

    /// The customer who owns \a key, or null.
    const CustomerAccess *findCustomer(std::string_view key) const;

    /// Null if the configuration does not contain the service.
    const ServiceDescription *findService(std::string_view name) const;

    /// Whether requests require a key unless their route is anonymous.
    bool requiresKeys() const { return !m_configuration.customers.empty(); }

private:
    GatewayConfiguration m_configuration;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string_view, std::vector<const Route *>> m_routes;
    std::unordered_map<std::string_view, const CustomerAccess *> m_keys;
    std::unordered_map<std::string_view, const ServiceDescription *> m_services;
};

/// Index of the target of \a route for \a point, which is uniform in [0, 1). The targets must not
/// be empty.
std::size_t selectTarget(const Route &route, double point);

} // namespace godwit
