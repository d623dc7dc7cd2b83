#pragma once

#include <godwit/requests/instant.h>
#include <godwit/requests/journalsegment.h>
#include <godwit/requests/slotclaim.h>
#include <godwit/requests/slotmessages.h>
#include <godwit/requests/slotsettings.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwit {

/// Ensures that the non-idempotent requests of the slots owned by a host run at most once, see
/// docs/at-most-once.md. One object writes one journal. After another host has closed the journal,
/// the object only completes the running requests.
///
/// Calls return actions that the caller must carry out. tick() must be called at least every tenth
/// of SlotSettings::commitInterval, or whenever an action may be due.
///
/// A reply carries NotRun only while no other host can own the slot, so that the state applies to
/// the key and not only to the attempt. Otherwise it carries Unknown, and the caller may safely
/// resend the request with the same key.
class SlotOwner
{
public:
    SlotOwner(DeploymentId deployment, JournalId journal, SlotSettings settings);

    const JournalId &journal() const { return m_journal; }

    /// Returns true once another host has closed the journal.
    bool isClosed() const { return m_isClosed; }

    /// Returns true if all dispatched requests have finished.
    bool isIdle() const { return m_activeCount == 0; }

    /// Adds slots that were claimed for this journal, or updates the successors of own slots.
    void applyClaim(const SlotClaim &claim, Instant at);

    /// Handles a request that the AttemptTable has accepted.
    SlotActions submit(const SlotRequest &request, Instant at);

    /// Called immediately before the request is sent to the backend server. Returns false if the
    /// request must not be sent, for example because the lease expired while the process was
    /// paused. The replies to the waiting attempts are then added to \a actions.
    bool confirmDispatch(const IdempotencyKey &key, Instant at, SlotActions &actions);

    /// Called when the backend server has finished \a key. \a state may be NotRun only if this is
    /// proved, for example by a refused connection.
    SlotActions handleCompletion(const IdempotencyKey &key, RunState state, std::string response,
                                 Instant at);

    /// Removes \a attempt from the waiting attempts and returns what is known about \a key.
    RunState withdraw(const IdempotencyKey &key, const AttemptKey &attempt, Instant at);

    SlotActions handleStorageReply(const SlotStorageReply &reply, Instant at);
    SlotActions handlePromiseReply(const PromiseReply &reply, Instant at);
    SlotActions tick(Instant at);

    /// Returns the number of slots that no other host can own at \a now.
    std::size_t exclusiveSlots(TimePoint now) const;

private:
    enum class Phase {
        Waiting,         ///< Waits for the journal write, the lease or promises.
        DispatchPending, ///< A SlotDispatch has been returned; confirmDispatch() has not been
                         ///< called yet.
        Running,         ///< Sent to the backend server.
        Finished,        ///< Ran on this host.
        Lost,            ///< May have run; see Entry::state.
        Idle,            ///< Did not run and no attempt is waiting.
    };
    struct Waiter
    {
        AttemptKey attempt;
        TimePoint startBefore;
    };
    struct Entry
    {
        Phase phase = Phase::Waiting;
        std::optional<Digest> bodyDigest; ///< Unknown for keys read from another journal.
        bool isJournaled = false;
        /// Dispatched without a journal entry and counted in m_unjournaledCount.
        bool countedUnjournaled = false;
        RunState state = RunState::Unknown;
        std::vector<Waiter> waiters;
        std::optional<std::string> response;
    };
    struct Write
    {
        SlotStorageCall call;
        JournalSegment segment;
        std::size_t keyCount = 0;      ///< Number of keys from the front of m_keysToJournal.
        std::size_t finishedCount = 0; ///< Number of keys from the front of m_finishedToJournal.
        TimePoint firstSentAt;
        TimePoint sentAt;
        bool isInFlight = false;
        /// The call reads the segment back after a failed compare-and-swap.
        bool isReading = false;
    };
    struct Promise
    {
        TimePoint until = TimePoint::min();
        /// Ids of open promise requests and when they were sent.
        std::map<std::uint64_t, TimePoint> pendingRequests;
    };
    using Slot = SlotClaim::Slot;

    const Slot *slotOf(const IdempotencyKey &key) const;
    TimePoint leaseEnd() const;
    bool holdsLease(TimePoint now) const;
    bool isStorageOutage(TimePoint now) const;
    bool hasPromises(const Slot &slot, TimePoint now) const;
    bool isExclusive(const Slot *slot, TimePoint now) const;
    bool mayWait(const Slot &slot, TimePoint now) const;
    bool mayDispatch(const IdempotencyKey &key, const Entry &entry, TimePoint now) const;
    RunState notRunIfExclusive(const IdempotencyKey &key, TimePoint now) const;

    std::optional<SlotReply> refusal(const SlotRequest &request, Instant at);
    std::optional<SlotReply> refusalByTimestamp(const SlotRequest &request, const Slot &slot,
                                                Instant at) const;
    std::optional<SlotReply> joinExisting(const SlotRequest &request, Entry &entry);
    void replyToWaiters(Entry &entry, ResultCode code, RunState state, SlotActions &actions);
    void dispatchWaiting(TimePoint now, SlotActions &actions);
    void expireWaiters(const IdempotencyKey &key, Entry &entry, TimePoint now,
                       SlotActions &actions);
    void cacheResponse(const IdempotencyKey &key, Entry &entry, std::string response);

    void prepareWrite(Instant at);
    void sendWrite(TimePoint now, SlotActions &actions);
    void advanceWrites(Instant at, SlotActions &actions);
    void handleCommit(Revision revision, TimePoint sentAt);
    void handleReadBack(const SlotStorageReply &reply);
    void handleClosed(TimePoint now, SlotActions &actions);
    void requestPromises(TimePoint now, SlotActions &actions);
    void deleteOldSegments(Instant at, SlotActions &actions);
    void evictExpiredKeys(Instant at);
    bool evictIfFull();
    void eraseKey(std::unordered_map<IdempotencyKey, Entry>::iterator it);

    DeploymentId m_deployment;
    JournalId m_journal;
    SlotSettings m_settings;
    std::size_t m_slotCount = 0;
    std::map<std::size_t, Slot> m_slots;
    bool m_isClosed = false;

    std::unordered_map<IdempotencyKey, Entry> m_keys;
    /// Ordered by time of receipt.
    std::deque<std::pair<WallTime, IdempotencyKey>> m_keysByReceipt;
    std::deque<IdempotencyKey> m_waitingKeys;
    std::deque<IdempotencyKey> m_keysToJournal; ///< Keys that are not in the journal yet.
    /// Keys that ran, which is not recorded in the journal yet.
    std::deque<IdempotencyKey> m_finishedToJournal;
    std::deque<IdempotencyKey> m_cachedResponses; ///< Keys with a cached response, oldest first.
    std::size_t m_cachedResponseBytes = 0;
    std::size_t m_unjournaledCount = 0;
    std::size_t m_activeCount = 0; ///< Number of keys in phase DispatchPending or Running.
    /// Latest creation time of a UUIDv7 key that was evicted for space.
    std::optional<WallTime> m_evictedKeyTime;

    std::optional<JournalSegment> m_segment; ///< Last segment that is known to be stored.
    Revision m_revision;
    std::optional<Write> m_write;
    std::uint64_t m_nextCallId = 1;
    TimePoint m_nextWriteAt = TimePoint::min();
    std::optional<TimePoint> m_leaseStart; ///< Time at which the last successful write was sent.
    /// Sealed segments that are still stored, with their write times.
    std::deque<std::pair<std::uint64_t, WallTime>> m_sealedSegments;

    std::map<HostId, Promise> m_promises;
    std::uint64_t m_nextPromiseRequestId = 1;
    TimePoint m_nextPromiseRequestAt = TimePoint::min();
};

} // namespace godwit
