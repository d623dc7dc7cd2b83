#include <godwit/mirror/prefixmirror.h>

#include <godwit/observe/log.h>

#include <algorithm>
#include <exception>
#include <functional>
#include <set>
#include <utility>
#include <vector>

namespace godwit {

namespace {

/// Calls \a handler for \a keys. An exception that left the mirror would end its list or watch for
/// good, with all other keys.
template <typename Handler, typename... Arguments>
void callHandler(const std::string &keys, const Handler &handler, Arguments &&...arguments)
{
    try {
        handler(std::forward<Arguments>(arguments)...);
    } catch (const std::exception &error) {
        logStateChange("callback_failed", {{"keys", keys}, {"problem", error.what()}},
                       LogLevel::Error);
    }
}

std::size_t hashOf(const std::string &value)
{
    return std::hash<std::string>()(value);
}

void logRestoration(const std::string &prefix, const StoreRestoration &restoration)
{
    logStateChange("store_restored",
                   {{"keys", prefix},
                    {"previous_era", restoration.previous.era.value},
                    {"era", restoration.current.era.value},
                    {"previous_revision", restoration.previous.revision.value},
                    {"revision", restoration.current.revision.value},
                    {"missing", restoration.missing},
                    {"older", restoration.older},
                    {"newer", restoration.newer},
                    {"added", restoration.added},
                    {"same", restoration.same}},
                   LogLevel::Warning);
}

} // namespace

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
        if (alive.lock())
            onRefresh(requestTime, outcome);
    });
}

void PrefixMirror::scheduleRefresh()
{
    const TimePoint now = m_scheduler.now();
    if (!m_refreshesUntilRewritten || now >= m_rewriteEnd)
        return;
    // Nothing more is confirmed before the end of the period.
    m_refreshTimer = m_scheduler.after(m_rewriteEnd - now, [this] {
        refresh();
        scheduleRefresh();
    });
}

void PrefixMirror::onRefresh(TimePoint requestTime, const Outcome<KeyValueList> &outcome)
{
    m_isListing = false;
    const auto *found = std::get_if<KeyValueList>(&outcome);
    // The watch reports a failure of the service.
    if (!found)
        return;
    if (found->position.era == m_position.era) {
        applyList(*found);
        confirm(requestTime);
    } else if (std::exchange(m_isWatching, false)) {
        // A restored service may answer the pending call of the watch much later.
        if (m_watch)
            m_watch->cancel();
        m_watch.reset();
        listAgain(ResultCode::StoreRestored);
    }
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
    const bool isFirst = !m_confirmedAt;
    // A service that states no era is known to be restored if it has lost revisions: no watch is in
    // progress that could have reported later ones than the list.
    const bool isRestored = !isFirst
                            && (found.position.era != m_position.era
                                || found.position.revision < m_position.revision);
    if (isRestored) {
        m_wasRestored = true;
        applyRestoredList(found);
    } else {
        applyList(found);
    }
    // A service that states eras may have come back just before this process was started.
    if (isRestored || (isFirst && found.position.era.value > 0))
        m_rewriteEnd = m_scheduler.now() + RewritePeriod;
    m_position = found.position;
    confirm(requestTime);
    scheduleRefresh();
    watch();
}

void PrefixMirror::applyList(const KeyValueList &found)
{
    std::optional<WriteTime> listed;
    if (m_completeUntil)
        listed = WriteTime{*m_completeUntil, *m_completeUntil};
    std::set<std::string> present;
    for (const KeyValueEntry &entry : found.entries) {
        present.insert(entry.key);
        apply(entry, listed);
    }
    for (const auto &[key, known] : std::map(m_keys)) {
        if (!present.contains(key))
            remove(key, found.position.revision);
    }
}

void PrefixMirror::applyRestoredList(const KeyValueList &found)
{
    std::optional<WriteTime> listed;
    if (m_completeUntil)
        listed = WriteTime{*m_completeUntil, *m_completeUntil};
    StoreRestoration restoration{m_position, found.position};
    std::map<std::string, KnownKey> known = std::exchange(m_keys, {});
    std::vector<const KeyValueEntry *> changed;
    for (const KeyValueEntry &entry : found.entries) {
        const KnownKey current{entry.modified, hashOf(entry.value)};
        m_keys[entry.key] = current;
        const auto it = known.find(entry.key);
        std::size_t StoreRestoration::*counter = &StoreRestoration::added;
        if (it != known.end()) {
            if (it->second.valueHash == current.valueHash)
                counter = &StoreRestoration::same;
            else if (current.revision < it->second.revision)
                counter = &StoreRestoration::older;
            else
                counter = &StoreRestoration::newer;
            known.erase(it);
        }
        ++(restoration.*counter);
        if (counter != &StoreRestoration::same)
            changed.push_back(&entry);
    }
    restoration.missing = known.size();
    // The service was away at some time during the watch that ended, at least.
    if (!m_lastFailedCall || m_lastFailedCall->startedAt < m_watchCallStart)
        m_lastFailedCall = FailedCall{m_watchCallStart, m_scheduler.now()};
    logRestoration(m_prefix, restoration);
    if (m_handlers.onRestored)
        callHandler(m_prefix, m_handlers.onRestored, restoration);
    for (const KeyValueEntry *it : changed)
        callHandler(it->key, m_handlers.onPut, *it, listed);
    for (const auto &[key, it] : known)
        callHandler(key, m_handlers.onRemoved, key);
}

void PrefixMirror::listAgain(ResultCode reason)
{
    logStateChange("store_relisted", {{"keys", m_prefix}, {"reason", resultCodeName(reason)}});
    if (m_listBackoff == Duration::zero()) {
        m_listBackoff = MinBackoff;
        list();
    } else {
        scheduleRetry(m_listBackoff, &PrefixMirror::list);
    }
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
        if (!guard())
            return;
        m_quietUntil = std::max(m_quietUntil, time);
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
    m_isWatching = true;
    m_watch = m_store.watch(m_prefix, {m_position.era, {m_position.revision.value + 1}},
                            std::move(handlers));
}

void PrefixMirror::onWatchEvents(const std::vector<WatchEvent> &events)
{
    onCallSucceeded();
    m_listBackoff = Duration::zero();
    const auto time = eventWriteTime();
    for (const WatchEvent &event : events) {
        if (event.deleted)
            remove(event.entry.key, event.entry.modified);
        else
            apply(event.entry, time);
        m_position.revision = std::max(m_position.revision, event.entry.modified);
    }
}

void PrefixMirror::onWatchConfirmed(StoreRevision current, TimePoint requestTime)
{
    onCallSucceeded();
    m_listBackoff = Duration::zero();
    m_position.revision = std::max(m_position.revision, current);
    confirm(requestTime);
}

void PrefixMirror::confirm(TimePoint requestTime)
{
    const TimePoint confirmed = confirmedBy(requestTime);
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmed), confirmed);
    recordCompleteUntil(requestTime);
    callHandler(m_prefix, m_handlers.onConfirmed, *m_confirmedAt);
}

TimePoint PrefixMirror::confirmedBy(TimePoint requestTime) const
{
    if (std::max(requestTime, m_quietUntil) >= m_rewriteEnd)
        return requestTime;
    // A mirror that was started after the return does not know how old the copy is.
    return m_wasRestored ? *m_confirmedAt : requestTime - MaxCopyAge;
}

void PrefixMirror::onWatchEnd(const Outcome<Done> &outcome)
{
    m_watch.reset();
    m_isWatching = false;
    const auto *error = std::get_if<Error>(&outcome);
    if (!error) {
        watch();
    } else if (error->code == ResultCode::WatchCompacted
               || error->code == ResultCode::StoreRestored) {
        listAgain(error->code);
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
    KnownKey &known = m_keys[entry.key];
    if (entry.modified <= known.revision)
        return;
    known = {entry.modified, hashOf(entry.value)};
    callHandler(entry.key, m_handlers.onPut, entry, time);
}

void PrefixMirror::remove(const std::string &key, StoreRevision revision)
{
    const auto it = m_keys.find(key);
    if (it == m_keys.end() || it->second.revision > revision)
        return;
    m_keys.erase(it);
    callHandler(key, m_handlers.onRemoved, key);
}

void PrefixMirror::onCallFailed(TimePoint startedAt, const Error &error,
                                void (PrefixMirror::*retryCall)())
{
    m_lastFailedCall = FailedCall{startedAt, m_scheduler.now()};
    // A restored service has answered.
    if (error.code != ResultCode::StoreRestored && std::exchange(m_reachable, false))
        callHandler(m_prefix, m_handlers.onReachable, false, toString(error));
    scheduleRetry(m_backoff, retryCall);
}

void PrefixMirror::scheduleRetry(Duration &backoff, void (PrefixMirror::*retryCall)())
{
    // Jitter: processes that lost the service at the same time must not all retry at the same time.
    const auto delay = std::chrono::duration_cast<Duration>(backoff * (0.5 + m_random.uniform()));
    backoff = std::min(2 * backoff, MaxBackoff);
    m_retry = m_scheduler.after(delay, [this, retryCall] { (this->*retryCall)(); });
}

void PrefixMirror::onCallSucceeded()
{
    m_backoff = MinBackoff;
    if (!std::exchange(m_reachable, true))
        callHandler(m_prefix, m_handlers.onReachable, true, std::string());
}

} // namespace godwit
