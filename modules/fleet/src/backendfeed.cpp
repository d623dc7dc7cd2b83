#include <godwit/fleet/backendfeed.h>

#include <godwit/observe/log.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

/// Left of a limit for the request that was sent last to arrive.
constexpr Duration RemovalMargin = std::chrono::milliseconds(500);

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
                    if (m_handlers.onUpToDate)
                        m_handlers.onUpToDate();
                },
                [this](bool isReachable, const std::string &problem) {
                    handleReachability(isReachable, problem);
                }})
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
    m_pendingRemovals.erase(record.id);
    BackendRecord &known = m_records[record.id];
    if (known == record)
        return;
    known = record;
    m_handlers.onRecord(record, entry.modified);
}

void BackendFeed::handleRemoved(const std::string &key)
{
    const BackendId id = m_platform.backendIdFromKey(key);
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    Duration remaining = remainingGrace();
    // A record that is removed while the watch is up to date may be that of a server that leaves.
    if (m_isUpToDate)
        remaining = std::min(remaining, m_maxRemovalDelay);
    if (!it->second.draining && remaining > Duration::zero())
        // The removal destroys the function with its captures.
        m_pendingRemovals[id] =
                m_scheduler.after(remaining, [this, id] { removeNow(BackendId(id)); });
    else
        removeNow(id);
}

void BackendFeed::removeNow(const BackendId &id)
{
    if (m_records.erase(id) == 0)
        return;
    m_handlers.onRemoved(id);
    m_pendingRemovals.erase(id);
}

void BackendFeed::handleReachability(bool isReachable, const std::string &problem)
{
    const TimePoint now = m_scheduler.now();
    if (!isReachable) {
        m_unreachableSince = now;
        m_isUpToDate = false;
    } else if (const auto since = std::exchange(m_unreachableSince, std::nullopt);
               since && now - *since >= MinOutageDuration) {
        // A leaving server must not be used for longer than the reconnection period after the end
        // of the outage, and only the start of the last failed call is certain not to be later than
        // that end. A running server whose record returns later is used again from then on.
        m_graceEnd = std::min(now + ReregistrationGrace,
                              m_mirror.lastFailedCall()->startedAt + m_maxGrace);
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
