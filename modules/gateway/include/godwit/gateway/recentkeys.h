#pragma once

#include <godwit/gateway/requestcontent.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

namespace godwit {

/// A bounded set of keys, each with the newest version of the weights that it holds for. The key
/// that was added longest ago is dropped first.
class RecentKeys
{
public:
    explicit RecentKeys(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// Adds \a key for weights up to \a version, or marks it as the newest.
    void add(const ContentKey &key, std::uint64_t version);
    /// Whether \a key holds for weights of any version.
    bool contains(const ContentKey &key) const { return m_positions.contains(key); }
    /// Whether \a key holds for weights of \a version.
    bool contains(const ContentKey &key, std::uint64_t version) const;
    std::size_t size() const { return m_positions.size(); }

private:
    struct Entry
    {
        ContentKey key;
        std::uint64_t version;
    };

    std::size_t m_capacity;
    std::list<Entry> m_entries; ///< Newest first.
    std::unordered_map<ContentKey, std::list<Entry>::iterator> m_positions;
};

} // namespace godwit
