#include <godwit/fleet/crashreportexchange.h>

#include <godwit/base/json.h>
#include <godwit/observe/log.h>

#include <algorithm>
#include <utility>

namespace godwit {

template <>
struct JsonFields<BackendInstance>
{
    static constexpr auto table = std::tuple{field("backend", &BackendInstance::id),
                                             field("born_ms", &BackendInstance::startTimeMs)};
};

template <>
struct JsonFields<RequestContent>
{
    static constexpr auto table = std::tuple{field("parts", &RequestContent::sharedParts),
                                             field("whole", &RequestContent::whole)};
};

namespace {

/// A CrashReport as it is written. Times of different processes do not compare, so it states the
/// age of the crash.
struct StoredReport
{
    BackendInstance instance;
    std::vector<ContentKey> suspects;
    std::vector<RequestContent> requests;
    std::uint64_t weightsVersion = 0;
    Duration age{0};
};

/// HarmlessContent as it is written.
struct StoredHarmless
{
    ContentKey content;
    std::uint64_t weightsVersion = 0;
    bool isComplete = false;
};

/// CrashKnowledge as it is written. Processes of earlier releases read and write crashes with
/// suspects alone, and \c harmless instead of \c answered.
struct StoredKnowledge
{
    std::vector<StoredReport> crashes;
    std::vector<ContentKey> harmless;
    std::vector<StoredHarmless> answered;
};

} // namespace

template <>
struct JsonFields<StoredReport>
{
    static constexpr auto table = std::tuple{
            field("instance", &StoredReport::instance), field("suspects", &StoredReport::suspects),
            field("requests", &StoredReport::requests),
            field("weights_version", &StoredReport::weightsVersion),
            field("age_us", &StoredReport::age)};
};

template <>
struct JsonFields<StoredHarmless>
{
    static constexpr auto table =
            std::tuple{field("content", &StoredHarmless::content),
                       field("weights_version", &StoredHarmless::weightsVersion),
                       field("complete", &StoredHarmless::isComplete)};
};

template <>
struct JsonFields<StoredKnowledge>
{
    static constexpr auto table = std::tuple{field("crashes", &StoredKnowledge::crashes),
                                             field("harmless", &StoredKnowledge::harmless),
                                             field("answered", &StoredKnowledge::answered)};
};

namespace {

std::string encode(const CrashKnowledge &knowledge, TimePoint now)
{
    StoredKnowledge stored;
    for (const CrashReport &it : knowledge.crashes)
        stored.crashes.push_back(
                {it.instance, it.suspects, it.requests, it.weightsVersion, now - it.crashedAt});
    for (const HarmlessContent &it : knowledge.harmless) {
        stored.harmless.push_back(it.content);
        stored.answered.push_back(
                {it.content, it.weightsVersion, it.progress == AnswerProgress::Complete});
    }
    return toJsonText(stored);
}

/// Fails with JsonMalformed or JsonFieldInvalid.
Result<CrashKnowledge> decode(std::string_view text, TimePoint now)
{
    BOOST_LEAF_AUTO(stored, parseJson<StoredKnowledge>(text));
    CrashKnowledge knowledge;
    for (StoredReport &it : stored.crashes)
        knowledge.crashes.push_back({it.instance, std::move(it.suspects), std::move(it.requests),
                                     it.weightsVersion, now - it.age});
    for (const StoredHarmless &it : stored.answered)
        knowledge.harmless.push_back(
                {it.content, it.weightsVersion,
                 it.isComplete ? AnswerProgress::Complete : AnswerProgress::Begun});
    if (stored.answered.empty()) {
        for (const ContentKey &it : stored.harmless)
            knowledge.harmless.push_back({it, HarmlessContent::AnyVersion, AnswerProgress::Begun});
    }
    return knowledge;
}

/// Adds those of \a added that are missing in \a suspects, and removes the oldest beyond the limit.
void mergeSuspects(std::vector<ContentKey> &suspects, const std::vector<ContentKey> &added)
{
    for (const ContentKey &it : added) {
        if (std::ranges::find(suspects, it) == suspects.end())
            suspects.push_back(it);
    }
    while (suspects.size() > CrashReportExchange::MaxSuspects) {
        const auto whole = std::ranges::find_if(suspects, isWholeRequest);
        suspects.erase(whole != suspects.end() ? whole : suspects.begin());
    }
}

/// Adds those of \a added that are missing in \a requests, up to the limit.
void mergeRequests(std::vector<RequestContent> &requests, const std::vector<RequestContent> &added)
{
    for (const RequestContent &it : added) {
        if (requests.size() >= CrashReportExchange::MaxRequests)
            return;
        if (std::ranges::find(requests, it) == requests.end())
            requests.push_back(it);
    }
}

/// Whether \a known says all that \a other says of the same content.
bool coversAll(const HarmlessContent &known, const HarmlessContent &other)
{
    return known.weightsVersion >= other.weightsVersion && known.progress >= other.progress;
}

} // namespace

CrashReportExchange::CrashReportExchange(KeyValuePort &store, Scheduler &scheduler, Random random,
                                         const std::string &name, Handlers handlers)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_key(std::string(Prefix) + name)
    , m_handlers(std::move(handlers))
    , m_mirror(store, scheduler, random, std::string(Prefix),
               {[this](const KeyValueEntry &entry, const auto &) { handlePut(entry); },
                [this](const std::string &key) { handleRemoved(key); }, [](TimePoint) {},
                [](bool reachable, const std::string &problem) {
                    logStateChange(reachable ? "store_regained" : "store_lost",
                                   {{"keys", std::string(Prefix)}, {"problem", problem}},
                                   reachable ? LogLevel::Info : LogLevel::Warning);
                },
                [this](const StoreRestoration &) { handleRestored(); }})
{}

void CrashReportExchange::handlePut(const KeyValueEntry &entry)
{
    const bool isOwn = entry.key == m_key;
    if (isOwn && (m_knowsOwnKey || m_isWriting))
        return;
    const auto decoded = capture([&] { return decode(entry.value, m_scheduler.now()); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("crash_report_refused", {{"key", entry.key}, {"problem", toString(*error)}},
                       LogLevel::Warning);
        return;
    }
    const auto &knowledge = std::get<0>(decoded);
    if (isOwn)
        adoptEarlierKnowledge(entry.modified, knowledge);
    for (const HarmlessContent &it : knowledge.harmless)
        m_handlers.onHarmless(it);
    for (const CrashReport &it : knowledge.crashes)
        m_handlers.onCrash(it);
}

void CrashReportExchange::handleRemoved(const std::string &key)
{
    if (key != m_key)
        return;
    dropExpired();
    if (m_reports.empty() && m_harmless.empty())
        return;
    if (!m_isWriting) {
        m_lease.reset();
        m_revision = {};
    }
    scheduleWrite(BatchDelay);
}

void CrashReportExchange::handleRestored()
{
    voidEarlierEra();
    dropExpired();
    if (!m_reports.empty() || !m_harmless.empty())
        scheduleWrite(BatchDelay);
}

void CrashReportExchange::voidEarlierEra()
{
    if (std::exchange(m_era, m_store.era()) == m_store.era())
        return;
    m_lease.reset();
    m_revision = {};
}

void CrashReportExchange::adoptEarlierKnowledge(StoreRevision revision,
                                                const CrashKnowledge &knowledge)
{
    m_knowsOwnKey = true;
    voidEarlierEra();
    m_revision = revision;
    // What this process has learned since its start is newer.
    const auto ownReports = std::exchange(m_reports, {});
    for (const CrashReport &it : knowledge.crashes)
        addReport(it);
    for (const TimedReport &it : ownReports)
        addReport(it.report);
    const auto ownHarmless = std::exchange(m_harmless, {});
    for (const HarmlessContent &it : knowledge.harmless)
        addHarmless(it);
    for (const TimedHarmless &it : ownHarmless)
        addHarmless(it.harmless);
}

void CrashReportExchange::publish(const CrashReport &report)
{
    addReport(report);
    scheduleWrite(BatchDelay);
}

void CrashReportExchange::addReport(const CrashReport &report)
{
    TimedReport all{m_scheduler.now(), report};
    all.report.suspects.clear();
    all.report.requests.clear();
    const auto known = std::ranges::find_if(m_reports, [&report](const TimedReport &it) {
        return it.report.instance == report.instance;
    });
    if (known != m_reports.end()) {
        all.report = std::move(known->report);
        m_reports.erase(known);
    }
    mergeSuspects(all.report.suspects, report.suspects);
    mergeRequests(all.report.requests, report.requests);
    m_reports.push_back(std::move(all));
    if (m_reports.size() > MaxReports)
        m_reports.pop_front();
}

void CrashReportExchange::publishHarmless(const HarmlessContent &harmless)
{
    const auto isKnown = [&](const TimedHarmless &it) {
        return it.harmless.content == harmless.content && coversAll(it.harmless, harmless)
               && m_scheduler.now() < it.at + ReportLifetime / 2;
    };
    if (std::ranges::any_of(m_harmless, isKnown))
        return;
    addHarmless(harmless);
    scheduleWrite(BatchDelay);
}

void CrashReportExchange::addHarmless(const HarmlessContent &harmless)
{
    std::erase_if(m_harmless, [&harmless](const TimedHarmless &it) {
        return it.harmless.content == harmless.content;
    });
    m_harmless.push_back({m_scheduler.now(), harmless});
    if (m_harmless.size() > MaxHarmlessKeys)
        m_harmless.pop_front();
}

void CrashReportExchange::scheduleWrite(Duration delay)
{
    m_isChanged = true;
    if (m_isWriting || m_writeTimer)
        return;
    refillWrites();
    const auto untilAllowed = std::chrono::duration_cast<Duration>(
            WriteInterval * std::max(0.0, 1 - m_allowedWrites));
    m_writeTimer = m_scheduler.after(std::max(delay, untilAllowed), [this] {
        const auto timer = std::move(m_writeTimer);
        refillWrites();
        m_allowedWrites -= 1;
        write();
    });
}

void CrashReportExchange::refillWrites()
{
    const TimePoint now = m_scheduler.now();
    const double refilled = toSeconds(now - m_writesRefilledAt) / toSeconds(WriteInterval);
    m_allowedWrites = std::min<double>(WriteBurst, m_allowedWrites + refilled);
    m_writesRefilledAt = now;
}

void CrashReportExchange::write()
{
    m_isWriting = true;
    m_isChanged = false;
    voidEarlierEra();
    dropExpired();
    // A report lives for at least half of the lifetime.
    if (m_lease && m_scheduler.now() < m_leaseGrantedAt + ReportLifetime / 2)
        writeWithLease();
    else
        requestLease();
}

void CrashReportExchange::requestLease()
{
    const TimePoint requestedAt = m_scheduler.now();
    m_store.grantLease(ReportLifetime,
                       bindWeak<LeaseId>([this, requestedAt](const Outcome<LeaseId> &outcome) {
                           if (const auto *error = std::get_if<Error>(&outcome)) {
                               onWritten(*error);
                               return;
                           }
                           voidEarlierEra();
                           // The key has ended with the earlier lease.
                           if (m_lease && requestedAt >= m_leaseGrantedAt + ReportLifetime)
                               m_revision = {};
                           m_lease = std::get<0>(outcome);
                           m_leaseGrantedAt = requestedAt;
                           writeWithLease();
                       }));
}

void CrashReportExchange::writeWithLease()
{
    m_store.compareAndSwap(m_key, m_revision, encodeKnowledge(), *m_lease,
                           bindWeak<StoreRevision>([this](const Outcome<StoreRevision> &outcome) {
                               onWritten(outcome);
                           }));
}

void CrashReportExchange::onWritten(const Outcome<StoreRevision> &outcome)
{
    const auto *error = std::get_if<Error>(&outcome);
    if (!error) {
        m_knowsOwnKey = true;
        m_revision = std::get<0>(outcome);
        m_isWriting = false;
        m_retryDelay = RetryDelay;
        if (m_isChanged)
            scheduleWrite(BatchDelay);
        return;
    }
    if (error->code == ResultCode::LeaseExpired)
        m_lease.reset();
    voidEarlierEra();
    logStateChange("crash_report_not_written", {{"key", m_key}, {"problem", toString(*error)}},
                   LogLevel::Warning);
    // An earlier write, or that of an earlier process of this name, may have taken effect.
    readRevision();
}

void CrashReportExchange::readRevision()
{
    m_store.get(m_key, bindWeak<std::optional<KeyValueEntry>>(
                               [this](const Outcome<std::optional<KeyValueEntry>> &outcome) {
                                   onRevisionRead(outcome);
                               }));
}

void CrashReportExchange::onRevisionRead(const Outcome<std::optional<KeyValueEntry>> &outcome)
{
    m_isWriting = false;
    voidEarlierEra();
    if (const auto *found = std::get_if<std::optional<KeyValueEntry>>(&outcome)) {
        m_revision = *found ? (*found)->modified : StoreRevision{};
        if (*found)
            handlePut(**found);
    }
    scheduleWrite(std::exchange(m_retryDelay, std::min(2 * m_retryDelay, MaxRetryDelay)));
}

std::string CrashReportExchange::encodeKnowledge() const
{
    CrashKnowledge knowledge;
    for (const TimedReport &it : m_reports)
        knowledge.crashes.push_back(it.report);
    for (const TimedHarmless &it : m_harmless)
        knowledge.harmless.push_back(it.harmless);
    return encode(knowledge, m_scheduler.now());
}

void CrashReportExchange::dropExpired()
{
    const TimePoint oldest = m_scheduler.now() - ReportLifetime;
    while (!m_reports.empty() && m_reports.front().at <= oldest)
        m_reports.pop_front();
    while (!m_harmless.empty() && m_harmless.front().at <= oldest)
        m_harmless.pop_front();
}

} // namespace godwit
