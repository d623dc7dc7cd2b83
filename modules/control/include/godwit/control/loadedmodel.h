#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Model or adapter that is loaded in an engine.
struct LoadedModel
{
    ModelId model;
    AdapterId adapter; ///< Empty for the base model.
    VersionId version; ///< Version of the adapter, or of the model if there is no adapter.

    friend auto operator<=>(const LoadedModel &, const LoadedModel &) = default;
};

template <>
struct JsonFields<LoadedModel>
{
    static constexpr auto table =
            std::tuple{field("model", &LoadedModel::model), field("adapter", &LoadedModel::adapter),
                       field("version", &LoadedModel::version)};
};

} // namespace godwit
