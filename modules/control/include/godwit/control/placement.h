#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/configuration.h>
#include <godwit/control/placementhost.h>

#include <cstddef>
#include <set>
#include <string_view>
#include <vector>

namespace godwit {

/// Chooses \a count of \a hosts for \a key by rendezvous hashing and distributes them over zones:
/// each next host is the highest-ranked one of the zones with the fewest chosen hosts, counting
/// those in \a present. Hosts in \a present are not chosen again. Returns fewer hosts if there are
/// not enough.
std::vector<HostId> choosePlacement(std::string_view key, const std::vector<HostLocation> &hosts,
                                    const std::set<HostId> &present, std::size_t count);

/// Returns those of \a hosts on which \a deployment may be placed: allowed and not drained.
std::vector<HostLocation> eligibleHosts(const Configuration &configuration,
                                        const Deployment &deployment,
                                        const std::vector<HostLocation> &hosts);

} // namespace godwit
