#pragma once

#include <godwit/gateway/requestcontent.h>

#include <cstddef>
#include <list>
#include <unordered_map>

namespace godwit {

/// A bounded set of keys; the one that was added longest ago is dropped first.
class RecentKeys
{
public:
    explicit RecentKeys(std::size_t capacity)
        : m_capacity(capacity)
    {}

    /// Adds \a key, or marks it as the newest.
    void add(const ContentKey &key);
    bool contains(const ContentKey &key) const { return m_positions.contains(key); }
    std::size_t size() const { return m_positions.size(); }

private:
    std::size_t m_capacity;
    std::list<ContentKey> m_keys; ///< Newest first.
    std::unordered_map<ContentKey, std::list<ContentKey>::iterator> m_positions;
};

} // namespace godwit
