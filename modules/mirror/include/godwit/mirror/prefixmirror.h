#pragma once

#include <godwit/base/random.h>
#include <godwit/mirror/storerestoration.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

/// When a key was written, as far as the responses of the service tell.
struct WriteTime
{
    TimePoint earliest; ///< The service did not have the write before; any delay is covered.
    TimePoint expected; ///< Estimate that assumes the usual delay of an event; not before earliest.

    friend bool operator==(const WriteTime &, const WriteTime &) = default;
};

/// A call to the service that failed. The outage behind it ended no earlier than the call started,
/// but possibly before it failed: a connection may remain silent after the service is back.
struct FailedCall
{
    TimePoint startedAt;
    TimePoint failedAt;

    friend bool operator==(const FailedCall &, const FailedCall &) = default;
};

/// Callbacks of a PrefixMirror, called on the thread of its KeyValuePort. An exception ends the
/// callback that threw it, and is logged; the mirror goes on with the next one.
struct MirrorHandlers
{
    /// The key was written at \a time; empty if the key existed when the mirror started.
    std::function<void(const KeyValueEntry &, const std::optional<WriteTime> &time)> onPut;
    std::function<void(const std::string &key)> onRemoved;
    /// All changes that one call returned have been reported, and with them all writes that the
    /// service had accepted by \a asOf. That time does not advance while writes that a restored
    /// service has lost may not have been written again.
    std::function<void(TimePoint asOf)> onConfirmed;
    /// The service became reachable, or unreachable for the reason in \a problem.
    std::function<void(bool reachable, const std::string &problem)> onReachable;
    /// The service came back from a copy. The differences between the copy and what was reported
    /// before follow as calls of onPut and onRemoved, and end with onConfirmed. May be empty.
    std::function<void(const StoreRestoration &)> onRestored = {};
};

/// Mirrors all keys of the key-value service that begin with a prefix: lists them once, watches
/// from the position of the list, and lists again only if the service has compacted the history
/// since, or has come back from a copy. Failed calls are retried with backoff and jitter, and so
/// are lists without a successful watch between them.
///
/// A restored service has another era, or a lower revision than the one known. Revisions of the old
/// era are forgotten then, so that what is written again is reported whatever its revision.
class PrefixMirror
{
public:
    static constexpr Duration MinBackoff = std::chrono::milliseconds(30);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(1000);
    /// Usual upper bound of the time from a write to its event while a watch call is waiting. Busy
    /// links delay it further, so that only estimates may rest on it.
    static constexpr Duration UsualEventDelay = std::chrono::milliseconds(400);
    /// An event that arrives within this time of the start of its call may report a write from
    /// before the call, since the last confirmation: the response of the previous call may have
    /// been delayed, by a large value for example.
    static constexpr Duration ImmediateEvent = std::chrono::milliseconds(150);

    /// Writes that a restored service has lost are written again within this time after its return.
    static constexpr Duration RewritePeriod = std::chrono::milliseconds(2500);

    /// Upper bound of the age of the copy from which a service comes back.
    static constexpr Duration MaxCopyAge = std::chrono::hours(1);

    PrefixMirror(KeyValuePort &store, Scheduler &scheduler, Random random, std::string prefix,
                 MirrorHandlers handlers);
    ~PrefixMirror();
    PrefixMirror(const PrefixMirror &) = delete;
    PrefixMirror &operator=(const PrefixMirror &) = delete;

    void start() { list(); }

    /// Lists the keys once more while the watch goes on, because there may be changes that it has
    /// not reported. Does nothing before the first list has succeeded, or while a list is in
    /// progress.
    void refresh();

    /// Refreshes from now on at the end of each period in which lost writes may still be missing,
    /// for users that need recent confirmations: in it they do not advance, and the next response
    /// of the watch may come long after it.
    void refreshUntilRewritten() { m_refreshesUntilRewritten = true; }

    /// The most recent of the failed calls; none if no call has failed yet.
    std::optional<FailedCall> lastFailedCall() const { return m_lastFailedCall; }

private:
    void list();
    void onList(TimePoint requestTime, const Outcome<KeyValueList> &outcome);
    void scheduleRefresh();
    void onRefresh(TimePoint requestTime, const Outcome<KeyValueList> &outcome);
    void applyList(const KeyValueList &found);
    /// Like applyList(), for the first list since the service came back from a copy.
    void applyRestoredList(const KeyValueList &found);
    /// Lists again because the watch cannot go on: at once if the watch after the last list was
    /// successful, else with backoff.
    void listAgain(ResultCode reason);
    void watch();
    void onWatchEvents(const std::vector<WatchEvent> &events);
    void onWatchConfirmed(StoreRevision current, TimePoint requestTime);
    void onWatchEnd(const Outcome<Done> &outcome);
    /// All writes that the service held at \a requestTime have been reported.
    void confirm(TimePoint requestTime);
    /// Time up to which writes are confirmed by a call that was sent at \a requestTime.
    TimePoint confirmedBy(TimePoint requestTime) const;
    void apply(const KeyValueEntry &entry, const std::optional<WriteTime> &time);
    std::optional<WriteTime> eventWriteTime() const;
    /// No write before \a time is missing among those that have been reported.
    void recordCompleteUntil(TimePoint time);
    void remove(const std::string &key, StoreRevision revision);
    void onCallFailed(TimePoint startedAt, const Error &error, void (PrefixMirror::*retryCall)());
    void scheduleRetry(Duration &backoff, void (PrefixMirror::*retryCall)());
    void onCallSucceeded();

    struct KnownKey
    {
        StoreRevision revision; ///< Of the last write.
        std::size_t valueHash = 0;
    };

    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    Random m_random;
    std::string m_prefix;
    MirrorHandlers m_handlers;
    std::map<std::string, KnownKey> m_keys;
    StorePosition m_position;   ///< Position up to which all writes have been reported.
    TimePoint m_watchCallStart; ///< Start of the current call of the watch.
    std::optional<TimePoint> m_confirmedAt;
    /// Until then, writes that the service has lost may not have been written again.
    TimePoint m_rewriteEnd = TimePoint::min();
    bool m_wasRestored = false;                ///< Since the mirror was started.
    TimePoint m_quietUntil = TimePoint::min(); ///< No watched key was written before.
    /// Writes that are reported from now on were made after this time. Later than m_confirmedAt if
    /// a call has waited without an event.
    std::optional<TimePoint> m_completeUntil;
    std::optional<FailedCall> m_lastFailedCall;
    Duration m_backoff = MinBackoff;
    Duration m_listBackoff{0}; ///< Before the next list; 0 after a successful watch.
    bool m_reachable = true;
    bool m_isListing = false;
    bool m_isWatching = false;
    std::shared_ptr<CallHandle> m_watch;
    std::unique_ptr<Timer> m_retry;
    std::unique_ptr<Timer> m_refreshTimer;
    bool m_refreshesUntilRewritten = false;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
