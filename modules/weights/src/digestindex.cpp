#include "digestindex.h"

#include <algorithm>
#include <numeric>

namespace godwit {

DigestIndex::DigestIndex(const std::vector<Digest> &chunks)
    : m_chunks(chunks)
    , m_sorted(chunks.size())
{
    std::iota(m_sorted.begin(), m_sorted.end(), ChunkIndex(0));
    std::ranges::stable_sort(m_sorted, {},
                             [this](ChunkIndex it) -> const Digest & { return m_chunks[it]; });
}

std::span<const ChunkIndex> DigestIndex::find(const Digest &digest) const
{
    const auto digestOf = [this](ChunkIndex it) -> const Digest & { return m_chunks[it]; };
    const auto first = std::ranges::lower_bound(m_sorted, digest, {}, digestOf);
    const auto end = std::ranges::upper_bound(m_sorted, digest, {}, digestOf);
    return {first, end};
}

} // namespace godwit
