// Takeover of SlotSuccessor: closes the journal of an owner, reads it, claims its slots and names
// their successors.
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
        const auto due = dueAt(journal);
        if (!due || now < *due)
            continue;
        m_takeover = Takeover();
        m_takeover->journal = journal;
        m_takeover->beat = followed.beat;
        m_takeover->number = followed.segment;
        if (journal.isStarted()) {
            read(Purpose::CloseRead, journal, followed.segment, now, out);
        } else {
            m_takeover->stage = Stage::Claiming;
            readDocument(Purpose::ClaimRead, now, out);
        }
        return;
    }
}

void SlotSuccessor::closeRead(const SlotStorageReply &reply, Instant at, Output &out)
{
    Takeover &takeover = *m_takeover;
    if (reply.status == Status::NotFound) {
        JournalSegment segment;
        segment.journal = takeover.journal;
        segment.number = takeover.number;
        segment.first = takeover.previous ? takeover.previous->first : takeover.number;
        segment.beat = takeover.previous ? takeover.previous->beat : 1;
        segment.behind = takeover.previous ? takeover.previous->behind : 0;
        segment.writtenAt = at.wall;
        closeWrite(std::move(segment), Revision{0}, at.now, out);
        return;
    }
    if (reply.status != Status::Ok)
        return;
    Followed &followed = m_followed[takeover.journal];
    const auto segment = segmentIn(reply);
    if (!segment) {
        // The unreadable record is replaced. What it said is lost, like keys run in an outage.
        JournalSegment lost;
        lost.journal = takeover.journal;
        lost.number = takeover.number;
        lost.first = takeover.previous ? takeover.previous->first : takeover.number;
        lost.beat = std::max<std::uint64_t>(followed.beat, 1);
        lost.behind = 1;
        lost.writtenAt = at.wall;
        closeWrite(std::move(lost), reply.revision, at.now, out);
    } else if (segment->closed) {
        closed(*segment, at.now, out);
    } else if (segment->beat > takeover.beat && !takeover.sentClose) {
        followed.beat = std::max(followed.beat, segment->beat);
        followed.changedAt = at.now;
        m_takeover.reset();
    } else if (segment->sealed) {
        takeover.previous = *segment;
        ++takeover.number;
        read(Purpose::CloseRead, takeover.journal, takeover.number, at.now, out);
    } else {
        closeWrite(*segment, reply.revision, at.now, out);
    }
}

void SlotSuccessor::closeWrite(JournalSegment segment, Revision expected, TimePoint now,
                               Output &out)
{
    segment.closed = true;
    m_takeover->sentClose = true;
    call(Purpose::CloseWrite, SlotStorageCall::Kind::CompareAndSwap,
         m_takeover->journal.segmentKey(m_deployment, segment.number), now, out);
    out.actions.storage.back().expected = expected;
    out.actions.storage.back().value = toJsonText(segment);
    m_retryAt = now + m_settings.storageTimeout;
}

void SlotSuccessor::closed(const JournalSegment &last, TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    Followed &followed = m_followed[takeover.journal];
    followed.closed = true;
    const bool watched = followed.baseline && last.beat >= *followed.baseline + 2;
    const bool promised = followed.promisedAt && last.beat <= *followed.promisedAt;
    takeover.gap = !watched || promised || last.behind > 0;
    takeover.past = {takeover.journal, last.first, last.number, last.writtenAt};
    takeover.stage = Stage::Reading;
    takeover.read.insert(takeover.journal);
    for (std::uint64_t n = last.first; n <= last.number; ++n)
        takeover.unread.emplace_back(takeover.journal, n);
    readMore(now, out);
}

void SlotSuccessor::readMore(TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    auto reading = std::count_if(m_pending.begin(), m_pending.end(), [](const auto &pending) {
        return pending.second.purpose == Purpose::Read;
    });
    for (const auto &unread : takeover.unread) {
        if (static_cast<std::size_t>(reading) >= ParallelReads)
            return;
        const bool asked = std::any_of(m_pending.begin(), m_pending.end(), [&](const auto &item) {
            const Pending &pending = item.second;
            return pending.purpose == Purpose::Read && pending.journal == unread.first
                   && pending.number == unread.second;
        });
        if (asked)
            continue;
        read(Purpose::Read, unread.first, unread.second, now, out);
        ++reading;
    }
    if (takeover.unread.empty()) {
        takeover.stage = Stage::Claiming;
        readDocument(Purpose::ClaimRead, now, out);
    }
}

void SlotSuccessor::readSegment(const Pending &pending, const SlotStorageReply &reply,
                                TimePoint now, Output &out)
{
    if (reply.status == Status::Ok) {
        const auto segment = segmentIn(reply);
        // What an unreadable segment said is lost, like keys that were run during an outage.
        if (segment)
            collect(*segment);
        else
            m_takeover->gap = true;
    } else if (reply.status != Status::NotFound) {
        return;
    }
    // A segment that does not exist has been deleted after the retention time.
    std::erase(m_takeover->unread, std::pair(pending.journal, pending.number));
    readMore(now, out);
}

void SlotSuccessor::collect(const JournalSegment &segment)
{
    for (const IdempotencyKey &key : segment.keys)
        m_takeover->keys.emplace(key, false);
    for (const IdempotencyKey &key : segment.finished)
        m_takeover->keys[key] = true;
}

void SlotSuccessor::claim(const SlotStorageReply &reply, Instant at, Output &out)
{
    if (reply.status != Status::Ok)
        return;
    learnDocument(reply, at.now);
    if (!m_document || reply.revision != m_documentRevision)
        return;
    if (m_takeover->isNaming) {
        nameSuccessors(at.now, out);
        return;
    }
    std::vector<std::size_t> slots;
    bool isDone = false;
    for (std::size_t i = 0; i < m_document->slots.size(); ++i) {
        const SlotEntry &slot = m_document->slots[i];
        isDone = isDone || (slot.journal == ownJournal() && !m_adopted.contains(i));
        if (slot.journal == m_takeover->journal && rank(slot))
            slots.push_back(i);
    }
    if (isDone) {
        deleteExpired(at.now, out);
        finishClaim(out);
        return;
    }
    if (slots.empty()) {
        m_takeover.reset();
        return;
    }
    if (needsPastJournals(slots, at)) {
        m_takeover->stage = Stage::Reading;
        readMore(at.now, out);
        return;
    }
    if (!m_takeover->candidate || m_candidateBase != reply.revision) {
        m_takeover->candidate = claimedDocument(slots, at);
        m_candidateBase = reply.revision;
    }
    sendCandidate(at.now, out);
}

void SlotSuccessor::sendCandidate(TimePoint now, Output &out)
{
    call(Purpose::ClaimWrite, SlotStorageCall::Kind::CompareAndSwap, slotDocumentKey(m_deployment),
         now, out);
    out.actions.storage.back().expected = m_candidateBase;
    out.actions.storage.back().value = toJsonText(*m_takeover->candidate);
    m_retryAt = now + m_settings.storageTimeout;
}

bool SlotSuccessor::needsNaming(std::size_t slot) const
{
    const SlotEntry &entry = m_document->slots[slot];
    if (entry.journal != ownJournal() || !m_adopted.contains(slot))
        return false;
    const auto isGone = [&](const HostId &host) {
        return std::find(m_hosts.begin(), m_hosts.end(), host) == m_hosts.end();
    };
    return std::any_of(entry.successors.begin(), entry.successors.end(), isGone)
           || entry.successors.size() < successorsFor(slot).size();
}

void SlotSuccessor::startNaming(TimePoint now, Output &out)
{
    for (const std::size_t slot : m_adopted) {
        if (!m_document || !needsNaming(slot))
            continue;
        m_takeover = Takeover();
        m_takeover->journal = ownJournal();
        m_takeover->stage = Stage::Claiming;
        m_takeover->isNaming = true;
        readDocument(Purpose::ClaimRead, now, out);
        return;
    }
}

/// Until it is known which write of the document took effect, the owner needs the promises of the
/// old and of the new successors.
void SlotSuccessor::nameSuccessors(TimePoint now, Output &out)
{
    Takeover &takeover = *m_takeover;
    SlotClaim change{ownJournal(), m_document->slots.size(), {}, {}};
    for (const std::size_t number : m_adopted) {
        const SlotEntry &slot = m_document->slots[number];
        if (slot.journal == ownJournal())
            change.slots[number] = {slot.successors, slot.gapBefore};
    }
    const bool isPending = takeover.candidate && m_candidateBase == m_documentRevision;
    const bool isNeeded = std::any_of(m_adopted.begin(), m_adopted.end(),
                                      [&](std::size_t slot) { return needsNaming(slot); });
    if (!isPending && !isNeeded) {
        m_takeover.reset();
        out.claim = std::move(change);
        return;
    }
    if (!isPending) {
        takeover.candidate = *m_document;
        ++takeover.candidate->epoch;
        for (const std::size_t number : m_adopted) {
            if (needsNaming(number))
                takeover.candidate->slots[number].successors = successorsFor(number);
        }
        m_candidateBase = m_documentRevision;
    }
    for (auto &[number, slot] : change.slots) {
        for (const HostId &host : takeover.candidate->slots[number].successors) {
            if (std::find(slot.successors.begin(), slot.successors.end(), host)
                == slot.successors.end())
                slot.successors.push_back(host);
        }
    }
    out.claim = std::move(change);
    sendCandidate(now, out);
}

void SlotSuccessor::deleteExpired(TimePoint now, Output &out)
{
    for (const auto &[journal, range] : m_takeover->expired) {
        for (std::uint64_t n = range.first; n <= range.second; ++n)
            call(Purpose::Delete, SlotStorageCall::Kind::Delete,
                 journal.segmentKey(m_deployment, n), now, out);
    }
}

bool SlotSuccessor::needsPastJournals(const std::vector<std::size_t> &slots, Instant at)
{
    for (const std::size_t number : slots) {
        for (const PastJournal &past : m_document->slots[number].past) {
            const bool expired = past.closedAt + remembered() < at.wall;
            if (expired || !m_takeover->read.insert(past.journal).second)
                continue;
            for (std::uint64_t n = past.first; n <= past.last; ++n)
                m_takeover->unread.emplace_back(past.journal, n);
        }
    }
    return !m_takeover->unread.empty();
}

SlotDocument SlotSuccessor::claimedDocument(const std::vector<std::size_t> &slots, Instant at)
{
    SlotDocument document = *m_document;
    ++document.epoch;
    for (const std::size_t number : slots) {
        SlotEntry &slot = document.slots[number];
        std::erase_if(slot.past, [&](const PastJournal &past) {
            const bool expired = past.closedAt + remembered() < at.wall;
            if (expired)
                m_takeover->expired.insert({past.journal, {past.first, past.last}});
            return expired;
        });
        if (slot.journal.isStarted())
            slot.past.push_back(m_takeover->past);
        if (m_takeover->gap)
            slot.gapBefore = at.wall + 2 * m_settings.clockSkew;
        else if (slot.gapBefore && *slot.gapBefore + remembered() < at.wall)
            slot.gapBefore.reset();
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
        if (slot.journal == claim.journal && m_adopted.insert(i).second)
            claim.slots[i] = {slot.successors, slot.gapBefore};
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
        read(Purpose::CloseRead, takeover.journal, takeover.number, now, out);
    else if (takeover.stage == Stage::Reading)
        readMore(now, out);
    else
        readDocument(Purpose::ClaimRead, now, out);
    m_retryAt = now + m_settings.storageTimeout;
}

Duration SlotSuccessor::remembered() const
{
    return m_settings.retention + 2 * m_settings.clockSkew;
}

} // namespace godwit
