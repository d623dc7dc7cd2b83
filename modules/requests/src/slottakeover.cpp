// Takeover part of SlotSuccessor: closes the journal of an owner, reads it, claims its slots and
// sets their successors.
#include "journalreply.h"

#include <godwit/base/rendezvous.h>
#include <godwit/requests/slotsuccessor.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::size_t ParallelReads = 8;

using Status = SlotStorageReply::Status;

} // namespace

void SlotSuccessor::startDueTakeover(TimePoint now, Output &out)
{
    if (!m_document)
        return;
    for (const auto &[journal, followed] : m_followed) {
        const auto due = takeoverTime(journal);
        if (!due || now < *due)
            continue;
        m_takeover = Takeover();
        m_takeover->journal = journal;
        m_takeover->writeNumber = followed.writeNumber;
        m_takeover->segmentNumber = followed.segmentNumber;
        if (journal.isStarted()) {
            readSegment(Purpose::CloseRead, journal, followed.segmentNumber, now, out);
        } else {
            m_takeover->stage = Stage::Claiming;
            readDocument(Purpose::ClaimRead, now, out);
        }
        return;
    }
}

void SlotSuccessor::handleCloseRead(const SlotStorageReply &reply, Instant at, Output &out)
{
    Takeover &takeover = *m_takeover;
    if (reply.status == Status::NotFound) {
        JournalSegment segment;
        segment.journal = takeover.journal;
        segment.number = takeover.segmentNumber;
        segment.oldestSegment =
                takeover.previous ? takeover.previous->oldestSegment : takeover.segmentNumber;
        segment.writeNumber = takeover.previous ? takeover.previous->writeNumber : 1;
        segment.unjournaledCount = takeover.previous ? takeover.previous->unjournaledCount : 0;
        segment.writtenAt = at.wall;
        writeClosedSegment(std::move(segment), Revision{0}, at.now, out);
        return;
    }
    if (reply.status != Status::Ok)
        return;
    FollowedJournal &followed = m_followed[takeover.journal];
    const auto segment = parseSegment(reply);
    if (!segment) {
        // The malformed segment is replaced. Its content is lost, so the journal has a gap, as with
        // keys that ran during an outage.
        JournalSegment replacement;
        replacement.journal = takeover.journal;
        replacement.number = takeover.segmentNumber;
        replacement.oldestSegment =
                takeover.previous ? takeover.previous->oldestSegment : takeover.segmentNumber;
        replacement.writeNumber = std::max<std::uint64_t>(followed.writeNumber, 1);
        replacement.unjournaledCount = 1;
        replacement.writtenAt = at.wall;
        writeClosedSegment(std::move(replacement), reply.revision, at.now, out);
    } else if (segment->closed) {
        handleJournalClosed(*segment, at.now, out);
    } else if (segment->writeNumber > takeover.writeNumber && !takeover.isCloseSent) {
        followed.writeNumber = std::max(followed.writeNumber, segment->writeNumber);
        followed.changedAt = at.now;
        m_takeover.reset();
    } else if (segment->sealed) {
        takeover.previous = *segment;
        ++takeover.segmentNumber;
        readSegment(Purpose::CloseRead, takeover.journal, takeover.segmentNumber, at.now, out);
    } else {
        writeClosedSegment(*segment, reply.revision, at.now, out);
    }
}

void SlotSuccessor::writeClosedSegment(JournalSegment segment, Revision expected, TimePoint now,
                                       Output &out)
{
    segment.closed = true;
    m_takeover->isCloseSent = true;
    call(Purpose::CloseWrite, SlotStorageCall::Kind::CompareAndSwap,
         m_takeover->journal.segmentKey(m_deployment, segment.number), now, out);
    out.actions.storage.back().expected = expected;
    out.actions.storage.back().value = toJsonText(segment);
    m_retryAt = now + m_settings.storageTimeout;
}

void SlotSuccessor::handleJournalClosed(const JournalSegment &last, TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    FollowedJournal &followed = m_followed[takeover.journal];
    followed.isClosed = true;
    const bool hasWatchedWrites =
            followed.baselineWrite && last.writeNumber >= *followed.baselineWrite + 2;
    const bool isCoveredByPromise =
            followed.promisedWrite && last.writeNumber <= *followed.promisedWrite;
    takeover.hasJournalGap = !hasWatchedWrites || isCoveredByPromise || last.unjournaledCount > 0;
    takeover.pastJournal = {takeover.journal, last.oldestSegment, last.number, last.writtenAt};
    takeover.stage = Stage::Reading;
    takeover.readJournals.insert(takeover.journal);
    for (std::uint64_t n = last.oldestSegment; n <= last.number; ++n)
        takeover.unreadSegments.emplace_back(takeover.journal, n);
    readNextSegments(now, out);
}

void SlotSuccessor::readNextSegments(TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    auto reading = std::count_if(m_pending.begin(), m_pending.end(), [](const auto &pending) {
        return pending.second.purpose == Purpose::Read;
    });
    for (const auto &unread : takeover.unreadSegments) {
        if (static_cast<std::size_t>(reading) >= ParallelReads)
            return;
        const bool isRequested =
                std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &item) {
                    const PendingCall &pending = item.second;
                    return pending.purpose == Purpose::Read && pending.journal == unread.first
                           && pending.number == unread.second;
                });
        if (isRequested)
            continue;
        readSegment(Purpose::Read, unread.first, unread.second, now, out);
        ++reading;
    }
    if (takeover.unreadSegments.empty()) {
        takeover.stage = Stage::Claiming;
        readDocument(Purpose::ClaimRead, now, out);
    }
}

void SlotSuccessor::handleSegmentRead(const PendingCall &pending, const SlotStorageReply &reply,
                                      TimePoint now, Output &out)
{
    if (reply.status == Status::Ok) {
        const auto segment = parseSegment(reply);
        // The content of a malformed segment is lost, so the journal has a gap, as with keys that
        // ran during an outage.
        if (segment)
            collectKeys(*segment);
        else
            m_takeover->hasJournalGap = true;
    } else if (reply.status != Status::NotFound) {
        return;
    }
    // A segment that does not exist was deleted after the retention time.
    std::erase(m_takeover->unreadSegments, std::pair(pending.journal, pending.number));
    readNextSegments(now, out);
}

void SlotSuccessor::collectKeys(const JournalSegment &segment)
{
    for (const IdempotencyKey &key : segment.keys)
        m_takeover->keys.emplace(key, false);
    for (const IdempotencyKey &key : segment.finishedKeys)
        m_takeover->keys[key] = true;
}

void SlotSuccessor::handleClaimRead(const SlotStorageReply &reply, Instant at, Output &out)
{
    if (reply.status != Status::Ok)
        return;
    updateDocument(reply, at.now);
    if (!m_document || reply.revision != m_documentRevision)
        return;
    if (m_takeover->isSuccessorUpdate) {
        updateSuccessors(at.now, out);
        return;
    }
    std::vector<std::size_t> slots;
    bool isClaimStored = false;
    for (std::size_t i = 0; i < m_document->slots.size(); ++i) {
        const SlotEntry &slot = m_document->slots[i];
        isClaimStored =
                isClaimStored || (slot.journal == ownJournal() && !m_claimedSlots.contains(i));
        if (slot.journal == m_takeover->journal && takeoverRank(slot))
            slots.push_back(i);
    }
    if (isClaimStored) {
        deleteExpired(at.now, out);
        finishClaim(out);
        return;
    }
    if (slots.empty()) {
        m_takeover.reset();
        return;
    }
    if (queuePastJournals(slots, at)) {
        m_takeover->stage = Stage::Reading;
        readNextSegments(at.now, out);
        return;
    }
    if (!m_takeover->candidate || m_candidateBaseRevision != reply.revision) {
        m_takeover->candidate = makeClaimDocument(slots, at);
        m_candidateBaseRevision = reply.revision;
    }
    writeCandidate(at.now, out);
}

void SlotSuccessor::writeCandidate(TimePoint now, Output &out)
{
    call(Purpose::ClaimWrite, SlotStorageCall::Kind::CompareAndSwap, slotDocumentKey(m_deployment),
         now, out);
    out.actions.storage.back().expected = m_candidateBaseRevision;
    out.actions.storage.back().value = toJsonText(*m_takeover->candidate);
    m_retryAt = now + m_settings.storageTimeout;
}

bool SlotSuccessor::needsSuccessorUpdate(std::size_t slot) const
{
    const SlotEntry &entry = m_document->slots[slot];
    if (entry.journal != ownJournal() || !m_claimedSlots.contains(slot))
        return false;
    const auto isRemoved = [&](const HostId &host) {
        return std::find(m_hosts.begin(), m_hosts.end(), host) == m_hosts.end();
    };
    return std::any_of(entry.successors.begin(), entry.successors.end(), isRemoved)
           || entry.successors.size() < successorsFor(slot).size();
}

void SlotSuccessor::startSuccessorUpdate(TimePoint now, Output &out)
{
    for (const std::size_t slot : m_claimedSlots) {
        if (!m_document || !needsSuccessorUpdate(slot))
            continue;
        m_takeover = Takeover();
        m_takeover->journal = ownJournal();
        m_takeover->stage = Stage::Claiming;
        m_takeover->isSuccessorUpdate = true;
        readDocument(Purpose::ClaimRead, now, out);
        return;
    }
}

/// Until it is known which write of the document took effect, the owner needs promises of both the
/// old and the new successors.
void SlotSuccessor::updateSuccessors(TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    SlotClaim change{ownJournal(), m_document->slots.size(), {}, {}};
    for (const std::size_t number : m_claimedSlots) {
        const SlotEntry &slot = m_document->slots[number];
        if (slot.journal == ownJournal())
            change.slots[number] = {slot.successors, slot.journalGapUntil};
    }
    const bool isPending = takeover.candidate && m_candidateBaseRevision == m_documentRevision;
    const bool isNeeded = std::any_of(m_claimedSlots.begin(), m_claimedSlots.end(),
                                      [&](std::size_t slot) { return needsSuccessorUpdate(slot); });
    if (!isPending && !isNeeded) {
        m_takeover.reset();
        out.claim = std::move(change);
        return;
    }
    if (!isPending) {
        takeover.candidate = *m_document;
        ++takeover.candidate->epoch;
        for (const std::size_t number : m_claimedSlots) {
            if (needsSuccessorUpdate(number))
                takeover.candidate->slots[number].successors = successorsFor(number);
        }
        m_candidateBaseRevision = m_documentRevision;
    }
    for (auto &[number, slot] : change.slots) {
        for (const HostId &host : takeover.candidate->slots[number].successors) {
            if (std::find(slot.successors.begin(), slot.successors.end(), host)
                == slot.successors.end())
                slot.successors.push_back(host);
        }
    }
    out.claim = std::move(change);
    writeCandidate(now, out);
}

void SlotSuccessor::deleteExpired(TimePoint now, Output &out)
{
    for (const auto &[journal, range] : m_takeover->expiredSegments) {
        for (std::uint64_t n = range.first; n <= range.second; ++n)
            call(Purpose::Delete, SlotStorageCall::Kind::Delete,
                 journal.segmentKey(m_deployment, n), now, out);
    }
}

bool SlotSuccessor::queuePastJournals(const std::vector<std::size_t> &slots, Instant at)
{
    for (const std::size_t number : slots) {
        for (const PastJournal &past : m_document->slots[number].pastJournals) {
            const bool expired = past.closedAt + retentionWithSkew() < at.wall;
            if (expired || !m_takeover->readJournals.insert(past.journal).second)
                continue;
            for (std::uint64_t n = past.firstSegment; n <= past.lastSegment; ++n)
                m_takeover->unreadSegments.emplace_back(past.journal, n);
        }
    }
    return !m_takeover->unreadSegments.empty();
}

SlotDocument SlotSuccessor::makeClaimDocument(const std::vector<std::size_t> &slots, Instant at)
{
    SlotDocument document = *m_document;
    ++document.epoch;
    for (const std::size_t number : slots) {
        SlotEntry &slot = document.slots[number];
        std::erase_if(slot.pastJournals, [&](const PastJournal &past) {
            const bool expired = past.closedAt + retentionWithSkew() < at.wall;
            if (expired)
                m_takeover->expiredSegments.insert(
                        {past.journal, {past.firstSegment, past.lastSegment}});
            return expired;
        });
        if (slot.journal.isStarted())
            slot.pastJournals.push_back(m_takeover->pastJournal);
        if (m_takeover->hasJournalGap)
            slot.journalGapUntil = at.wall + 2 * m_settings.maxClockSkew;
        else if (slot.journalGapUntil && *slot.journalGapUntil + retentionWithSkew() < at.wall)
            slot.journalGapUntil.reset();
        slot.journal = ownJournal();
        slot.epoch = document.epoch;
        slot.successors = successorsFor(number);
    }
    return document;
}

std::vector<HostId> SlotSuccessor::successorsFor(std::size_t slot) const
{
    std::vector<std::string> names;
    for (const HostId &host : m_hosts) {
        if (host != m_self)
            names.push_back(host.value());
    }
    std::vector<HostId> successors;
    for (const auto &name :
         rendezvousTop(m_deployment.value() + '#' + std::to_string(slot), names, 2))
        successors.emplace_back(name);
    return successors;
}

void SlotSuccessor::finishClaim(Output &out)
{
    SlotClaim claim;
    claim.journal = ownJournal();
    claim.slotCount = m_document->slots.size();
    for (std::size_t i = 0; i < m_document->slots.size(); ++i) {
        const SlotEntry &slot = m_document->slots[i];
        if (slot.journal == claim.journal && m_claimedSlots.insert(i).second)
            claim.slots[i] = {slot.successors, slot.journalGapUntil};
    }
    for (const auto &[key, ran] : m_takeover->keys) {
        if (claim.slots.contains(m_document->slotOf(key)))
            claim.keys.emplace(key, ran);
    }
    out.claim = std::move(claim);
    m_takeover.reset();
}

void SlotSuccessor::retryTakeover(TimePoint now, Output &out)
{
    const Takeover &takeover = *m_takeover;
    if (takeover.stage == Stage::Closing)
        readSegment(Purpose::CloseRead, takeover.journal, takeover.segmentNumber, now, out);
    else if (takeover.stage == Stage::Reading)
        readNextSegments(now, out);
    else
        readDocument(Purpose::ClaimRead, now, out);
    m_retryAt = now + m_settings.storageTimeout;
}

Duration SlotSuccessor::retentionWithSkew() const
{
    return m_settings.keyRetention + 2 * m_settings.maxClockSkew;
}

} // namespace godwit
