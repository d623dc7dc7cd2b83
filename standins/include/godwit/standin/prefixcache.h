#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/cacheevent.h>

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace godwit::standin {

/// Prefix cache of an engine with a bounded number of blocks and LRU eviction. Records its changes
/// as events.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// Returns the number of leading \a blocks that are cached for \a pin, and marks them as
    /// recently used.
    std::size_t lookup(const ModelPin &pin, const std::vector<std::string> &blocks);

    /// Adds \a blocks, which are consecutive from the start of a prompt.
    void insert(const ModelPin &pin, const std::vector<std::string> &blocks);

    void clear();

    /// Returns the blocks from the start of the prompt to \a block; empty if one is not cached.
    std::vector<std::string> chain(const ModelPin &pin, const std::string &block) const;

    std::size_t size() const { return m_index.size(); }
    std::size_t capacity() const { return m_capacity; }

    /// Returns the events recorded since the last call.
    std::vector<CacheEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
    using BlockKey = std::pair<ModelPin, std::string>;
    struct Block
    {
        BlockKey key;
        std::string parent;
    };

    void record(CacheEventKind kind, const BlockKey &key);

    std::size_t m_capacity;
    std::list<Block> m_recentlyUsed; ///< Most recently used first.
    std::map<BlockKey, std::list<Block>::iterator> m_index;
    std::vector<CacheEvent> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace godwit::standin
