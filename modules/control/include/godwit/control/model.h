#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/modelversion.h>

#include <map>

namespace godwit {

/// A base model of one deployment.
struct Model
{
    DeploymentId deployment;
    std::map<VersionId, ModelVersion> versions;

    friend bool operator==(const Model &, const Model &) = default;
};

template <>
struct JsonFields<Model>
{
    static constexpr auto table = std::tuple{field("deployment", &Model::deployment),
                                             field("versions", &Model::versions)};
};

} // namespace godwit
