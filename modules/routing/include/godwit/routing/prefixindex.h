#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace godwit {

/// Change of a backend server's prefix cache. Each server numbers its events consecutively from 1.
struct PrefixEvent
{
    enum class Kind {
        Stored,
        Evicted,
        Cleared, ///< The cache was emptied, for example by a restart.
    };

    std::uint64_t sequence = 0;
    Kind kind = Kind::Stored;
    std::vector<std::uint64_t> blocks;
};

/// Tracks which prompt blocks the servers of one deployment have cached, based on their cache
/// events and on the requests that this process sent. The number of blocks is limited; a full index
/// evicts a block by the second-chance (clock) algorithm.
///
/// Servers are identified by a slot number below MaxServers, which the owner of the index assigns.
class PrefixIndex
{
public:
    /// Servers are stored as one bit each of a 64-bit word, so that a lookup takes one operation
    /// per block.
    static constexpr std::size_t MaxServers = 64;

    /// Number of blocks. Each takes about 80 bytes.
    static constexpr std::size_t DefaultCapacity = 65'536;

    explicit PrefixIndex(std::size_t capacity = DefaultCapacity);

    /// Applies an event of \a server. A gap in the sequence numbers marks all blocks of the server
    /// as unconfirmed, because an eviction event may have been lost. If an event arrives out of
    /// order, stored blocks are ignored, because they may have been evicted since; evictions still
    /// apply.
    void apply(std::size_t server, const PrefixEvent &event);

    /// Records that a request with \a prefix was sent to \a server, which will cache its blocks.
    void recordSent(std::size_t server, std::span<const std::uint64_t> prefix);

    /// Removes all information about \a server, so that its slot can be reused.
    void removeServer(std::size_t server);

    /// Number of leading blocks of \a prefix that each server has cached without a gap. Unconfirmed
    /// blocks count half.
    std::array<float, MaxServers> match(std::span<const std::uint64_t> prefix);

    std::size_t size() const { return m_entryIndices.size(); }

private:
    struct Entry
    {
        std::uint64_t block = 0;
        std::uint64_t holders = 0;
        std::uint64_t unconfirmed = 0;
        bool referenced = false;
    };

    Entry &findOrAdd(std::uint64_t block);
    Entry *find(std::uint64_t block);
    std::size_t evictEntry();
    void markUnconfirmed(std::uint64_t bit);

    const std::size_t m_capacity;
    std::vector<Entry> m_entries;
    std::unordered_map<std::uint64_t, std::uint32_t> m_entryIndices;
    std::size_t m_clockHand = 0;
    std::array<std::optional<std::uint64_t>, MaxServers> m_lastSequence;
};

} // namespace godwit
