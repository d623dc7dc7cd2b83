#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/json.h>

#include <cstdint>

namespace godwit {

/// Immutable version of the weights of a model or adapter.
struct ModelVersion
{
    Digest manifest;         ///< Digest of the chunk list.
    std::uint64_t bytes = 0; ///< Size of the weights.

    friend bool operator==(const ModelVersion &, const ModelVersion &) = default;
};

template <>
struct JsonFields<ModelVersion>
{
    static constexpr auto table = std::tuple{field("manifest", &ModelVersion::manifest),
                                             field("bytes", &ModelVersion::bytes)};
};

} // namespace godwit
