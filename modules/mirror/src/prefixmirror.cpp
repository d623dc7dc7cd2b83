#include <godwit/mirror/prefixmirror.h>

#include <algorithm>
#include <set>

namespace godwit {

PrefixMirror::PrefixMirror(KeyValuePort &store, Scheduler &scheduler, Random random,
                           std::string prefix, MirrorHandlers handlers)
    : m_store(store)
    , m_scheduler(scheduler)
    , m_random(random)
    , m_prefix(std::move(prefix))
    , m_handlers(std::move(handlers))
{}

PrefixMirror::~PrefixMirror()
{
    if (m_watch)
        m_watch->cancel();
}

void PrefixMirror::list()
{
    const TimePoint asked = m_scheduler.now();
    m_store.list(m_prefix, [this, alive = std::weak_ptr(m_alive),
                            asked](const Outcome<KeyValueList> &outcome) {
        if (alive.lock())
            listed(asked, outcome);
    });
}

void PrefixMirror::listed(TimePoint asked, const Outcome<KeyValueList> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome)) {
        failed(*error, &PrefixMirror::list);
        return;
    }
    reached();
    const auto &found = std::get<0>(outcome);
    std::set<std::string> present;
    for (const KeyValueEntry &entry : found.entries) {
        present.insert(entry.key);
        apply(entry, m_confirmedAt);
    }
    for (const auto &[key, revision] : std::map(m_keys)) {
        if (!present.contains(key))
            remove(key, found.revision);
    }
    m_revision = std::max(m_revision, found.revision);
    m_confirmedAt = asked;
    m_handlers.onConfirmed(asked);
    watch();
}

void PrefixMirror::watch()
{
    const auto guard = [alive = std::weak_ptr(m_alive)] { return !alive.expired(); };
    WatchHandlers handlers;
    handlers.onStarted = [](StoreRevision) {};
    handlers.onPollStarted = [this, guard] {
        if (guard())
            m_askedAt = m_scheduler.now();
    };
    handlers.onEvents = [this, guard](const std::vector<WatchEvent> &events) {
        if (guard())
            watched(events);
    };
    handlers.onConfirmed = [this, guard](StoreRevision current, TimePoint asked) {
        if (guard())
            confirmed(current, asked);
    };
    handlers.onEnd = [this, guard](const Outcome<Done> &outcome) {
        if (guard())
            watchEnded(outcome);
    };
    m_watch = m_store.watch(m_prefix, StoreRevision{m_revision.value + 1}, std::move(handlers));
}

void PrefixMirror::watched(const std::vector<WatchEvent> &events)
{
    reached();
    const auto notBefore = earliestOfEvents();
    for (const WatchEvent &event : events) {
        if (event.deleted)
            remove(event.entry.key, event.entry.modified);
        else
            apply(event.entry, notBefore);
        m_revision = std::max(m_revision, event.entry.modified);
    }
}

void PrefixMirror::confirmed(StoreRevision current, TimePoint asked)
{
    reached();
    m_revision = std::max(m_revision, current);
    m_confirmedAt = asked;
    m_handlers.onConfirmed(asked);
}

void PrefixMirror::watchEnded(const Outcome<Done> &outcome)
{
    m_watch.reset();
    const auto *error = std::get_if<Error>(&outcome);
    if (!error) {
        watch();
    } else if (error->code == ResultCode::WatchCompacted) {
        list();
    } else {
        failed(*error, &PrefixMirror::watch);
    }
}

std::optional<TimePoint> PrefixMirror::earliestOfEvents() const
{
    const TimePoint now = m_scheduler.now();
    return now - m_askedAt > LongestReport ? now - LongestReport : m_confirmedAt;
}

void PrefixMirror::apply(const KeyValueEntry &entry, std::optional<TimePoint> notBefore)
{
    StoreRevision &known = m_keys[entry.key];
    if (entry.modified <= known)
        return;
    known = entry.modified;
    m_handlers.onPut(entry, notBefore);
}

void PrefixMirror::remove(const std::string &key, StoreRevision revision)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second > revision)
        return;
    m_keys.erase(it);
    m_handlers.onRemoved(key);
}

void PrefixMirror::failed(const Error &error, void (PrefixMirror::*again)())
{
    m_lastFailure = m_scheduler.now();
    if (std::exchange(m_reachable, false))
        m_handlers.onReachable(false, toString(error));
    // Processes that lost the service together must not return together.
    const auto delay = std::chrono::duration_cast<Duration>(m_backoff * (0.5 + m_random.uniform()));
    m_backoff = std::min(2 * m_backoff, LongestBackoff);
    m_retry = m_scheduler.after(delay, [this, again] { (this->*again)(); });
}

void PrefixMirror::reached()
{
    m_backoff = ShortestBackoff;
    if (!std::exchange(m_reachable, true))
        m_handlers.onReachable(true, {});
}

} // namespace godwit
