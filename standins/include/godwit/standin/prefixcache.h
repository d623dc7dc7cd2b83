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

/// Prefix cache of an engine: a bounded number of blocks, the least recently used is evicted.
/// Records its changes as events.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t capacity);

    /// Number of leading \a blocks that are cached for \a pin; counts as a use.
    std::size_t lookup(const ModelPin &pin, const std::vector<std::string> &blocks);

    /// Adds \a blocks, a chain from the start of a prompt.
    void insert(const ModelPin &pin, const std::vector<std::string> &blocks);

    void clear();

    /// The chain that ends in \a block, empty if it is not wholly cached.
    std::vector<std::string> chain(const ModelPin &pin, const std::string &block) const;

    std::size_t size() const { return m_index.size(); }
    std::size_t capacity() const { return m_capacity; }

    /// Events since the last call.
    std::vector<CacheEvent> takeEvents() { return std::exchange(m_events, {}); }

private:
    using Name = std::pair<ModelPin, std::string>;
    struct Block
    {
        Name name;
        std::string parent;
    };

    void record(CacheEventKind kind, const Name &name);

    std::size_t m_capacity;
    std::list<Block> m_used; ///< Most recently used first.
    std::map<Name, std::list<Block>::iterator> m_index;
    std::vector<CacheEvent> m_events;
    std::uint64_t m_sequence = 0;
};

} // namespace godwit::standin
