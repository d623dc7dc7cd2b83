#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Creates an adapter without versions for one version of a model.
struct CreateAdapter
{
    AdapterId adapter;
    ModelId model;
    VersionId baseVersion;

    friend bool operator==(const CreateAdapter &, const CreateAdapter &) = default;
};

template <>
struct JsonFields<CreateAdapter>
{
    static constexpr auto table = std::tuple{field("adapter", &CreateAdapter::adapter),
                                             field("model", &CreateAdapter::model),
                                             field("base_version", &CreateAdapter::baseVersion)};
};

} // namespace godwit
