#pragma once

#include <godwit/weights/manifest.h>

#include <bit>
#include <cstdint>
#include <vector>

namespace godwit {

/// Set of chunk indexes below a fixed size, stored as a bitmap.
class ChunkSet
{
public:
    explicit ChunkSet(ChunkIndex size = 0, bool filled = false)
        : m_size(size)
        , m_count(filled ? size : 0)
        , m_words((size + 63) / 64, filled ? ~0ULL : 0)
    {
        if (filled && size % 64)
            m_words.back() = (1ULL << (size % 64)) - 1;
    }

    ChunkIndex size() const { return m_size; }
    ChunkIndex count() const { return m_count; }
    bool full() const { return m_count == m_size; }
    bool contains(ChunkIndex index) const
    {
        return index < m_size && (m_words[index / 64] >> (index % 64) & 1);
    }

    /// Adds \a index. Returns false if it is out of range or was present.
    bool insert(ChunkIndex index)
    {
        if (index >= m_size || contains(index))
            return false;
        m_words[index / 64] |= 1ULL << (index % 64);
        ++m_count;
        return true;
    }

    /// Removes \a index. Returns false if it was not present.
    bool erase(ChunkIndex index)
    {
        if (!contains(index))
            return false;
        m_words[index / 64] &= ~(1ULL << (index % 64));
        --m_count;
        return true;
    }

    /// Bitmap of the 64 indexes from 64 * \a word, lowest index in the lowest bit.
    std::uint64_t word(std::size_t word) const { return m_words[word]; }
    std::size_t wordCount() const { return m_words.size(); }

    /// Calls \a function for each contained index in ascending order.
    template <typename Function>
    void forEach(Function &&function) const
    {
        for (std::size_t w = 0; w < m_words.size(); ++w) {
            for (std::uint64_t bits = m_words[w]; bits; bits &= bits - 1)
                function(static_cast<ChunkIndex>(w * 64 + std::countr_zero(bits)));
        }
    }

    friend bool operator==(const ChunkSet &, const ChunkSet &) = default;

private:
    ChunkIndex m_size;
    ChunkIndex m_count;
    std::vector<std::uint64_t> m_words;
};

} // namespace godwit
