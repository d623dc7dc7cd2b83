#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/result.h>

#include <cstdint>
#include <string_view>
#include <tuple>
#include <vector>

namespace godwit {

/// Index of a chunk in its manifest.
using ChunkIndex = std::uint32_t;

/// Limits of a manifest. They bound the memory that a hostile manifest can claim.
struct ManifestLimits
{
    static constexpr std::size_t TextBytes = 6U << 20; ///< 65,536 digests take 4.4 MB of JSON.
    static constexpr std::uint32_t Chunks = 65536;
    static constexpr std::uint32_t MinChunkBytes = 1024;
    static constexpr std::uint32_t MaxChunkBytes = 64U << 20;
    static constexpr std::size_t NameLength = 128;
};

/// Digest list of one version of the weights of a model or adapter. All chunks have chunkBytes
/// bytes except the last, which has the rest. Any number of them may have equal bytes.
struct Manifest
{
    DeploymentId deployment;
    ModelId model;
    AdapterId adapter; ///< Empty for a base model.
    VersionId version;
    VersionId baseVersion; ///< Version of the base model that an adapter needs; else empty.
    std::uint64_t totalBytes = 0;
    std::uint32_t chunkBytes = 0;
    std::vector<Digest> chunks;
    Digest content = {}; ///< Digest of all bytes in order; the engine verifies it again.

    bool isAdapter() const { return !adapter.empty(); }
    ChunkIndex chunkCount() const { return static_cast<ChunkIndex>(chunks.size()); }

    /// Size of chunk \a index in bytes; \a index must be below chunkCount().
    std::uint32_t chunkSize(ChunkIndex index) const;

    /// Digest over all fields. It identifies the transfer of this manifest.
    Digest digest() const;

    friend bool operator==(const Manifest &, const Manifest &) = default;
};

/// Checks sizes, counts, names and the digest of the last chunk. Fails with ManifestSizesInvalid,
/// ManifestDuplicateChunk or ManifestNameInvalid.
Result<void> validate(const Manifest &manifest);

/// Parses and validates JSON \a text from the wire. Fails with ManifestTooLarge before it allocates
/// memory, with JsonMalformed, JsonFieldInvalid or DigestMalformed, or like validate().
Result<Manifest> parseManifest(std::string_view text);

template <>
struct JsonFields<Manifest>
{
    static constexpr auto table = std::tuple{field("deployment", &Manifest::deployment),
                                             field("model", &Manifest::model),
                                             field("adapter", &Manifest::adapter),
                                             field("version", &Manifest::version),
                                             field("base_version", &Manifest::baseVersion),
                                             field("total_bytes", &Manifest::totalBytes),
                                             field("chunk_bytes", &Manifest::chunkBytes),
                                             field("content", &Manifest::content),
                                             field("chunks", &Manifest::chunks)};
};

} // namespace godwit
