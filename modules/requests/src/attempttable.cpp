#include <godwit/requests/attempttable.h>

#include <algorithm>

namespace godwit {

AttemptTable::AttemptTable(Incarnation incarnation, Limits limits)
    : m_incarnation(incarnation)
    , m_limits(limits)
{}

AttemptTable::Status AttemptTable::receive(const AttemptKey &key, const AttemptTerms &terms,
                                           TimePoint now)
{
    evictExpired(now);
    if (terms.incarnation != m_incarnation)
        return {ResultCode::AttemptForOtherProcess, RunState::Unknown};
    if (const auto it = m_entries.find(key); it != m_entries.end()) {
        const Status known = statusOf(it->second);
        return {known ? ResultCode::AttemptDuplicate : known.code, known.state};
    }
    if (terms.startBefore <= now) {
        const bool isRetained = now < terms.startBefore + RetentionAfterExpiry;
        return {ResultCode::AttemptExpired, isRetained ? RunState::NotRun : RunState::Unknown};
    }
    if (terms.startBefore > now + m_limits.maxLifetime)
        return {ResultCode::AttemptTermsInvalid, RunState::Unknown};
    if (m_entries.size() >= m_limits.maxEntries || terms.startBefore <= m_refusedStartBefore)
        return refuseTableFull(terms);
    m_entries.emplace(key, Entry{Phase::Received, RunState::NotRun, terms.startBefore});
    return {};
}

AttemptTable::Status AttemptTable::dispatch(const AttemptKey &key, TimePoint now)
{
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return {ResultCode::AttemptExpired, RunState::Unknown};
    Entry &entry = it->second;
    if (entry.phase != Phase::Received)
        return statusOf(entry);
    if (entry.startBefore <= now) {
        closeEntry(key, entry, Phase::Withdrawn, RunState::NotRun);
        return {ResultCode::AttemptExpired, RunState::NotRun};
    }
    entry.phase = Phase::Dispatched;
    entry.state = RunState::Unknown;
    return {ResultCode::Ok, RunState::Unknown};
}

void AttemptTable::finish(const AttemptKey &key, RunState state, TimePoint now)
{
    if (const auto it = m_entries.find(key); it != m_entries.end() && !isClosed(it->second))
        closeEntry(key, it->second, Phase::Finished, state);
    evictExpired(now);
}

AttemptTable::Status AttemptTable::withdraw(const AttemptKey &key, const AttemptTerms &terms,
                                            TimePoint now)
{
    evictExpired(now);
    if (terms.incarnation != m_incarnation)
        return {ResultCode::AttemptForOtherProcess, RunState::Unknown};
    const auto it = m_entries.find(key);
    if (it == m_entries.end())
        return withdrawUnknown(key, terms, now);
    if (it->second.phase == Phase::Received)
        closeEntry(key, it->second, Phase::Withdrawn, RunState::NotRun);
    const Status known = statusOf(it->second);
    return known.code == ResultCode::AttemptWithdrawn ? Status{ResultCode::Ok, known.state} : known;
}

std::vector<AttemptKey> AttemptTable::inProgress() const
{
    std::vector<AttemptKey> keys;
    for (const auto &[key, entry] : m_entries) {
        if (!isClosed(entry))
            keys.push_back(key);
    }
    std::sort(keys.begin(), keys.end());
    return keys;
}

bool AttemptTable::isClosed(const Entry &entry)
{
    return entry.phase == Phase::Finished || entry.phase == Phase::Withdrawn;
}

AttemptTable::Status AttemptTable::statusOf(const Entry &entry)
{
    switch (entry.phase) {
    case Phase::Received:
        // The first copy may still be dispatched, so nothing can be proved.
        return {ResultCode::AttemptDuplicate, RunState::Unknown};
    case Phase::Dispatched:
        return {ResultCode::AttemptInProgress, RunState::Unknown};
    case Phase::Finished:
        return {ResultCode::AttemptFinished, entry.state};
    case Phase::Withdrawn:
        return {ResultCode::AttemptWithdrawn, RunState::NotRun};
    }
    return {ResultCode::AttemptDuplicate, RunState::Unknown};
}

void AttemptTable::closeEntry(const AttemptKey &key, Entry &entry, Phase phase, RunState state)
{
    entry.phase = phase;
    entry.state = state;
    m_expiries.emplace(entry.startBefore + RetentionAfterExpiry, key);
}

void AttemptTable::evictExpired(TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.top().first <= now) {
        m_entries.erase(m_expiries.top().second);
        m_expiries.pop();
    }
}

AttemptTable::Status AttemptTable::refuseTableFull(const AttemptTerms &terms)
{
    m_refusedStartBefore = std::max(m_refusedStartBefore, terms.startBefore);
    return {ResultCode::AttemptTableFull, RunState::NotRun};
}

AttemptTable::Status AttemptTable::withdrawUnknown(const AttemptKey &key, const AttemptTerms &terms,
                                                   TimePoint now)
{
    if (now >= terms.startBefore + RetentionAfterExpiry)
        return {ResultCode::AttemptExpired, RunState::Unknown};
    if (terms.startBefore > now + m_limits.maxLifetime)
        return {ResultCode::AttemptTermsInvalid, RunState::Unknown};
    if (m_entries.size() >= m_limits.maxEntries) {
        refuseTableFull(terms);
        return {ResultCode::Ok, RunState::NotRun};
    }
    Entry &entry = m_entries[key];
    entry.startBefore = terms.startBefore;
    closeEntry(key, entry, Phase::Withdrawn, RunState::NotRun);
    return {ResultCode::Ok, RunState::NotRun};
}

} // namespace godwit
