#include <godwit/standin/keyvaluestore.h>

#include <algorithm>

namespace godwit::standin {

KeyValueStore::KeyValueStore(std::uint64_t historyLimit)
    : m_historyLimit(historyLimit)
{}

bool KeyValueStore::inRange(const std::string &key, const std::string &first,
                            const std::string &end)
{
    if (end.empty())
        return key == first;
    const bool isUnbounded = end.size() == 1 && end.front() == '\0';
    return key >= first && (isUnbounded || key < end);
}

const KeyValueStore::Entry *KeyValueStore::find(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? nullptr : &it->second;
}

std::vector<std::pair<std::string, KeyValueStore::Entry>>
KeyValueStore::range(const std::string &first, const std::string &end) const
{
    std::vector<std::pair<std::string, Entry>> found;
    for (auto it = m_entries.lower_bound(first); it != m_entries.end(); ++it) {
        if (!inRange(it->first, first, end))
            break;
        found.emplace_back(*it);
    }
    return found;
}

Result<void> KeyValueStore::apply(const std::vector<Write> &writes)
{
    for (const Write &each : writes) {
        if (each.lease != 0 && !m_leases.contains(each.lease))
            return fail(ResultCode::LeaseExpired, "requested lease not found");
    }
    const bool changes = std::ranges::any_of(writes, [this](const Write &each) {
        return !each.remove || !range(each.key, each.end).empty();
    });
    if (!changes)
        return {};
    ++m_revision;
    for (const Write &each : writes)
        write(each);
    return {};
}

void KeyValueStore::write(const Write &write)
{
    if (write.remove) {
        for (const auto &[key, entry] : range(write.key, write.end))
            remove(key);
        return;
    }
    Entry &entry = m_entries[write.key];
    if (entry.version == 0)
        entry.created = m_revision;
    if (entry.lease != write.lease)
        detachFromLease(write.key, entry.lease);
    entry.value = write.value;
    entry.modified = m_revision;
    ++entry.version;
    entry.lease = write.lease;
    if (write.lease != 0)
        m_leases[write.lease].keys.insert(write.key);
    record({m_revision, false, write.key, entry});
}

void KeyValueStore::remove(const std::string &key)
{
    detachFromLease(key, m_entries[key].lease);
    m_entries.erase(key);
    record({m_revision, true, key, {}});
}

void KeyValueStore::detachFromLease(const std::string &key, std::uint64_t lease)
{
    const auto it = m_leases.find(lease);
    if (it != m_leases.end())
        it->second.keys.erase(key);
}

void KeyValueStore::record(Event event)
{
    m_history.push_back(std::move(event));
    while (m_history.size() > m_historyLimit) {
        m_compacted = m_history.front().revision;
        m_history.pop_front();
    }
}

void KeyValueStore::compact()
{
    m_history.clear();
    m_compacted = m_revision;
}

std::uint64_t KeyValueStore::grantLease(std::uint64_t seconds, TimePoint now)
{
    Lease lease;
    lease.seconds = seconds;
    lease.expiry = now + std::chrono::seconds(seconds);
    m_leases.emplace(++m_lastLease, std::move(lease));
    return m_lastLease;
}

std::uint64_t KeyValueStore::keepAlive(std::uint64_t lease, TimePoint now)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return 0;
    it->second.expiry = now + std::chrono::seconds(it->second.seconds);
    return it->second.seconds;
}

bool KeyValueStore::revokeLease(std::uint64_t lease)
{
    const auto it = m_leases.find(lease);
    if (it == m_leases.end())
        return false;
    const std::set<std::string> keys = it->second.keys;
    m_leases.erase(it);
    if (!keys.empty())
        ++m_revision;
    for (const std::string &key : keys)
        remove(key);
    return true;
}

bool KeyValueStore::expire(TimePoint now)
{
    std::vector<std::uint64_t> ended;
    for (const auto &[id, lease] : m_leases) {
        if (lease.expiry <= now)
            ended.push_back(id);
    }
    for (const std::uint64_t id : ended)
        revokeLease(id);
    return !ended.empty();
}

std::optional<TimePoint> KeyValueStore::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const auto &[id, lease] : m_leases)
        next = next ? std::min(*next, lease.expiry) : lease.expiry;
    return next;
}

std::optional<std::vector<KeyValueStore::Event>> KeyValueStore::eventsFrom(std::uint64_t from) const
{
    if (from <= m_compacted)
        return std::nullopt;
    const auto first = std::ranges::lower_bound(m_history, from, {}, &Event::revision);
    return std::vector<Event>(first, m_history.end());
}

} // namespace godwit::standin
