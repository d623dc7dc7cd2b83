#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/authorrecord.h>
#include <godwit/control/deploymentoptions.h>
#include <godwit/control/leaseaction.h>
#include <godwit/control/storagereply.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Right of one host process to order the engines of its host.
///
/// At start it takes the next fencing number by compare-and-swap, after the lease of the previous
/// holder has passed on this process's own clock (see Settings::waitsForPreviousLease). The lease
/// is held only while orders are pending, so that an idle fleet makes no calls. It counts from the
/// time at which the write was sent and ends a quarter early. No clock is compared between
/// machines. Needs onTimer() at least every Settings::tick while orders are pending; a later call
/// counts as a pause.
class AuthorLease
{
public:
    struct Settings
    {
        Duration lease = std::chrono::seconds(12);
        Duration tick = std::chrono::milliseconds(500);
        /// Pauses above this need a renewal before the next order, even within the lease.
        Duration pauseLimit = std::chrono::seconds(1);
        Duration releaseDelay = std::chrono::seconds(5); ///< Kept after the last order.
        Duration callTimeout = std::chrono::seconds(2);
        Duration firstBackoff = std::chrono::milliseconds(200);
        Duration maxBackoff = std::chrono::seconds(4);
        /// False if every engine of the host checks fencing numbers: an order of the previous
        /// holder is then refused by the engine itself, and a replaced process loses no time.
        bool waitsForPreviousLease = true;
    };

    enum class State {
        Unknown, ///< No fencing number yet.
        Waiting, ///< For the lease of the previous holder to pass.
        Idle,    ///< Fencing number taken, no lease.
        Held,
        Lost, ///< Another process has a higher number. Final.
    };

    AuthorLease(std::string holder, Settings settings, Random random);

    std::vector<LeaseAction> start(TimePoint now);
    std::vector<LeaseAction> onRead(TimePoint now, std::uint64_t call, const StorageReply &reply);
    std::vector<LeaseAction> onWrite(TimePoint now, std::uint64_t call, const StorageReply &reply);

    /// Says whether there are orders to send.
    std::vector<LeaseAction> setOrdersPending(TimePoint now, bool pending);

    std::vector<LeaseAction> onTimer(TimePoint now);
    TimePoint nextTimer() const { return m_lastTimer + m_settings.tick; }

    /// True if an order may be sent now; only after setOrdersPending(true). Without a valid lease
    /// this needs an outage of the service and an engine that checks the fencing number, or a
    /// deployment whose orders continue in an outage; the latter not after a pause.
    bool canSendOrder(TimePoint now, bool checksFencing, OutageOrders outage) const;

    State state() const { return m_state; }
    FencingNumber fencing() const { return m_record.fencing; }

private:
    using Actions = std::vector<LeaseAction>;

    bool isTimerOnTime(TimePoint now) const;
    bool isLeaseValid(TimePoint now) const;
    Actions read(TimePoint now);
    Actions write(TimePoint now, Duration lease, FencingNumber fencing);
    Actions onCallFailed(TimePoint now, bool outage);
    Actions onOwnRecord(TimePoint now, const AuthorRecord &record, std::uint64_t storedRevision);
    Actions onForeignRecord(TimePoint now, const AuthorRecord &record,
                            std::uint64_t storedRevision);
    void recordStored(const AuthorRecord &record, std::uint64_t storedRevision);
    Actions nextCall(TimePoint now);

    std::string m_holder;
    Settings m_settings;
    Random m_random;
    State m_state = State::Unknown;
    AuthorRecord m_record;              ///< Last record that is known to be ours.
    AuthorRecord m_written;             ///< Record of the write in flight or of unknown effect.
    std::uint64_t m_storedRevision = 0; ///< Stored revision of the last record seen.
    std::uint64_t m_call = 0;
    std::optional<TimePoint> m_callDeadline; ///< A call is in flight.
    TimePoint m_sentAt;                      ///< Of m_written.
    TimePoint m_leaseStart; ///< Send time of the write that gave the lease of m_record.
    TimePoint m_waitUntil;
    TimePoint m_retryAt;
    Duration m_backoff;
    AuthorRecord m_previous; ///< Record of the previous holder while Waiting.
    bool m_ordersPending = false;
    TimePoint m_idleSince;
    TimePoint m_lastTimer;
    bool m_releasing = false; ///< A release may still take effect.
    bool m_paused = false;
    bool m_outage = false; ///< The last call failed without an answer.
    bool m_needsRead = true;
};

} // namespace godwit
