#pragma once

#include <godwit/gateway/crashreport.h>
#include <godwit/gateway/harmlesscontent.h>
#include <godwit/mirror/prefixmirror.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// What one entry process tells the others about crashes of backend servers.
struct CrashKnowledge
{
    std::vector<CrashReport> crashes;
    std::vector<HarmlessContent> harmless; ///< Suspects of others that were answered here.

    friend bool operator==(const CrashKnowledge &, const CrashKnowledge &) = default;
};

/// Exchanges crash reports between entry processes through the key-value service. Each process
/// writes one key, under a lease, with what it has learned in the last ten minutes, and watches the
/// keys of all. Without the service each process learns by itself; what could not be written is
/// written later, also after the store has come back from a copy that lacks it: leases and
/// revisions from before are not used then, because the store assigns them again. Callbacks run on
/// the thread of the KeyValuePort.
class CrashReportExchange
{
public:
    struct Handlers
    {
        std::function<void(const CrashReport &)> onCrash;
        std::function<void(const HarmlessContent &)> onHarmless;
    };

    static constexpr std::string_view Prefix = "crashes/";
    /// Duration of the lease, also if the process that wrote the key ends. A report lives for at
    /// least half of it.
    static constexpr Duration ReportLifetime = std::chrono::minutes(10);
    /// Reports of crashes that happen together are written together.
    static constexpr Duration BatchDelay = std::chrono::milliseconds(20);
    /// Delay of the first write after a failed one; doubles with each further failure.
    static constexpr Duration RetryDelay = std::chrono::milliseconds(500);
    static constexpr Duration MaxRetryDelay = std::chrono::seconds(4);
    /// Writes that may follow each other without a pause, and the time after which a further one
    /// may. When responses are lost in numbers, each of them looks like a crash, and a write for
    /// each would be most of the calls to the store. A report reaches the others within the
    /// shortest reconnection period of a fleet (3 s) all the same.
    static constexpr int WriteBurst = 3;
    static constexpr Duration WriteInterval = std::chrono::milliseconds(1500);
    static constexpr std::size_t MaxReports = 64;
    /// Of one report. Shared parts are kept before whole requests.
    static constexpr std::size_t MaxSuspects = 64;
    /// Of one report. The first ones are kept, which a crash has broken before others of the same
    /// kind were sent again.
    static constexpr std::size_t MaxRequests = 32;
    static constexpr std::size_t MaxHarmlessKeys = 64;

    /// \a name identifies this process among all entry processes.
    CrashReportExchange(KeyValuePort &store, Scheduler &scheduler, Random random,
                        const std::string &name, Handlers handlers);

    void start() { m_mirror.start(); }

    void publish(const CrashReport &report);
    /// Does nothing if as much was published less than half a ReportLifetime ago.
    void publishHarmless(const HarmlessContent &harmless);

private:
    struct TimedHarmless
    {
        TimePoint at;
        HarmlessContent harmless;
    };
    struct TimedReport
    {
        TimePoint at;
        CrashReport report;
    };

    void handlePut(const KeyValueEntry &entry);
    /// Writes the own key again if it has ended before what was written in it.
    void handleRemoved(const std::string &key);
    /// Writes the own key again: the copy may lack it, or hold it under a lease that has ended.
    void handleRestored();
    /// Forgets the lease and the revision of the own key if they are of an earlier era of the
    /// store.
    void voidEarlierEra();
    /// Takes over what an earlier process of this name has written, which the next write would
    /// replace.
    void adoptEarlierKnowledge(StoreRevision revision, const CrashKnowledge &knowledge);
    /// Adds \a report, together with what is known of the same crash, as the newest.
    void addReport(const CrashReport &report);
    /// Adds \a harmless, in place of what is known of the same content, as the newest.
    void addHarmless(const HarmlessContent &harmless);
    void scheduleWrite(Duration delay);
    /// Adds what has been refilled since the last call to the writes that are allowed.
    void refillWrites();
    void write();
    void requestLease();
    void writeWithLease();
    void onWritten(const Outcome<StoreRevision> &outcome);
    void readRevision();
    void onRevisionRead(const Outcome<std::optional<KeyValueEntry>> &outcome);
    std::string encodeKnowledge() const;
    void dropExpired();

    /// Wraps \a function in a completion that does nothing once this object has been destroyed.
    template <typename T, typename Function>
    Completion<T> bindWeak(Function function)
    {
        return [alive = std::weak_ptr(m_alive), function](const Outcome<T> &outcome) {
            if (!alive.expired())
                function(outcome);
        };
    }

    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    std::string m_key;
    Handlers m_handlers;
    std::deque<TimedReport> m_reports;    ///< Oldest first.
    std::deque<TimedHarmless> m_harmless; ///< Oldest first.
    StoreEra m_era;                       ///< In which the lease and the revision are valid.
    std::optional<LeaseId> m_lease;
    TimePoint m_leaseGrantedAt;
    StoreRevision m_revision;   ///< Of the last write of the own key; 0 if it does not exist.
    bool m_knowsOwnKey = false; ///< The own key has been read or written by this process.
    bool m_isWriting = false;
    bool m_isChanged = false; ///< Since the write in progress began.
    std::unique_ptr<Timer> m_writeTimer;
    double m_allowedWrites = WriteBurst;
    TimePoint m_writesRefilledAt{};
    Duration m_retryDelay = RetryDelay;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
    PrefixMirror m_mirror;
};

} // namespace godwit
