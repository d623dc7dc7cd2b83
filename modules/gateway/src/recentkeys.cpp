#include <godwit/gateway/recentkeys.h>

namespace godwit {

void RecentKeys::add(const ContentKey &key)
{
    const auto known = m_positions.find(key);
    if (known != m_positions.end()) {
        m_keys.splice(m_keys.begin(), m_keys, known->second);
        return;
    }
    m_keys.push_front(key);
    m_positions[key] = m_keys.begin();
    if (m_positions.size() <= m_capacity)
        return;
    m_positions.erase(m_keys.back());
    m_keys.pop_back();
}

} // namespace godwit
