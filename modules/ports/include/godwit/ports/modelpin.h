#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <compare>

namespace godwit {

/// Identifies exactly one set of weights. An empty adapter means the base model.
struct ModelPin
{
    ModelId model;
    AdapterId adapter;
    VersionId version;

    friend auto operator<=>(const ModelPin &, const ModelPin &) = default;
};

template <>
struct JsonFields<ModelPin>
{
    static constexpr auto table =
            std::tuple{field("model", &ModelPin::model), field("adapter", &ModelPin::adapter),
                       field("version", &ModelPin::version)};
};

/// Formats \a pin as "MODEL/ADAPTER/VERSION", with "base" for an empty adapter.
std::string toString(const ModelPin &pin);

} // namespace godwit
