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

/// Lease that allows one process of a host to send orders to the engines of that host.
///
/// At start the process waits until the lease of the previous holder has expired by its own clock
/// (see Settings::waitsForPreviousLease) and then takes the next fencing number by
/// compare-and-swap. The lease is held only while orders are pending, so that an idle fleet makes
/// no calls. It starts when its write is sent and is treated as expired after three quarters of its
/// duration. Clocks of different machines are never compared. onTimer() must be called at least
/// every Settings::tick while orders are pending; a later call is treated as a pause of the
/// process.
class AuthorLease
{
public:
    struct Settings
    {
        Duration lease = std::chrono::seconds(12);
        Duration tick = std::chrono::milliseconds(500);
        /// After a longer pause the lease must be renewed before the next order, even if it has not
        /// expired.
        Duration pauseLimit = std::chrono::seconds(1);
        /// Time for which the lease is kept after the last order.
        Duration releaseDelay = std::chrono::seconds(5);
        Duration callTimeout = std::chrono::seconds(2);
        Duration firstBackoff = std::chrono::milliseconds(200);
        Duration maxBackoff = std::chrono::seconds(4);
        /// May be false if every engine of the host checks fencing numbers: the engines then refuse
        /// orders of the previous holder, and a restarted process need not wait for the old lease.
        bool waitsForPreviousLease = true;
    };

    enum class State {
        Unknown, ///< No fencing number yet.
        Waiting, ///< The lease of the previous holder has not expired yet.
        Idle,    ///< Fencing number taken, no lease.
        Held,
        Lost, ///< Another process has a higher fencing number; final.
    };

    AuthorLease(std::string holder, Settings settings, Random random);

    std::vector<LeaseAction> start(TimePoint now);
    std::vector<LeaseAction> onRead(TimePoint now, std::uint64_t call, const StorageReply &reply);
    std::vector<LeaseAction> onWrite(TimePoint now, std::uint64_t call, const StorageReply &reply);

    /// Tells whether there are orders to send; the lease is acquired and kept only while there are.
    std::vector<LeaseAction> setOrdersPending(TimePoint now, bool pending);

    std::vector<LeaseAction> onTimer(TimePoint now);
    TimePoint nextTimer() const { return m_lastTimer + m_settings.tick; }

    /// True if an order may be sent now. Requires setOrdersPending(true). Without a valid lease,
    /// orders are allowed only while the key-value service is unavailable, and only if the engine
    /// checks fencing numbers or, unless the process was paused, if the deployment allows orders
    /// during an outage.
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
    AuthorRecord m_record; ///< Last record of this process that is known to be stored.
    /// Record of the last write, which may be in flight or have an unknown outcome.
    AuthorRecord m_written;
    std::uint64_t m_storedRevision = 0; ///< Store revision of the last record read or written.
    std::uint64_t m_call = 0;
    std::optional<TimePoint> m_callDeadline; ///< Set while a call is in flight.
    TimePoint m_sentAt;                      ///< Send time of m_written.
    TimePoint m_leaseStart; ///< Send time of the write that started the lease in m_record.
    TimePoint m_waitUntil;
    TimePoint m_retryAt;
    Duration m_backoff;
    AuthorRecord m_previous; ///< Record of the previous holder while Waiting.
    bool m_ordersPending = false;
    TimePoint m_idleSince;
    TimePoint m_lastTimer;
    bool m_releasing = false; ///< A write that releases the lease may still take effect.
    bool m_paused = false;
    bool m_outage = false; ///< The last call timed out or found no connection.
    bool m_needsRead = true;
};

} // namespace godwit
