#include <godwit/mirror/prefixmirror.h>

#include <algorithm>
#include <set>
#include <utility>

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

void PrefixMirror::refresh()
{
    if (m_isListing || !m_confirmedAt)
        return;
    m_isListing = true;
    m_store.list(m_prefix, [this, alive = std::weak_ptr(m_alive),
                            requestTime = m_scheduler.now()](const Outcome<KeyValueList> &outcome) {
        if (!alive.lock())
            return;
        m_isListing = false;
        // The watch reports a failure of the service.
        if (const auto *found = std::get_if<KeyValueList>(&outcome))
            applyList(requestTime, *found);
    });
}

void PrefixMirror::list()
{
    m_isListing = true;
    const TimePoint requestTime = m_scheduler.now();
    m_store.list(m_prefix, [this, alive = std::weak_ptr(m_alive),
                            requestTime](const Outcome<KeyValueList> &outcome) {
        if (alive.lock())
            onList(requestTime, outcome);
    });
}

void PrefixMirror::onList(TimePoint requestTime, const Outcome<KeyValueList> &outcome)
{
    m_isListing = false;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        onCallFailed(requestTime, *error, &PrefixMirror::list);
        return;
    }
    onCallSucceeded();
    const auto &found = std::get<0>(outcome);
    applyList(requestTime, found);
    m_revision = std::max(m_revision, found.position.revision);
    watch();
}

void PrefixMirror::applyList(TimePoint requestTime, const KeyValueList &found)
{
    std::optional<WriteTime> listed;
    if (m_completeUntil)
        listed = WriteTime{*m_completeUntil, *m_completeUntil};
    std::set<std::string> present;
    for (const KeyValueEntry &entry : found.entries) {
        present.insert(entry.key);
        apply(entry, listed);
    }
    for (const auto &[key, revision] : std::map(m_keys)) {
        if (!present.contains(key))
            remove(key, found.position.revision);
    }
    m_confirmedAt = std::max(m_confirmedAt.value_or(requestTime), requestTime);
    recordCompleteUntil(requestTime);
    m_handlers.onConfirmed(*m_confirmedAt);
}

void PrefixMirror::watch()
{
    const auto guard = [alive = std::weak_ptr(m_alive)] { return !alive.expired(); };
    WatchHandlers handlers;
    handlers.onStarted = [](StoreRevision) {};
    handlers.onPollStarted = [this, guard] {
        if (guard())
            m_watchCallStart = m_scheduler.now();
    };
    handlers.onEvents = [this, guard](const std::vector<WatchEvent> &events) {
        if (guard())
            onWatchEvents(events);
    };
    handlers.onQuietUntil = [this, guard](TimePoint time) {
        if (guard())
            recordCompleteUntil(time);
    };
    handlers.onConfirmed = [this, guard](StoreRevision current, TimePoint requestTime) {
        if (guard())
            onWatchConfirmed(current, requestTime);
    };
    handlers.onEnd = [this, guard](const Outcome<Done> &outcome) {
        if (guard())
            onWatchEnd(outcome);
    };
    m_watchCallStart = m_scheduler.now();
    m_watch = m_store.watch(m_prefix, {m_store.era(), StoreRevision{m_revision.value + 1}},
                            std::move(handlers));
}

void PrefixMirror::onWatchEvents(const std::vector<WatchEvent> &events)
{
    onCallSucceeded();
    const auto time = eventWriteTime();
    for (const WatchEvent &event : events) {
        if (event.deleted)
            remove(event.entry.key, event.entry.modified);
        else
            apply(event.entry, time);
        m_revision = std::max(m_revision, event.entry.modified);
    }
}

void PrefixMirror::onWatchConfirmed(StoreRevision current, TimePoint requestTime)
{
    onCallSucceeded();
    m_revision = std::max(m_revision, current);
    m_confirmedAt = std::max(m_confirmedAt.value_or(requestTime), requestTime);
    recordCompleteUntil(requestTime);
    m_handlers.onConfirmed(*m_confirmedAt);
}

void PrefixMirror::onWatchEnd(const Outcome<Done> &outcome)
{
    m_watch.reset();
    const auto *error = std::get_if<Error>(&outcome);
    if (!error) {
        watch();
    } else if (error->code == ResultCode::WatchCompacted) {
        list();
    } else {
        onCallFailed(m_watchCallStart, *error, &PrefixMirror::watch);
    }
}

std::optional<WriteTime> PrefixMirror::eventWriteTime() const
{
    if (!m_completeUntil)
        return std::nullopt;
    const TimePoint now = m_scheduler.now();
    WriteTime time{*m_completeUntil, *m_completeUntil};
    if (now - m_watchCallStart > ImmediateEvent)
        time.expected = std::max(time.earliest, now - UsualEventDelay);
    return time;
}

void PrefixMirror::recordCompleteUntil(TimePoint time)
{
    m_completeUntil = std::max(m_completeUntil.value_or(time), time);
}

void PrefixMirror::apply(const KeyValueEntry &entry, const std::optional<WriteTime> &time)
{
    StoreRevision &known = m_keys[entry.key];
    if (entry.modified <= known)
        return;
    known = entry.modified;
    m_handlers.onPut(entry, time);
}

void PrefixMirror::remove(const std::string &key, StoreRevision revision)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second > revision)
        return;
    m_keys.erase(it);
    m_handlers.onRemoved(key);
}

void PrefixMirror::onCallFailed(TimePoint startedAt, const Error &error,
                                void (PrefixMirror::*retryCall)())
{
    m_lastFailedCall = FailedCall{startedAt, m_scheduler.now()};
    if (std::exchange(m_reachable, false))
        m_handlers.onReachable(false, toString(error));
    // Jitter: processes that lost the service at the same time must not all retry at the same time.
    const auto delay = std::chrono::duration_cast<Duration>(m_backoff * (0.5 + m_random.uniform()));
    m_backoff = std::min(2 * m_backoff, MaxBackoff);
    m_retry = m_scheduler.after(delay, [this, retryCall] { (this->*retryCall)(); });
}

void PrefixMirror::onCallSucceeded()
{
    m_backoff = MinBackoff;
    if (!std::exchange(m_reachable, true))
        m_handlers.onReachable(true, {});
}

} // namespace godwit
