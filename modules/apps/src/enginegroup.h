#pragma once

#include <godwit/base/ids.h>

#include <compare>

namespace godwit {

/// Engines that serve the versions of one model, or of one adapter of it, for one deployment.
struct EngineGroup
{
    DeploymentId deployment;
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.

    friend auto operator<=>(const EngineGroup &, const EngineGroup &) = default;
};

} // namespace godwit
