#pragma once

#include <godwit/weights/manifest.h>

#include <span>
#include <vector>

namespace godwit {

/// Finds the chunks of a manifest by their digest. Chunks with equal bytes, such as padding, have
/// the same digest.
class DigestIndex
{
public:
    /// Keeps a reference to \a chunks.
    explicit DigestIndex(const std::vector<Digest> &chunks);

    /// Chunks with this digest in ascending order; empty if there is none.
    std::span<const ChunkIndex> find(const Digest &digest) const;

private:
    const std::vector<Digest> &m_chunks;
    std::vector<ChunkIndex> m_sorted; ///< By digest, then by index.
};

} // namespace godwit
