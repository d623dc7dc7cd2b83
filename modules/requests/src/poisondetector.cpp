#include <godwit/requests/poisondetector.h>

#include <algorithm>

namespace godwit {

PoisonDetector::Decision PoisonDetector::decide(const Digest &content, const BackendId &backend,
                                                TimePoint now) const
{
    const std::size_t crashes = unclearedCrashes(content, now);
    if (crashes == 0)
        return Decision::Run;
    if (crashes >= 2)
        return Decision::Refuse;
    for (const auto &[other, contents] : m_running) {
        if (contents.contains(content))
            return Decision::Wait;
        const bool runsBesideSuspect =
                other == backend
                && std::any_of(contents.begin(), contents.end(), [&](const Digest &running) {
                       return unclearedCrashes(running, now) > 0;
                   });
        if (runsBesideSuspect)
            return Decision::Wait;
    }
    return Decision::Run;
}

void PoisonDetector::recordStart(const Digest &content, const BackendId &backend)
{
    m_running[backend].insert(content);
}

void PoisonDetector::recordCompletion(const Digest &content, const BackendId &backend)
{
    removeRunning(content, backend);
    const auto it = m_records.find(content);
    if (it != m_records.end() && it->second.unclearedCrashes() == 1)
        it->second.clearedCrashes = it->second.crashes.size();
}

void PoisonDetector::recordAbandoned(const Digest &content, const BackendId &backend)
{
    removeRunning(content, backend);
}

std::vector<PoisonRecord> PoisonDetector::recordCrash(const BackendId &backend,
                                                      Incarnation incarnation, TimePoint now)
{
    evictRecords(now);
    const auto it = m_running.find(backend);
    if (it == m_running.end())
        return {};
    std::set<Digest> suspects;
    for (const Digest &content : it->second) {
        if (unclearedCrashes(content, now) > 0)
            suspects.insert(content);
    }
    // A suspect explains the crash, so the crash is not attributed to other content on the server.
    if (suspects.empty())
        suspects.insert(it->second.begin(), it->second.end());
    m_running.erase(it);
    std::vector<PoisonRecord> changed;
    for (const Digest &content : suspects) {
        State &state = m_records[content];
        state.crashes.insert(backend.value() + '/' + std::to_string(incarnation.value));
        state.expiresAt = now + RecordLifetime;
        changed.push_back(record(content, state, now));
    }
    return changed;
}

void PoisonDetector::merge(const PoisonRecord &record, TimePoint now)
{
    evictRecords(now);
    if (record.crashes.empty() || record.remaining <= Duration(0))
        return;
    State &state = m_records[record.content];
    state.crashes.insert(record.crashes.begin(), record.crashes.end());
    state.clearedCrashes = std::max<std::size_t>(state.clearedCrashes, record.clearedCrashes);
    state.expiresAt = std::max(state.expiresAt, now + std::min(record.remaining, RecordLifetime));
}

std::vector<PoisonRecord> PoisonDetector::records(TimePoint now) const
{
    std::vector<PoisonRecord> all;
    for (const auto &[content, state] : m_records) {
        if (now < state.expiresAt)
            all.push_back(record(content, state, now));
    }
    return all;
}

std::size_t PoisonDetector::unclearedCrashes(const Digest &content, TimePoint now) const
{
    const auto it = m_records.find(content);
    return it == m_records.end() || now >= it->second.expiresAt ? 0 : it->second.unclearedCrashes();
}

PoisonRecord PoisonDetector::record(const Digest &content, const State &state, TimePoint now) const
{
    return {content, state.crashes, state.clearedCrashes, state.expiresAt - now};
}

void PoisonDetector::removeRunning(const Digest &content, const BackendId &backend)
{
    const auto it = m_running.find(backend);
    if (it == m_running.end())
        return;
    if (const auto running = it->second.find(content); running != it->second.end())
        it->second.erase(running);
    if (it->second.empty())
        m_running.erase(it);
}

void PoisonDetector::evictRecords(TimePoint now)
{
    std::erase_if(m_records, [&](const auto &item) { return now >= item.second.expiresAt; });
    while (m_records.size() >= MaxRecords) {
        m_records.erase(std::min_element(m_records.begin(), m_records.end(),
                                         [](const auto &a, const auto &b) {
                                             return a.second.expiresAt < b.second.expiresAt;
                                         }));
    }
}

} // namespace godwit
