#pragma once

#include <godwit/base/ids.h>
#include <godwit/ports/modelpin.h>

#include <set>
#include <vector>

namespace godwit {

/// What an engine does in a deployment that separates prompt processing from token generation.
enum class EngineRole {
    Mixed, ///< Runs any request.
    Prefill,
    Decode,
};

/// Whether a backend server takes new requests.
enum class ServingState {
    Serving,
    Leaving, ///< Finishes its requests.
    Drained, ///< Taken out of service by an operator.
};

/// What is known about one backend server, apart from its load.
struct Backend
{
    BackendId id;
    HostId host;
    ZoneId zone;
    RegionId region;
    EngineRole role = EngineRole::Mixed;
    ServingState drain = ServingState::Serving;
    std::vector<ModelPin> loaded;
    std::set<DeploymentId> allowed; ///< Deployments whose requests it may run.

    friend bool operator==(const Backend &, const Backend &) = default;
};

} // namespace godwit
