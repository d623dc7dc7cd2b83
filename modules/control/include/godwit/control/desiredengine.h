#pragma once

#include <godwit/control/configuration.h>
#include <godwit/control/loadedmodel.h>

#include <set>
#include <vector>

namespace godwit {

/// State that the configuration requires of one engine.
struct DesiredEngine
{
    std::set<LoadedModel> loads; ///< Base models of adapters are included.
    BackendRole role = BackendRole::Mixed;
    /// True if all deployments of the engine have checksFencing set.
    bool checksFencing = false;
    /// Continue if all deployments of the engine allow it.
    OutageOrders outageOrders = OutageOrders::Stop;

    friend bool operator==(const DesiredEngine &, const DesiredEngine &) = default;
};

/// Version that \a order requires on its host at \a index.
VersionId versionAt(const LoadOrder &order, std::size_t index);

/// Hosts on which \a order requires \a version. During a rolling change the hosts of later steps do
/// not have the target version yet and must not be used as sources of its weights.
std::vector<HostId> hostsWithVersion(const LoadOrder &order, const VersionId &version);

/// Returns the desired state of \a backend on \a host. Without an order, the engine has no loads,
/// and its orders stop during an outage.
DesiredEngine desiredEngine(const Configuration &configuration, const HostId &host,
                            const BackendId &backend);

} // namespace godwit
