#include <godwit/standin/prefixcache.h>

#include <algorithm>

namespace godwit::standin {

PrefixCache::PrefixCache(std::size_t capacity)
    : m_capacity(capacity)
{}

std::size_t PrefixCache::lookup(const ModelPin &pin, const std::vector<std::string> &blocks)
{
    std::size_t n = 0;
    while (n < blocks.size() && m_index.contains({pin, blocks[n]}))
        ++n;
    // Moves the first block to the front last, so that the start of a chain is evicted last.
    for (std::size_t i = n; i > 0; --i)
        m_recentlyUsed.splice(m_recentlyUsed.begin(), m_recentlyUsed,
                              m_index.at({pin, blocks[i - 1]}));
    return n;
}

void PrefixCache::insert(const ModelPin &pin, const std::vector<std::string> &blocks)
{
    const std::size_t n = std::min(blocks.size(), m_capacity);
    for (std::size_t i = lookup(pin, blocks); i < n; ++i) {
        if (m_index.contains({pin, blocks[i]}))
            continue;
        if (m_index.size() == m_capacity) {
            const BlockKey victim = m_recentlyUsed.back().key;
            m_index.erase(victim);
            m_recentlyUsed.pop_back();
            record(CacheEventKind::Evicted, victim);
        }
        const BlockKey key{pin, blocks[i]};
        m_recentlyUsed.push_front({key, i == 0 ? std::string() : blocks[i - 1]});
        m_index[key] = m_recentlyUsed.begin();
        record(CacheEventKind::Stored, key);
    }
    lookup(pin, blocks);
}

void PrefixCache::clear()
{
    if (m_index.empty())
        return;
    m_index.clear();
    m_recentlyUsed.clear();
    record(CacheEventKind::Cleared, {});
}

std::vector<std::string> PrefixCache::chain(const ModelPin &pin, const std::string &block) const
{
    std::vector<std::string> blocks;
    for (std::string next = block; !next.empty();) {
        const auto it = m_index.find({pin, next});
        if (it == m_index.end())
            return {};
        blocks.push_back(next);
        next = it->second->parent;
    }
    std::ranges::reverse(blocks);
    return blocks;
}

void PrefixCache::record(CacheEventKind kind, const BlockKey &key)
{
    m_events.push_back({++m_sequence, kind, key.first, key.second});
}

} // namespace godwit::standin
