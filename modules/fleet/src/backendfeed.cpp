#include <godwit/fleet/backendfeed.h>

#include <godwit/observe/log.h>

#include <algorithm>
#include <utility>

namespace godwit {

BackendFeed::BackendFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                         Random random, Handlers handlers)
    : m_platform(platform)
    , m_scheduler(scheduler)
    , m_handlers(std::move(handlers))
    , m_mirror(store, scheduler, random, std::string(platform.backendPrefix()),
               {[this](const KeyValueEntry &entry, std::optional<TimePoint>) { put(entry); },
                [this](const std::string &key) { removed(key); }, [](TimePoint) {},
                [this](bool isReachable, const std::string &problem) {
                    reachable(isReachable, problem);
                }})
{}

void BackendFeed::put(const KeyValueEntry &entry)
{
    auto decoded = capture([&] { return m_platform.decodeBackend(entry); });
    if (const auto *error = std::get_if<Error>(&decoded)) {
        logStateChange("backend_record_refused",
                       {{"key", entry.key}, {"problem", toString(*error)}}, LogLevel::Warning);
        removed(entry.key);
        return;
    }
    const BackendRecord &record = std::get<0>(decoded);
    m_pending.erase(record.id);
    BackendRecord &known = m_records[record.id];
    if (known == record)
        return;
    logStateChange("backend_changed", {{"backend", record.id.value()},
                                       {"service", record.service},
                                       {"endpoint", toString(record.endpoint)},
                                       {"draining", record.draining},
                                       {"born_ms", record.startTimeMs},
                                       {"models", record.models.size()},
                                       {"revision", entry.modified.value}});
    known = record;
    m_handlers.onRecord(record);
}

void BackendFeed::removed(const std::string &key)
{
    const BackendId id = m_platform.backendOf(key);
    const auto it = m_records.find(id);
    if (it == m_records.end())
        return;
    const auto remove = [this, id] {
        logStateChange("backend_removed", {{"backend", id.value()}});
        m_records.erase(id);
        m_handlers.onRemoved(id);
        // Last, because it may destroy this function.
        m_pending.erase(id);
    };
    const Duration left = returnTimeLeft();
    if (!it->second.draining && left > Duration::zero())
        m_pending[id] = m_scheduler.after(left, remove);
    else
        remove();
}

void BackendFeed::reachable(bool isReachable, const std::string &problem)
{
    const TimePoint now = m_scheduler.now();
    if (!isReachable)
        m_awaySince = now;
    else if (const auto since = std::exchange(m_awaySince, std::nullopt);
             since && now - *since >= ShortestOutage)
        m_outageEnd = now;
    logStateChange(isReachable ? "store_regained" : "store_lost",
                   {{"keys", std::string(m_platform.backendPrefix())}, {"problem", problem}},
                   isReachable ? LogLevel::Info : LogLevel::Warning);
}

Duration BackendFeed::returnTimeLeft() const
{
    if (!m_outageEnd)
        return Duration::zero();
    return std::max(Duration::zero(), *m_outageEnd + ReturnTime - m_scheduler.now());
}

} // namespace godwit
