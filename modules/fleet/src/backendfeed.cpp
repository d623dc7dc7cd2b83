#include <godwit/fleet/backendfeed.h>

#include <godwit/observe/log.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

/// Left of a limit for the request that was sent last to arrive.
constexpr Duration RemovalMargin = std::chrono::milliseconds(500);

BackendInstance instanceOf(const BackendRecord &record)
{
    return {record.id, record.startTimeMs};
}

} // namespace

BackendFeed::BackendFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                         const FleetBounds &bounds, Random random, Handlers handlers)
    : m_platform(platform)
    , m_scheduler(scheduler)
    , m_maxRemovalDelay(std::max(Duration::zero(), bounds.drainLimit - RemovalMargin))
    , m_maxGrace(std::max(Duration::zero(), bounds.reconnectionGracePeriod - RemovalMargin))
    , m_handlers(std::move(handlers))
    , m_mirror(store, scheduler, random, std::string(platform.backendPrefix()),
               {[this](const KeyValueEntry &entry, const auto &) { handlePut(entry); },
                [this](const std::string &key) { handleRemoved(key); },
                [this](TimePoint) {
                    m_isUpToDate = true;
                    m_isReadingCopy = false;
                    if (m_handlers.onUpToDate)
                        m_handlers.onUpToDate();
                },
                [this](bool isReachable, const std::string &problem) {
                    handleReachability(isReachable, problem);
                },
                [this](const StoreRestoration &) { handleRestored(); }})
{}

void BackendFeed::handlePut(const KeyValueEntry &entry)
{
    auto decoded = capture([&] { return m_platform.decodeBackend(entry); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("backend_record_refused",
                       {{"key", entry.key}, {"problem", toString(*error)}}, LogLevel::Warning);
        // It is no record that expired, so that there is no grace period for its return.
        removeNow(m_platform.backendIdFromKey(entry.key));
        return;
    }
    const BackendRecord &record = std::get<0>(decoded);
    if (m_isReadingCopy) {
        handleCopiedPut(record, entry);
        return;
    }
    m_pendingRecords.erase(record.id);
    m_pendingRemovals.erase(record.id);
    apply(record, entry.modified);
}

void BackendFeed::handleCopiedPut(const BackendRecord &record, const KeyValueEntry &entry)
{
    if (m_removed.contains(instanceOf(record))) {
        logStateChange("backend_record_outdated",
                       {{"backend", record.id.value()}, {"revision", entry.modified.value}});
        applyLater(record, entry.modified, CopiedRecordTimeout);
        return;
    }
    const auto known = m_records.find(record.id);
    const bool isKnown = known != m_records.end();
    if (isKnown && record.startTimeMs < known->second.startTimeMs) {
        handleRemoved(entry.key);
        return;
    }
    m_pendingRemovals.erase(record.id);
    const bool isSameProcess = isKnown && record.startTimeMs == known->second.startTimeMs;
    if (isSameProcess && !record.draining)
        applyLater(record, entry.modified, remainingGrace());
    else
        apply(record, entry.modified);
}

void BackendFeed::applyLater(const BackendRecord &record, StoreRevision revision, Duration delay)
{
    m_pendingRecords[record.id] = m_scheduler.after(delay, [this, record, revision] {
        const auto timer = std::move(m_pendingRecords[record.id]);
        m_pendingRecords.erase(record.id);
        apply(record, revision);
    });
}

void BackendFeed::apply(BackendRecord record, StoreRevision revision)
{
    const auto [it, isNew] = m_records.try_emplace(record.id);
    BackendRecord &known = it->second;
    const auto removed = m_removed.find(instanceOf(record));
    const bool hasDrained = (!isNew && known.draining && known.startTimeMs == record.startTimeMs)
                            || (removed != m_removed.end() && removed->second.draining);
    if (removed != m_removed.end())
        m_removed.erase(removed);
    // A server that has announced its end never takes it back.
    if (hasDrained)
        record.draining = true;
    if (known == record)
        return;
    known = record;
    m_handlers.onRecord(record, revision);
}

void BackendFeed::handleRemoved(const std::string &key)
{
    const BackendId id = m_platform.backendIdFromKey(key);
    m_pendingRecords.erase(id);
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    // A record that the copy lacks is not known to have been removed.
    if (!m_isReadingCopy)
        recordRemoval(it->second);
    Duration remaining = remainingGrace();
    // A record that is removed while the watch is up to date may be that of a server that leaves.
    if (m_isUpToDate)
        remaining = std::min(remaining, m_maxRemovalDelay);
    if (!it->second.draining && remaining > Duration::zero())
        removeLater(id, remaining);
    else
        removeNow(id);
}

void BackendFeed::removeLater(const BackendId &id, Duration delay)
{
    // The removal destroys the function with its captures.
    m_pendingRemovals[id] = m_scheduler.after(delay, [this, id] { removeNow(BackendId(id)); });
}

void BackendFeed::removeNow(const BackendId &id)
{
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    recordRemoval(it->second);
    m_records.erase(it);
    m_handlers.onRemoved(id);
    m_pendingRemovals.erase(id);
}

void BackendFeed::recordRemoval(const BackendRecord &record)
{
    const TimePoint now = m_scheduler.now();
    std::erase_if(m_removed, [now](const auto &it) { return it.second.at + RemovalMemory <= now; });
    m_removed[instanceOf(record)] = {now, record.draining};
}

void BackendFeed::handleRestored()
{
    m_isReadingCopy = true;
    m_isUpToDate = false;
    m_graceEnd = graceEnd();
    // The mirror has reported these as removed after an earlier return, and does not do so again.
    for (const auto &[id, timer] : std::exchange(m_pendingRemovals, {}))
        removeLater(id, remainingGrace());
}

TimePoint BackendFeed::graceEnd() const
{
    // A leaving server must not be used for longer than the reconnection period after the end
    // of the outage, and only the start of the last failed call is certain not to be later than
    // that end. A running server whose record returns later is used again from then on.
    return std::min(m_scheduler.now() + ReregistrationGrace,
                    m_mirror.lastFailedCall()->startedAt + m_maxGrace);
}

void BackendFeed::handleReachability(bool isReachable, const std::string &problem)
{
    const TimePoint now = m_scheduler.now();
    if (!isReachable) {
        m_unreachableSince = now;
        m_isUpToDate = false;
    } else if (const auto since = std::exchange(m_unreachableSince, std::nullopt);
               since && now - *since >= MinOutageDuration) {
        m_graceEnd = graceEnd();
    }
    logStateChange(isReachable ? "store_regained" : "store_lost",
                   {{"keys", std::string(m_platform.backendPrefix())}, {"problem", problem}},
                   isReachable ? LogLevel::Info : LogLevel::Warning);
}

Duration BackendFeed::remainingGrace() const
{
    return m_graceEnd ? std::max(Duration::zero(), *m_graceEnd - m_scheduler.now())
                      : Duration::zero();
}

} // namespace godwit
