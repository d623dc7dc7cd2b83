#pragma once

#include <godwit/routing/backend.h>

#include <cstdint>
#include <vector>

namespace godwit {

/// Properties of a request that server selection depends on.
struct RoutingRequest
{
    DeploymentId deployment;
    ModelPin pin;
    /// Further pins that the request accepts until it is bound to a model version. They differ from
    /// `pin` in the version only.
    std::vector<ModelPin> alternatives;
    EngineRole role = EngineRole::Mixed;
    std::uint32_t promptTokens = 0;
    std::uint32_t tokensPerBlock = 64; ///< Block size of the engines' prefix caches.
    /// Hashes of the prompt's blocks in prompt order. Each hash also covers all preceding blocks,
    /// so equal hashes imply equal prefixes.
    std::vector<std::uint64_t> prefix;
    std::vector<BackendId> excluded; ///< Servers that are full or failed an earlier attempt.
};

} // namespace godwit
