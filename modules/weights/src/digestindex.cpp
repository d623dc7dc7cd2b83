#include "digestindex.h"

#include <algorithm>
#include <numeric>

namespace godwit {

DigestIndex::DigestIndex(const std::vector<Digest> &chunks)
    : m_chunks(chunks)
    , m_sorted(chunks.size())
{
    std::iota(m_sorted.begin(), m_sorted.end(), ChunkIndex(0));
    std::ranges::stable_sort(m_sorted, {}, [this](ChunkIndex it) { return m_chunks[it]; });
}

std::span<const ChunkIndex> DigestIndex::find(const Digest &digest) const
{
    return std::ranges::equal_range(m_sorted, digest, {},
                                    [this](ChunkIndex it) { return m_chunks[it]; });
}

} // namespace godwit
