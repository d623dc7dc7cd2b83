#include <godwit/gateway/crashsuspects.h>

#include <algorithm>

namespace godwit {

namespace {

std::vector<ContentKey> allKeys(const RequestContent &content)
{
    std::vector<ContentKey> keys = content.sharedParts;
    keys.push_back(content.whole);
    return keys;
}

} // namespace

CrashSuspects::Decision CrashSuspects::decide(const RequestContent &content, TimePoint now)
{
    const std::vector<ContentKey> suspended = suspendedKeys(content, now);
    if (suspended.empty())
        return Decision::Run;
    for (const ContentKey &it : suspended)
        extendIfCertain(it, now);
    const bool mayBeHarmless = std::ranges::all_of(
            suspended, [&](const ContentKey &it) { return hasOtherCause(it, suspended, now); });
    if (now < m_nextTrialAt || !mayBeHarmless)
        return Decision::Refuse;
    m_nextTrialAt = now + TrialInterval;
    return Decision::Trial;
}

bool CrashSuspects::isSuspended(const RequestContent &content, TimePoint now) const
{
    return !suspendedKeys(content, now).empty();
}

std::vector<ContentKey> CrashSuspects::suspendedKeys(const RequestContent &content,
                                                     TimePoint now) const
{
    std::vector<ContentKey> keys;
    if (m_suspects.empty())
        return keys;
    for (const ContentKey &it : allKeys(content)) {
        const auto suspect = m_suspects.find(it);
        if (suspect != m_suspects.end() && now < suspect->second.suspendedUntil)
            keys.push_back(it);
    }
    return keys;
}

bool CrashSuspects::isCertain(const ContentKey &key) const
{
    return m_suspects.at(key).crashes.size() >= CertainCrashes;
}

bool CrashSuspects::hasOtherCause(const ContentKey &key, const std::vector<ContentKey> &present,
                                  TimePoint now) const
{
    const auto &crashes = m_suspects.at(key).crashes;
    const bool needsAllCrashes = isCertain(key);
    return std::ranges::any_of(m_suspects, [&](const auto &it) {
        return !isWholeRequest(it.first) && now < it.second.suspendedUntil
               && std::ranges::find(present, it.first) == present.end()
               && (!needsAllCrashes || std::ranges::includes(it.second.crashes, crashes));
    });
}

void CrashSuspects::extendIfCertain(const ContentKey &key, TimePoint now)
{
    if (!isCertain(key))
        return;
    Suspect &suspect = m_suspects.at(key);
    suspect.suspendedUntil = now + LongSuspension;
    suspect.expiresAt = now + LongSuspension;
}

bool CrashSuspects::isHarmless(const ContentKey &key) const
{
    return m_harmlessParts.contains(key) || m_harmlessRequests.contains(key);
}

std::vector<ContentKey> CrashSuspects::recordStart(const RequestContent &content)
{
    m_harmlessRequests.add(content.whole);
    for (const ContentKey &it : content.sharedParts)
        m_harmlessParts.add(it);
    std::vector<ContentKey> cleared;
    if (m_suspects.empty())
        return cleared;
    for (const ContentKey &it : allKeys(content)) {
        const auto suspect = m_suspects.find(it);
        if (suspect == m_suspects.end())
            continue;
        if (suspect->second.crashes.size() >= MinCrashes)
            cleared.push_back(it);
        m_suspects.erase(suspect);
    }
    return cleared;
}

std::optional<CrashReport> CrashSuspects::recordCrash(const BackendInstance &instance,
                                                      const RequestContent &content, TimePoint now)
{
    evict(now);
    CrashReport report{instance, {}};
    for (const ContentKey &it : allKeys(content)) {
        if (!isHarmless(it) && addCrash(it, instance, now))
            report.suspects.push_back(it);
    }
    clearExplained();
    if (report.suspects.empty())
        return std::nullopt;
    return report;
}

std::vector<ContentKey> CrashSuspects::merge(const CrashReport &report, TimePoint now)
{
    evict(now);
    std::vector<ContentKey> harmless;
    for (const ContentKey &it : report.suspects) {
        if (isHarmless(it))
            harmless.push_back(it);
        else
            addCrash(it, report.instance, now);
    }
    clearExplained();
    return harmless;
}

void CrashSuspects::recordHarmless(const ContentKey &key)
{
    (isWholeRequest(key) ? m_harmlessRequests : m_harmlessParts).add(key);
    m_suspects.erase(key);
}

bool CrashSuspects::addCrash(const ContentKey &key, const BackendInstance &instance, TimePoint now)
{
    Suspect &suspect = m_suspects[key];
    if (!suspect.crashes.insert(instance).second)
        return false;
    const std::size_t crashes = suspect.crashes.size();
    suspect.expiresAt = now + LongSuspension;
    m_suspensionCount += crashes >= MinCrashes;
    if (crashes >= CertainCrashes)
        suspect.suspendedUntil = now + LongSuspension;
    else if (crashes >= MinCrashes)
        suspect.suspendedUntil = now + ShortSuspension;
    return true;
}

void CrashSuspects::clearExplained()
{
    std::vector<std::set<BackendInstance>> explained;
    for (const auto &[key, suspect] : m_suspects) {
        if (suspect.crashes.size() >= CertainCrashes)
            explained.push_back(suspect.crashes);
    }
    std::erase_if(m_suspects, [&explained](const auto &it) {
        const auto &crashes = it.second.crashes;
        return std::ranges::any_of(explained, [&crashes](const auto &cause) {
            return crashes.size() < cause.size() && std::ranges::includes(cause, crashes);
        });
    });
}

void CrashSuspects::evict(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &it) { return now >= it.second.expiresAt; });
    while (m_suspects.size() >= MaxSuspects) {
        m_suspects.erase(std::ranges::min_element(
                m_suspects, {}, [](const auto &it) { return it.second.expiresAt; }));
    }
}

} // namespace godwit
