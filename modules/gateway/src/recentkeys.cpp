#include <godwit/gateway/recentkeys.h>

#include <algorithm>

namespace godwit {

void RecentKeys::add(const ContentKey &key, std::uint64_t version)
{
    const auto known = m_positions.find(key);
    if (known != m_positions.end()) {
        known->second->version = std::max(known->second->version, version);
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front({key, version});
    m_positions[key] = m_entries.begin();
    if (m_positions.size() <= m_capacity)
        return;
    m_positions.erase(m_entries.back().key);
    m_entries.pop_back();
}

bool RecentKeys::contains(const ContentKey &key, std::uint64_t version) const
{
    const auto known = m_positions.find(key);
    return known != m_positions.end() && known->second->version >= version;
}

} // namespace godwit
