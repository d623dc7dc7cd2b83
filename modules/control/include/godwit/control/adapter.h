#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/modelversion.h>

#include <map>

namespace godwit {

/// Adapter of a base model. An engine loads it only together with its base version.
struct Adapter
{
    ModelId model;         ///< Base model.
    VersionId baseVersion; ///< Version of the base model.
    std::map<VersionId, ModelVersion> versions;

    friend bool operator==(const Adapter &, const Adapter &) = default;
};

template <>
struct JsonFields<Adapter>
{
    static constexpr auto table = std::tuple{field("model", &Adapter::model),
                                             field("base_version", &Adapter::baseVersion),
                                             field("versions", &Adapter::versions)};
};

} // namespace godwit
