#pragma once

#include <godwit/base/ids.h>
#include <godwit/ports/modelpin.h>

#include <set>
#include <vector>

namespace godwit {

/// Role of an engine in a deployment that runs prompt processing (prefill) and token generation
/// (decode) on separate engines.
enum class EngineRole {
    Mixed, ///< Runs requests of every role.
    Prefill,
    Decode,
};

/// Whether a backend server accepts new requests.
enum class ServingState {
    Serving,
    Leaving, ///< Completes running requests and accepts no new ones.
    Drained, ///< Removed from service by an operator.
};

/// Static description of a backend server. Its load is tracked by LoadEstimate.
struct Backend
{
    BackendId id;
    HostId host;
    ZoneId zone;
    RegionId region;
    EngineRole role = EngineRole::Mixed;
    ServingState servingState = ServingState::Serving;
    std::vector<ModelPin> loaded;
    std::set<DeploymentId> allowedDeployments; ///< Deployments whose requests the server may run.

    friend bool operator==(const Backend &, const Backend &) = default;
};

} // namespace godwit
