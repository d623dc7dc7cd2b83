#pragma once

#include <godwit/base/random.h>
#include <godwit/ports/callhandle.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

/// What a PrefixMirror reports, on the thread of its port.
struct MirrorHandlers
{
    /// \a notBefore is the last time at which the service is known not to have had the write; none
    /// if the key was there when the mirror started.
    std::function<void(const KeyValueEntry &, std::optional<TimePoint> notBefore)> onPut;
    std::function<void(const std::string &key)> onRemoved;
    /// All writes that the service had accepted at \a requestTime have been reported.
    std::function<void(TimePoint requestTime)> onConfirmed;
    /// The service became reachable, or unreachable because of \a problem.
    std::function<void(bool reachable, const std::string &problem)> onReachable;
};

/// Keeps up with all keys of the key-value service that begin with a prefix: lists them once,
/// watches from there, and lists again only if the history that it needs is gone. Failed calls
/// are repeated with backoff and jitter.
class PrefixMirror
{
public:
    static constexpr Duration MinBackoff = std::chrono::milliseconds(30);
    static constexpr Duration MaxBackoff = std::chrono::milliseconds(1000);
    /// An event that ends a call of the watch later than this after its begin is news of that
    /// moment; an earlier one may have been there before the call.
    static constexpr Duration MaxEventDelay = std::chrono::milliseconds(150);

    PrefixMirror(KeyValuePort &store, Scheduler &scheduler, Random random, std::string prefix,
                 MirrorHandlers handlers);
    ~PrefixMirror();
    PrefixMirror(const PrefixMirror &) = delete;
    PrefixMirror &operator=(const PrefixMirror &) = delete;

    void start() { list(); }

    /// When a call failed last.
    std::optional<TimePoint> lastFailure() const { return m_lastFailure; }

private:
    void list();
    void onList(TimePoint requestTime, const Outcome<KeyValueList> &outcome);
    void watch();
    void onWatchEvents(const std::vector<WatchEvent> &events);
    void onWatchConfirmed(StoreRevision current, TimePoint requestTime);
    void onWatchEnd(const Outcome<Done> &outcome);
    void apply(const KeyValueEntry &entry, std::optional<TimePoint> notBefore);
    std::optional<TimePoint> earliestEventTime() const;
    void remove(const std::string &key, StoreRevision revision);
    void onCallFailed(const Error &error, void (PrefixMirror::*retryCall)());
    void onCallSucceeded();

    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    Random m_random;
    std::string m_prefix;
    MirrorHandlers m_handlers;
    std::map<std::string, StoreRevision> m_keys; ///< With the revision of their last write.
    StoreRevision m_revision;                    ///< All writes up to it have been reported.
    TimePoint m_watchCallStart;                  ///< When the present call of the watch began.
    std::optional<TimePoint> m_confirmedAt;
    std::optional<TimePoint> m_lastFailure;
    Duration m_backoff = MinBackoff;
    bool m_reachable = true;
    std::shared_ptr<CallHandle> m_watch;
    std::unique_ptr<Timer> m_retry;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
