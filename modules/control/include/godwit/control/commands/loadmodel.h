#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/deploymentoptions.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace godwit {

/// Creates a load order for a number of replicas or for a list of hosts.
struct LoadModel
{
    DeploymentId deployment;
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.
    VersionId version;
    std::uint32_t replicas = 0; ///< Ignored if hosts are listed.
    std::vector<HostId> hosts;
    std::optional<WeightsPolicy> weightsPolicy = {}; ///< Overrides that of the deployment.
    std::optional<std::uint32_t> priority = {};      ///< Overrides that of the deployment.

    friend bool operator==(const LoadModel &, const LoadModel &) = default;
};

template <>
struct JsonFields<LoadModel>
{
    static constexpr auto table = std::tuple{field("deployment", &LoadModel::deployment),
                                             field("model", &LoadModel::model),
                                             field("adapter", &LoadModel::adapter),
                                             field("version", &LoadModel::version),
                                             field("replicas", &LoadModel::replicas),
                                             field("hosts", &LoadModel::hosts),
                                             field("weights_policy", &LoadModel::weightsPolicy),
                                             field("priority", &LoadModel::priority)};
};

} // namespace godwit
