#include <godwit/gateway/routetable.h>

#include <algorithm>
#include <numeric>

namespace godwit {

RouteTable::RouteTable(GatewayConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const Route &route : m_configuration.routes)
        m_routes[route.host].push_back(&route);
    for (auto &[host, routes] : m_routes) {
        std::ranges::stable_sort(routes, std::greater(),
                                 [](const Route *it) { return it->prefix.size(); });
    }
    for (const CustomerAccess &access : m_configuration.customers) {
        for (const std::string &key : access.keys)
            m_keys.emplace(key, &access);
    }
    for (const ServiceDescription &it : m_configuration.services)
        m_services.emplace(it.name, &it);
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto it = m_routes.find(host);
    if (it == m_routes.end())
        return nullptr;
    const auto route = std::ranges::find_if(it->second, [path](const Route *candidate) {
        return path.starts_with(candidate->prefix);
    });
    return route == it->second.end() ? nullptr : *route;
}

const CustomerAccess *RouteTable::findCustomer(std::string_view key) const
{
    const auto it = m_keys.find(key);
    return it == m_keys.end() ? nullptr : it->second;
}

const ServiceDescription *RouteTable::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

std::size_t selectTarget(const Route &route, double point)
{
    const double total =
            std::accumulate(route.targets.begin(), route.targets.end(), 0.0,
                            [](double sum, const RouteTarget &it) { return sum + it.weight; });
    double left = point * total;
    for (std::size_t i = 0; i + 1 < route.targets.size(); ++i) {
        left -= route.targets[i].weight;
        if (left < 0)
            return i;
    }
    // Rounding in the last subtraction must not select a target of weight 0.
    std::size_t last = route.targets.size() - 1;
    while (last > 0 && route.targets[last].weight == 0)
        --last;
    return last;
}

} // namespace godwit
