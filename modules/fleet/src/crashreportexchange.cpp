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
struct JsonFields<CrashReport>
{
    static constexpr auto table = std::tuple{field("instance", &CrashReport::instance),
                                             field("suspects", &CrashReport::suspects)};
};

template <>
struct JsonFields<CrashKnowledge>
{
    static constexpr auto table = std::tuple{field("crashes", &CrashKnowledge::crashes),
                                             field("harmless", &CrashKnowledge::harmless)};
};

namespace {

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
    const auto decoded = capture([&] { return parseJson<CrashKnowledge>(entry.value); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("crash_report_refused", {{"key", entry.key}, {"problem", toString(*error)}},
                       LogLevel::Warning);
        return;
    }
    const auto &knowledge = std::get<0>(decoded);
    if (isOwn)
        adoptEarlierKnowledge(entry.modified, knowledge);
    for (const ContentKey &it : knowledge.harmless)
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
    for (const ContentKey &it : knowledge.harmless) {
        if (std::ranges::find(ownHarmless, it, &TimedKey::key) == ownHarmless.end())
            addHarmless(it);
    }
    for (const TimedKey &it : ownHarmless)
        addHarmless(it.key);
}

void CrashReportExchange::publish(const CrashReport &report)
{
    addReport(report);
    scheduleWrite(BatchDelay);
}

void CrashReportExchange::addReport(const CrashReport &report)
{
    TimedReport all{m_scheduler.now(), {report.instance, {}}};
    const auto known = std::ranges::find_if(m_reports, [&report](const TimedReport &it) {
        return it.report.instance == report.instance;
    });
    if (known != m_reports.end()) {
        all.report = std::move(known->report);
        m_reports.erase(known);
    }
    mergeSuspects(all.report.suspects, report.suspects);
    m_reports.push_back(std::move(all));
    if (m_reports.size() > MaxReports)
        m_reports.pop_front();
}

void CrashReportExchange::publishHarmless(const ContentKey &key)
{
    const TimePoint now = m_scheduler.now();
    const auto known = std::ranges::find(m_harmless, key, &TimedKey::key);
    if (known != m_harmless.end()) {
        if (now < known->at + ReportLifetime / 2)
            return;
        m_harmless.erase(known);
    }
    addHarmless(key);
    scheduleWrite(BatchDelay);
}

void CrashReportExchange::addHarmless(const ContentKey &key)
{
    m_harmless.push_back({m_scheduler.now(), key});
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
    for (const TimedKey &it : m_harmless)
        knowledge.harmless.push_back(it.key);
    return toJsonText(knowledge);
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
