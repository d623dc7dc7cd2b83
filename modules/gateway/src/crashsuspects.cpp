#include <godwit/gateway/crashsuspects.h>

#include <algorithm>
#include <iterator>

namespace godwit {

namespace {

/// Bounds the log of suspensions if nothing takes them.
constexpr std::size_t MaxNewSuspensions = 64;

std::vector<ContentKey> allKeys(const RequestContent &content)
{
    std::vector<ContentKey> keys = content.sharedParts;
    keys.push_back(content.whole);
    return keys;
}

/// Returns the keys of \a request in a CrashReport, whose \c whole may be empty.
std::vector<ContentKey> suspectKeys(const RequestContent &request)
{
    return request.whole.empty() ? request.sharedParts : allKeys(request);
}

std::set<ContentKey> requestKeys(const RequestContent &request)
{
    return request.whole.empty() ? std::set<ContentKey>() : std::set{request.whole};
}

/// Whether \a crashes contains each crash in \a others.
template <typename Crashes>
bool includesAll(const Crashes &crashes, const Crashes &others)
{
    return std::ranges::all_of(others, [&](const auto &it) { return crashes.contains(it.first); });
}

} // namespace

CrashSuspects::Decision CrashSuspects::decide(const RequestContent &content, TimePoint now)
{
    const std::vector<ContentKey> suspended = suspendedKeys(content, now);
    if (suspended.empty())
        return Decision::Run;
    for (const ContentKey &it : suspended)
        extendIfCertain(it, now);
    const bool mayBeHarmless = std::ranges::all_of(suspended, [&](const ContentKey &it) {
        return hasOtherCause(it, suspended, content, now);
    });
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
        if (suspect != m_suspects.end() && now < suspect->second.suspendedUntil
            && !isExplained(it, suspect->second))
            keys.push_back(it);
    }
    return keys;
}

bool CrashSuspects::isExplained(const ContentKey &key, const Suspect &suspect) const
{
    return std::ranges::any_of(m_certain, [&](const ContentKey &it) {
        const auto &cause = m_suspects.at(it).crashes;
        // A request that holds the cause crashes servers as well.
        const bool holdsCause = std::ranges::any_of(
                cause, [&key](const auto &crash) { return crash.second.requests.contains(key); });
        return suspect.crashes.size() < cause.size() && !holdsCause
               && includesAll(cause, suspect.crashes);
    });
}

std::size_t CrashSuspects::directCrashes(const Suspect &suspect)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            suspect.crashes, [](const auto &it) { return it.second.isDirect; }));
}

std::size_t CrashSuspects::separateCrashes(const Suspect &suspect)
{
    std::vector<TimePoint> times;
    for (const auto &[instance, crash] : suspect.crashes)
        times.push_back(crash.at);
    std::ranges::sort(times);
    std::size_t count = 0;
    TimePoint last;
    for (const TimePoint it : times) {
        if (count > 0 && it - last < MinCrashInterval)
            continue;
        ++count;
        last = it;
    }
    return count;
}

bool CrashSuspects::isCertain(const ContentKey &key, const Suspect &suspect)
{
    if (suspect.crashes.size() < CertainCrashes)
        return false;
    return isWholeRequest(key) || directCrashes(suspect) >= CertainCrashes
           || separateCrashes(suspect) >= CertainCrashes;
}

bool CrashSuspects::hasOtherCause(const ContentKey &key, const std::vector<ContentKey> &present,
                                  const RequestContent &content, TimePoint now) const
{
    const auto &crashes = m_suspects.at(key).crashes;
    const bool needsAllCrashes = m_certain.contains(key);
    const bool hasOtherPart = std::ranges::any_of(m_suspects, [&](const auto &it) {
        return !isWholeRequest(it.first) && now < it.second.suspendedUntil
               && std::ranges::find(present, it.first) == present.end()
               && (!needsAllCrashes || includesAll(it.second.crashes, crashes));
    });
    return hasOtherPart
           || (needsAllCrashes && !isWholeRequest(key) && isExplainedByRequests(key, content));
}

bool CrashSuspects::isExplainedByRequests(const ContentKey &part,
                                          const RequestContent &content) const
{
    std::size_t unexplained = 0;
    bool hasDirectCrash = false; // That is unexplained.
    std::set<ContentKey> otherRequests;
    for (const auto &[instance, crash] : m_suspects.at(part).crashes) {
        if (crash.requests.contains(content.whole))
            return false;
        const auto isCause = [this, &at = instance](const ContentKey &it) {
            return crashedRepeatedly(it, at);
        };
        // A request without the part may have run beside the cause, unless it is certain itself.
        const auto isCertainCause = [&isCause](const ContentKey &it) {
            return isWholeRequest(it) && isCause(it);
        };
        if (std::ranges::any_of(crash.requests, isCause)
            || std::ranges::any_of(m_certain, isCertainCause))
            continue;
        ++unexplained;
        hasDirectCrash |= crash.isDirect;
        otherRequests.insert(crash.requests.begin(), crash.requests.end());
        if (crash.requests.empty())
            otherRequests.insert(ContentKey(instance.id.value()));
    }
    const std::size_t separate = std::min(unexplained, otherRequests.size());
    if (separate >= MinCrashes)
        return false;
    // The first part is common to all requests of a kind, so that a wrong suspension costs more
    // than one more crash. A later part is in few of them.
    const bool isFirst = content.sharedParts.front() == part;
    return separate == 0 || !hasDirectCrash || isFirst;
}

bool CrashSuspects::crashedRepeatedly(const ContentKey &request,
                                      const BackendInstance &instance) const
{
    const auto suspect = m_suspects.find(request);
    return suspect != m_suspects.end() && suspect->second.crashes.contains(instance)
           && (m_certain.contains(request) || directCrashes(suspect->second) >= MinCrashes);
}

void CrashSuspects::extendIfCertain(const ContentKey &key, TimePoint now)
{
    if (!m_certain.contains(key))
        return;
    Suspect &suspect = m_suspects.at(key);
    suspect.suspendedUntil = now + LongSuspension;
    suspect.expiresAt = now + LongSuspension;
}

RecentKeys &CrashSuspects::begunKeys(const ContentKey &key)
{
    return isWholeRequest(key) ? m_begunRequests : m_begunParts;
}

RecentKeys &CrashSuspects::completeKeys(const ContentKey &key)
{
    return isWholeRequest(key) ? m_completeRequests : m_completeParts;
}

std::vector<HarmlessContent> CrashSuspects::recordStart(const RequestContent &content,
                                                        std::uint64_t version)
{
    return recordAnswer(content, version, AnswerProgress::Begun);
}

std::vector<HarmlessContent> CrashSuspects::recordCompletion(const RequestContent &content,
                                                             std::uint64_t version)
{
    return recordAnswer(content, version, AnswerProgress::Complete);
}

std::vector<HarmlessContent> CrashSuspects::recordAnswer(const RequestContent &content,
                                                         std::uint64_t version,
                                                         AnswerProgress progress)
{
    std::vector<HarmlessContent> cleared;
    for (const ContentKey &it : allKeys(content)) {
        begunKeys(it).add(it, version);
        if (progress == AnswerProgress::Complete)
            completeKeys(it).add(it, version);
        const HarmlessContent harmless{it, version, progress};
        if (!m_suspects.empty() && clearCrashes(harmless))
            cleared.push_back(harmless);
    }
    return cleared;
}

bool CrashSuspects::clearCrashes(const HarmlessContent &harmless)
{
    const auto suspect = m_suspects.find(harmless.content);
    if (suspect == m_suspects.end())
        return false;
    auto &crashes = suspect->second.crashes;
    const bool hadEnough = crashes.size() >= MinCrashes;
    const bool isComplete = harmless.progress == AnswerProgress::Complete;
    for (auto &[instance, crash] : crashes) {
        if (crash.weightsVersion > harmless.weightsVersion)
            continue;
        crash.isDirect = false;
        crash.isIndirect &= !isComplete;
    }
    std::erase_if(crashes,
                  [](const auto &it) { return !it.second.isDirect && !it.second.isIndirect; });
    if (!isCertain(harmless.content, suspect->second))
        m_certain.erase(harmless.content);
    if (crashes.empty()) {
        m_suspects.erase(suspect);
        return hadEnough;
    }
    if (directCrashes(suspect->second) < MinCrashes && !m_certain.contains(harmless.content))
        suspect->second.suspendedUntil = {};
    return false;
}

std::optional<CrashReport> CrashSuspects::recordCrash(const BackendInstance &instance,
                                                      const RequestContent &content, TimePoint now,
                                                      CrashPhase phase, std::uint64_t version)
{
    evict(now);
    CrashReport report;
    report.instance = instance;
    report.weightsVersion = version;
    report.crashedAt = now;
    const bool isBefore = phase == CrashPhase::BeforeAnswer;
    const auto mayBeCause = [&](const ContentKey &it) {
        return !completeKeys(it).contains(it, version)
               && !(isBefore && begunKeys(it).contains(it, version));
    };
    RequestContent request;
    std::ranges::copy_if(content.sharedParts, std::back_inserter(request.sharedParts), mayBeCause);
    if (mayBeCause(content.whole))
        request.whole = content.whole;
    bool isNew = false;
    for (const ContentKey &it : suspectKeys(request)) {
        // What earlier weights have answered may be in several of these crashes by coincidence.
        const bool isDirect = isBefore && !begunKeys(it).contains(it);
        if (!addCrash(it, instance, {now, version, isDirect, !isDirect, requestKeys(request)}, now))
            continue;
        isNew = true;
        if (isDirect)
            report.suspects.push_back(it);
    }
    if (!isNew)
        return std::nullopt;
    report.requests.push_back(std::move(request));
    return report;
}

std::vector<HarmlessContent> CrashSuspects::merge(const CrashReport &report, TimePoint now)
{
    evict(now);
    std::vector<HarmlessContent> harmless;
    const auto waited = [&report](const ContentKey &key) {
        return std::ranges::find(report.suspects, key) != report.suspects.end();
    };
    const auto add = [&](const ContentKey &key, bool isDirect, std::set<ContentKey> requests) {
        const std::uint64_t version = report.weightsVersion;
        const bool isComplete = completeKeys(key).contains(key, version);
        if (isComplete || (isDirect && begunKeys(key).contains(key, version)))
            harmless.push_back(
                    {key, version, isComplete ? AnswerProgress::Complete : AnswerProgress::Begun});
        else
            addCrash(key, report.instance,
                     {report.crashedAt, version, isDirect, !isDirect, std::move(requests)}, now);
    };
    for (const ContentKey &it : report.suspects)
        add(it, true, {});
    for (const RequestContent &request : report.requests) {
        for (const ContentKey &it : suspectKeys(request)) {
            // Other requests of the crash may have waited with the same part.
            const bool isDirect = waited(request.whole) && waited(it);
            add(it, isDirect, requestKeys(request));
        }
    }
    return harmless;
}

void CrashSuspects::recordHarmless(const HarmlessContent &harmless)
{
    const ContentKey &key = harmless.content;
    begunKeys(key).add(key, harmless.weightsVersion);
    if (harmless.progress == AnswerProgress::Complete)
        completeKeys(key).add(key, harmless.weightsVersion);
    clearCrashes(harmless);
}

bool CrashSuspects::addCrash(const ContentKey &key, const BackendInstance &instance,
                             const Crash &crash, TimePoint now)
{
    Suspect &suspect = m_suspects[key];
    const auto [known, isNew] = suspect.crashes.try_emplace(instance, crash);
    if (!isNew) {
        Crash &merged = known->second;
        merged.requests.insert(crash.requests.begin(), crash.requests.end());
        merged.isIndirect |= crash.isIndirect;
        if (merged.isDirect || !crash.isDirect)
            return false;
        merged.isDirect = true;
    }
    suspect.expiresAt = now + LongSuspension;
    const bool isNowCertain = isCertain(key, suspect);
    if (!isNowCertain && directCrashes(suspect) < MinCrashes)
        return true;
    const bool hasBecomeCertain = isNowCertain && m_certain.insert(key).second;
    const bool isChange = hasBecomeCertain || now >= suspect.suspendedUntil;
    if (isChange && m_newSuspensions.size() < MaxNewSuspensions)
        m_newSuspensions.push_back({key, suspect.crashes.size(), isNowCertain});
    ++m_suspensionCount;
    suspect.suspendedUntil = now + (isNowCertain ? LongSuspension : ShortSuspension);
    return true;
}

void CrashSuspects::evict(TimePoint now)
{
    std::erase_if(m_suspects, [now](const auto &it) { return now >= it.second.expiresAt; });
    while (m_suspects.size() >= MaxSuspects) {
        m_suspects.erase(std::ranges::min_element(
                m_suspects, {}, [](const auto &it) { return it.second.expiresAt; }));
    }
    std::erase_if(m_certain, [this](const auto &it) { return !m_suspects.contains(it); });
}

} // namespace godwit
