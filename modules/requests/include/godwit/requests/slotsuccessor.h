#pragma once

#include <godwit/requests/instant.h>
#include <godwit/requests/journalsegment.h>
#include <godwit/requests/slotclaim.h>
#include <godwit/requests/slotdocument.h>
#include <godwit/requests/slotmessages.h>
#include <godwit/requests/slotsettings.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace godwit {

/// Follows the journals of the owners that name this host as a successor, grants them promises and
/// takes over their slots when their lease has expired. A takeover closes the journal, reads it and
/// claims the slots by compare-and-swap of the slot document. Also creates the document and claims
/// the slots for which this host is the designated first owner.
///
/// One object serves one deployment for the lifetime of the process. Every third of a lease, it
/// reads the document once and the newest segment of each followed journal once.
class SlotSuccessor
{
public:
    struct Output
    {
        SlotActions actions;
        /// Must be passed to SlotOwner::applyClaim() of the owner of claim->journal.
        std::optional<SlotClaim> claim;
    };

    /// \a hosts are the hosts of the deployment, including this one.
    SlotSuccessor(DeploymentId deployment, HostId self, Incarnation process,
                  std::vector<HostId> hosts, SlotSettings settings, TimePoint start);

    /// Sets the hosts of the deployment, without those that were permanently removed. Successors of
    /// own slots that are not in \a hosts are replaced, and missing successors are added.
    void setHosts(std::vector<HostId> hosts) { m_hosts = std::move(hosts); }

    /// Returns the id of the journal for the next claim.
    JournalId ownJournal() const { return {m_self, m_process, m_term}; }

    /// Called when another host has closed the own journal. The next claim starts a new one.
    void handleOwnJournalClosed();

    PromiseReply handlePromiseRequest(const PromiseRequest &request, TimePoint now);
    Output handleStorageReply(const SlotStorageReply &reply, Instant at);
    Output tick(Instant at);

    /// Returns the document that was read last.
    const std::optional<SlotDocument> &document() const { return m_document; }

private:
    struct FollowedJournal
    {
        std::uint64_t segmentNumber = 0;
        std::uint64_t writeNumber = 0;
        /// First write number that was read when no promise of an earlier process of this host
        /// could be in force.
        std::optional<std::uint64_t> baselineWrite;
        /// Highest write number in a granted promise request.
        std::optional<std::uint64_t> promisedWrite;
        TimePoint changedAt;
        TimePoint promisedUntil = TimePoint::min();
        bool isClosed = false;
    };
    enum class Stage { Closing, Reading, Claiming };
    struct Takeover
    {
        JournalId journal;
        Stage stage = Stage::Closing;
        bool isSuccessorUpdate = false; ///< The takeover only replaces the successors of own slots.
        /// Write number known when the takeover began; a newer one cancels the takeover.
        std::uint64_t writeNumber = 0;
        std::uint64_t segmentNumber = 0;
        std::optional<JournalSegment> previous; ///< Last sealed segment.
        bool isCloseSent = false;
        bool hasJournalGap = false;
        PastJournal pastJournal;
        std::deque<std::pair<JournalId, std::uint64_t>> unreadSegments;
        std::set<JournalId> readJournals;
        std::map<IdempotencyKey, bool> keys;
        std::set<std::pair<JournalId, std::pair<std::uint64_t, std::uint64_t>>> expiredSegments;
        /// Document to be written, based on revision m_candidateBaseRevision.
        std::optional<SlotDocument> candidate;
    };
    enum class Purpose {
        Document,
        Create,
        Follow,
        CloseRead,
        CloseWrite,
        Read,
        ClaimRead,
        ClaimWrite,
        Delete
    };
    struct PendingCall
    {
        Purpose purpose = Purpose::Document;
        JournalId journal;
        std::uint64_t number = 0;
        TimePoint sentAt;
    };

    std::uint64_t call(Purpose purpose, SlotStorageCall::Kind kind, std::string key, TimePoint now,
                       Output &out);
    void readSegment(Purpose purpose, const JournalId &journal, std::uint64_t number, TimePoint now,
                     Output &out);
    void readDocument(Purpose purpose, TimePoint now, Output &out);
    void createDocument(TimePoint now, Output &out);
    void handleReply(const PendingCall &pending, const SlotStorageReply &reply, Instant at,
                     Output &out);
    void updateDocument(const SlotStorageReply &reply, TimePoint now);
    void handleFollowRead(const PendingCall &pending, const SlotStorageReply &reply, TimePoint now,
                          Output &out);
    std::optional<unsigned> takeoverRank(const SlotEntry &slot) const;
    std::optional<TimePoint> takeoverTime(const JournalId &journal) const;
    void startDueTakeover(TimePoint now, Output &out);
    void handleCloseRead(const SlotStorageReply &reply, Instant at, Output &out);
    void writeClosedSegment(JournalSegment segment, Revision expected, TimePoint now, Output &out);
    void handleJournalClosed(const JournalSegment &last, TimePoint now, Output &out);
    void readNextSegments(TimePoint now, Output &out);
    void handleSegmentRead(const PendingCall &pending, const SlotStorageReply &reply, TimePoint now,
                           Output &out);
    void collectKeys(const JournalSegment &segment);
    void handleClaimRead(const SlotStorageReply &reply, Instant at, Output &out);
    void writeCandidate(TimePoint now, Output &out);
    void startSuccessorUpdate(TimePoint now, Output &out);
    void updateSuccessors(TimePoint now, Output &out);
    bool needsSuccessorUpdate(std::size_t slot) const;
    void deleteExpired(TimePoint now, Output &out);
    bool queuePastJournals(const std::vector<std::size_t> &slots, Instant at);
    SlotDocument makeClaimDocument(const std::vector<std::size_t> &slots, Instant at);
    std::vector<HostId> successorsFor(std::size_t slot) const;
    void finishClaim(Output &out);
    void retryTakeover(TimePoint now, Output &out);
    Duration retentionWithSkew() const;

    DeploymentId m_deployment;
    HostId m_self;
    Incarnation m_process;
    std::uint64_t m_term = 1;
    std::vector<HostId> m_hosts;
    SlotSettings m_settings;
    TimePoint m_start;

    std::optional<SlotDocument> m_document;
    Revision m_documentRevision;
    TimePoint m_nextPollAt = TimePoint::min();
    std::map<JournalId, FollowedJournal> m_followed;
    std::optional<Takeover> m_takeover;
    Revision m_candidateBaseRevision;
    TimePoint m_retryAt = TimePoint::max();
    std::set<std::size_t> m_claimedSlots; ///< Slots that were claimed for the current own journal.
    std::map<std::uint64_t, PendingCall> m_pending;
    std::uint64_t m_nextCallId = 1;
};

} // namespace godwit
