#pragma once

#include <godwit/weights/manifest.h>

#include <cstdint>

namespace godwit {

/// Which chunks of a model's weights hold its layers.
struct LayerLayout
{
    ChunkIndex chunkCount = 0;
    std::uint32_t layerCount = 1; ///< At least 1.

    /// Index of the first chunk with bytes of \a layer.
    ChunkIndex firstChunk(std::uint32_t layer) const
    {
        return static_cast<ChunkIndex>(std::uint64_t{chunkCount} * layer / layerCount);
    }

    /// One past the last chunk with bytes of the layers before \a layer. A chunk may hold bytes of
    /// two layers.
    ChunkIndex endChunk(std::uint32_t layer) const
    {
        return static_cast<ChunkIndex>((std::uint64_t{chunkCount} * layer + layerCount - 1)
                                       / layerCount);
    }

    friend bool operator==(const LayerLayout &, const LayerLayout &) = default;
};

} // namespace godwit
