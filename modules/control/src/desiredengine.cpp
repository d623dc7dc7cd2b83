#include <godwit/control/desiredengine.h>

#include <algorithm>

namespace godwit {

VersionId versionAt(const LoadOrder &order, std::size_t index)
{
    const bool inTransition =
            order.state == OrderState::Rolling || order.state == OrderState::Stopped;
    return inTransition && index >= order.steppedHosts ? order.previousVersion : order.version;
}

std::vector<HostId> hostsWithVersion(const LoadOrder &order, const VersionId &version)
{
    std::vector<HostId> hosts;
    for (std::size_t i = 0; i < order.hosts.size(); ++i) {
        if (versionAt(order, i) == version)
            hosts.push_back(order.hosts[i]);
    }
    return hosts;
}

DesiredEngine desiredEngine(const Configuration &configuration, const HostId &host,
                            const BackendId &backend)
{
    DesiredEngine desired;
    bool allCheckFencing = true;
    bool continueInOutage = true;
    for (const auto &[id, order] : configuration.orders) {
        const auto position = std::ranges::find(order.hosts, host);
        if (order.state == OrderState::Cancelled || position == order.hosts.end())
            continue;
        const Deployment &deployment = configuration.deployments.at(order.deployment);
        if (!isAllowed(deployment, host, backend))
            continue;
        const auto index = static_cast<std::size_t>(position - order.hosts.begin());
        desired.loads.insert({order.model, order.adapter, versionAt(order, index)});
        if (!order.adapter.empty())
            desired.loads.insert(
                    {order.model, {}, configuration.adapters.at(order.adapter).baseVersion});
        allCheckFencing = allCheckFencing && deployment.options.checksFencing;
        continueInOutage =
                continueInOutage && deployment.options.outageOrders == OutageOrders::Continue;
    }
    if (const auto role = configuration.roles.find(backend); role != configuration.roles.end())
        desired.role = role->second;
    desired.checksFencing = allCheckFencing && !desired.loads.empty();
    desired.outageOrders = continueInOutage && !desired.loads.empty() ? OutageOrders::Continue
                                                                      : OutageOrders::Stop;
    return desired;
}

} // namespace godwit
