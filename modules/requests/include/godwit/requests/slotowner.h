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

/// Runs the non-idempotent requests of the slots that a host owns at most once, see
/// docs/at-most-once.md. One object writes one journal; after the journal has been closed by
/// another host the object only completes what is running.
///
/// All calls return actions. tick() is called at least every tenth of SlotSettings::commitInterval
/// or when an action may be due.
///
/// A reply says NotRun only while no other host can own the slot, so that it is a statement about
/// the key. Otherwise it says Unknown, which is safe to answer with a resend of the same key.
class SlotOwner
{
public:
    SlotOwner(DeploymentId deployment, JournalId journal, SlotSettings settings);

    const JournalId &journal() const { return m_journal; }

    /// True once another host has closed the journal.
    bool isClosed() const { return m_isClosed; }

    /// True if nothing has been dispatched that is not finished.
    bool isIdle() const { return m_activeCount == 0; }

    /// Adds slots that were claimed for this journal, or changes the successors of own slots.
    void applyClaim(const SlotClaim &claim, Instant at);

    /// A request that the AttemptTable has accepted.
    SlotActions submit(const SlotRequest &request, Instant at);

    /// Called immediately before the request is written to the backend server. If it returns false,
    /// which happens after a pause, the request must not be run; \a actions receives the replies.
    bool confirmDispatch(const IdempotencyKey &key, Instant at, SlotActions &actions);

    /// The backend server is done with \a key. NotRun needs a proof, such as a refused connection.
    SlotActions handleCompletion(const IdempotencyKey &key, RunState state, std::string response,
                                 Instant at);

    /// Stops \a attempt from waiting and says what is known about \a key.
    RunState withdraw(const IdempotencyKey &key, const AttemptKey &attempt, Instant at);

    SlotActions handleStorageReply(const SlotStorageReply &reply, Instant at);
    SlotActions handlePromiseReply(const PromiseReply &reply, Instant at);
    SlotActions tick(Instant at);

    /// Slots that no other host can own at \a now.
    std::size_t exclusiveSlots(TimePoint now) const;

private:
    enum class Phase {
        Waiting,         ///< For the journal, or for a lease or promises.
        DispatchPending, ///< A SlotDispatch has been returned.
        Running,         ///< With the backend server.
        Finished,        ///< Ran here.
        Lost,            ///< May have run; see Entry::state.
        Idle,            ///< Did not run and nobody waits for it.
    };
    struct Waiter
    {
        AttemptKey attempt;
        TimePoint startBefore;
    };
    struct Entry
    {
        Phase phase = Phase::Waiting;
        std::optional<Digest> bodyDigest; ///< Not known for keys from another journal.
        bool isJournaled = false;
        bool countedUnjournaled = false; ///< Dispatched without a journal entry.
        RunState state = RunState::Unknown;
        std::vector<Waiter> waiters;
        std::optional<std::string> response;
    };
    struct Write
    {
        SlotStorageCall call;
        JournalSegment segment;
        std::size_t keyCount = 0;      ///< From the front of m_queue.
        std::size_t finishedCount = 0; ///< From the front of m_finished.
        TimePoint firstSentAt;
        TimePoint sentAt;
        bool isInFlight = false;
        bool isReading = false; ///< The call reads back the segment after a failed compare.
    };
    struct Promise
    {
        TimePoint until = TimePoint::min();
        std::map<std::uint64_t, TimePoint> pendingRequests; ///< Question and when it was sent.
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
    std::optional<SlotReply> refusalByAge(const SlotRequest &request, const Slot &slot,
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
    std::deque<std::pair<WallTime, IdempotencyKey>> m_keysByReceipt; ///< By time of receipt.
    std::deque<IdempotencyKey> m_waitingKeys;
    std::deque<IdempotencyKey> m_keysToJournal;     ///< Not in the journal yet.
    std::deque<IdempotencyKey> m_finishedToJournal; ///< Ran, and the journal does not say so yet.
    std::deque<IdempotencyKey> m_cachedResponses;   ///< Keys with a kept answer, oldest first.
    std::size_t m_cachedResponseBytes = 0;
    std::size_t m_unjournaledCount = 0;
    std::size_t m_activeCount = 0;            ///< Keys that are ordered or running.
    std::optional<WallTime> m_evictedKeyTime; ///< Latest time of a UUIDv7 key evicted for space.

    std::optional<JournalSegment> m_segment; ///< Last one known to be stored.
    Revision m_revision;
    std::optional<Write> m_write;
    std::uint64_t m_nextCallId = 1;
    TimePoint m_nextWriteAt = TimePoint::min();
    std::optional<TimePoint> m_leaseStart; ///< When the last successful write was sent.
    std::deque<std::pair<std::uint64_t, WallTime>> m_sealedSegments; ///< Full segments in storage.

    std::map<HostId, Promise> m_promises;
    std::uint64_t m_nextPromiseRequestId = 1;
    TimePoint m_nextPromiseRequestAt = TimePoint::min();
};

} // namespace godwit
