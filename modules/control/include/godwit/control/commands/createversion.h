#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/control/modelversion.h>

namespace godwit {

/// Adds a version to a model, or to an adapter if one is named. Versions are immutable.
struct CreateVersion
{
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.
    VersionId version;
    ModelVersion contents;

    friend bool operator==(const CreateVersion &, const CreateVersion &) = default;
};

template <>
struct JsonFields<CreateVersion>
{
    static constexpr auto table = std::tuple{
            field("model", &CreateVersion::model), field("adapter", &CreateVersion::adapter),
            field("version", &CreateVersion::version), field("contents", &CreateVersion::contents)};
};

} // namespace godwit
