#include "journalreply.h"

#include <godwit/requests/slotsuccessor.h>

#include <algorithm>

namespace godwit {

namespace {

using Status = SlotStorageReply::Status;

} // namespace

SlotSuccessor::SlotSuccessor(DeploymentId deployment, HostId self, Incarnation process,
                             std::vector<HostId> hosts, SlotSettings settings, TimePoint start)
    : m_deployment(std::move(deployment))
    , m_self(std::move(self))
    , m_process(process)
    , m_hosts(std::move(hosts))
    , m_settings(settings)
    , m_start(start)
{}

void SlotSuccessor::handleOwnJournalClosed()
{
    ++m_term;
    m_claimedSlots.clear();
    // A claim in progress names the closed journal and must not be completed.
    if (m_takeover && m_takeover->stage == Stage::Claiming)
        m_takeover.reset();
}

PromiseReply SlotSuccessor::handlePromiseRequest(const PromiseRequest &request, TimePoint now)
{
    PromiseReply reply{request.id, m_self, false};
    const auto it = m_followed.find(request.journal);
    const bool isTakingOver = m_takeover && m_takeover->journal == request.journal;
    if (it == m_followed.end() || it->second.isClosed || isTakingOver
        || request.duration > m_settings.promiseDuration)
        return reply;
    FollowedJournal &followed = it->second;
    followed.promisedUntil =
            std::max(followed.promisedUntil, now + request.duration + m_settings.promiseMargin);
    followed.promisedWrite = std::max(followed.promisedWrite.value_or(0), request.writeNumber);
    reply.granted = true;
    return reply;
}

SlotSuccessor::Output SlotSuccessor::tick(Instant at)
{
    Output out;
    std::erase_if(m_pending, [&](const auto &pending) {
        return pending.second.sentAt + m_settings.storageTimeout <= at.now;
    });
    if (at.now >= m_nextPollAt) {
        m_nextPollAt = at.now + m_settings.leaseDuration / 3;
        readDocument(Purpose::Document, at.now, out);
        for (const auto &[journal, followed] : m_followed) {
            if (journal.isStarted() && !followed.isClosed)
                readSegment(Purpose::Follow, journal, followed.segmentNumber, at.now, out);
        }
    }
    if (!m_takeover)
        startDueTakeover(at.now, out);
    if (!m_takeover)
        startSuccessorUpdate(at.now, out);
    else if (at.now >= m_retryAt)
        retryTakeover(at.now, out);
    return out;
}

SlotSuccessor::Output SlotSuccessor::handleStorageReply(const SlotStorageReply &reply, Instant at)
{
    Output out;
    const auto it = m_pending.find(reply.id);
    if (it == m_pending.end())
        return out;
    const PendingCall pending = it->second;
    m_pending.erase(it);
    handleReply(pending, reply, at, out);
    return out;
}

void SlotSuccessor::handleReply(const PendingCall &pending, const SlotStorageReply &reply,
                                Instant at, Output &out)
{
    switch (pending.purpose) {
    case Purpose::Document:
        if (reply.status == Status::NotFound)
            createDocument(at.now, out);
        else
            updateDocument(reply, at.now);
        break;
    case Purpose::Create:
    case Purpose::Delete:
        break;
    case Purpose::Follow:
        handleFollowRead(pending, reply, at.now, out);
        break;
    case Purpose::CloseRead:
        if (m_takeover && m_takeover->stage == Stage::Closing)
            handleCloseRead(reply, at, out);
        break;
    case Purpose::CloseWrite:
        // The result of the write is not conclusive, so the segment is read back to see whether the
        // journal is closed.
        if (m_takeover && m_takeover->stage == Stage::Closing
            && (reply.status == Status::Ok || reply.status == Status::CompareFailed))
            readSegment(Purpose::CloseRead, m_takeover->journal, m_takeover->segmentNumber, at.now,
                        out);
        break;
    case Purpose::Read:
        if (m_takeover && m_takeover->stage == Stage::Reading)
            handleSegmentRead(pending, reply, at.now, out);
        break;
    case Purpose::ClaimRead:
        if (m_takeover && m_takeover->stage == Stage::Claiming)
            handleClaimRead(reply, at, out);
        break;
    case Purpose::ClaimWrite:
        if (m_takeover && m_takeover->stage == Stage::Claiming
            && (reply.status == Status::Ok || reply.status == Status::CompareFailed))
            readDocument(Purpose::ClaimRead, at.now, out);
        break;
    }
}

std::uint64_t SlotSuccessor::call(Purpose purpose, SlotStorageCall::Kind kind, std::string key,
                                  TimePoint now, Output &out)
{
    const std::uint64_t id = m_nextCallId++;
    m_pending[id] = PendingCall{purpose, {}, 0, now};
    SlotStorageCall call;
    call.id = id;
    call.kind = kind;
    call.key = std::move(key);
    out.actions.storage.push_back(std::move(call));
    return id;
}

void SlotSuccessor::readSegment(Purpose purpose, const JournalId &journal, std::uint64_t number,
                                TimePoint now, Output &out)
{
    const auto id = call(purpose, SlotStorageCall::Kind::Read,
                         journal.segmentKey(m_deployment, number), now, out);
    m_pending[id].journal = journal;
    m_pending[id].number = number;
    if (purpose != Purpose::Follow)
        m_retryAt = now + m_settings.storageTimeout;
}

void SlotSuccessor::readDocument(Purpose purpose, TimePoint now, Output &out)
{
    call(purpose, SlotStorageCall::Kind::Read, slotDocumentKey(m_deployment), now, out);
    if (purpose == Purpose::ClaimRead)
        m_retryAt = now + m_settings.storageTimeout;
}

void SlotSuccessor::createDocument(TimePoint now, Output &out)
{
    if (m_hosts.empty())
        return;
    call(Purpose::Create, SlotStorageCall::Kind::CompareAndSwap, slotDocumentKey(m_deployment), now,
         out);
    out.actions.storage.back().value =
            toJsonText(SlotDocument::initial(m_deployment, m_hosts, m_settings.slotCount));
}

void SlotSuccessor::updateDocument(const SlotStorageReply &reply, TimePoint now)
{
    if (reply.status != Status::Ok || reply.revision < m_documentRevision)
        return;
    auto outcome = capture([&] { return parseSlotDocument(reply.value); });
    if (!succeeded(outcome))
        return;
    m_document = std::move(std::get<0>(outcome));
    m_documentRevision = reply.revision;
    std::set<JournalId> current;
    for (const SlotEntry &slot : m_document->slots) {
        if (!takeoverRank(slot))
            continue;
        current.insert(slot.journal);
        if (!m_followed.contains(slot.journal))
            m_followed[slot.journal].changedAt = now;
    }
    std::erase_if(m_followed, [&](const auto &item) {
        return !current.contains(item.first) && !(m_takeover && m_takeover->journal == item.first);
    });
}

void SlotSuccessor::handleFollowRead(const PendingCall &pending, const SlotStorageReply &reply,
                                     TimePoint now, Output &out)
{
    const auto it = m_followed.find(pending.journal);
    if (it == m_followed.end() || reply.status != Status::Ok)
        return;
    const auto segment = parseSegment(reply);
    FollowedJournal &followed = it->second;
    if (!segment || pending.number != followed.segmentNumber)
        return;
    if (segment->writeNumber > followed.writeNumber) {
        followed.writeNumber = segment->writeNumber;
        followed.changedAt = now;
    }
    if (!followed.baselineWrite
        && now >= m_start + m_settings.promiseDuration + m_settings.promiseMargin)
        followed.baselineWrite = segment->writeNumber;
    followed.isClosed = segment->closed;
    if (segment->sealed && !segment->closed) {
        ++followed.segmentNumber;
        readSegment(Purpose::Follow, pending.journal, followed.segmentNumber, now, out);
    }
}

/// Returns the rank of this host in the order of takeover of \a slot, or nothing if this host may
/// not take it over.
std::optional<unsigned> SlotSuccessor::takeoverRank(const SlotEntry &slot) const
{
    const bool isOwner = slot.journal.host == m_self;
    if (isOwner && !slot.journal.isStarted())
        return 0;
    // An earlier process of this host may still be running on promises of the successors, so only
    // the successors may take over from it.
    if (isOwner && slot.journal.process != m_process && slot.successors.empty())
        return 0;
    if (isOwner && slot.journal.process == m_process && slot.journal.term < m_term)
        return 2;
    const auto it = std::find(slot.successors.begin(), slot.successors.end(), m_self);
    if (it == slot.successors.end())
        return {};
    return static_cast<unsigned>(it - slot.successors.begin());
}

std::optional<TimePoint> SlotSuccessor::takeoverTime(const JournalId &journal) const
{
    std::optional<unsigned> bestRank;
    for (const SlotEntry &slot : m_document->slots) {
        if (slot.journal != journal)
            continue;
        if (const auto ownRank = takeoverRank(slot); ownRank && (!bestRank || *ownRank < *bestRank))
            bestRank = ownRank;
    }
    if (!bestRank)
        return {};
    if (!journal.isStarted() && journal.host == m_self)
        return m_start;
    const FollowedJournal &followed = m_followed.at(journal);
    const Duration wait = (followed.isClosed ? Duration(0) : m_settings.leaseDuration)
                          + *bestRank * (m_settings.leaseDuration / 2);
    // A promise of an earlier process of this host may still be in force.
    const TimePoint earliest = m_start + m_settings.promiseDuration + m_settings.promiseMargin;
    return std::max({followed.changedAt + wait, followed.promisedUntil, earliest});
}

} // namespace godwit
