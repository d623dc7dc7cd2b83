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

void SlotSuccessor::ownJournalClosed()
{
    ++m_term;
    m_adopted.clear();
    // A claim for the closed journal must not be completed.
    if (m_takeover && m_takeover->stage == Stage::Claiming)
        m_takeover.reset();
}

PromiseAnswer SlotSuccessor::answer(const PromiseQuestion &question, TimePoint now)
{
    PromiseAnswer answer{question.id, m_self, false};
    const auto it = m_followed.find(question.journal);
    const bool taking = m_takeover && m_takeover->journal == question.journal;
    if (it == m_followed.end() || it->second.closed || taking || question.span > m_settings.promise)
        return answer;
    Followed &followed = it->second;
    followed.promisedUntil =
            std::max(followed.promisedUntil, now + question.span + m_settings.promiseMargin);
    followed.promisedAt = std::max(followed.promisedAt.value_or(0), question.beat);
    answer.granted = true;
    return answer;
}

SlotSuccessor::Output SlotSuccessor::tick(Instant at)
{
    Output out;
    std::erase_if(m_pending, [&](const auto &pending) {
        return pending.second.sentAt + m_settings.storageTimeout <= at.now;
    });
    if (at.now >= m_nextPollAt) {
        m_nextPollAt = at.now + m_settings.lease / 3;
        readDocument(Purpose::Document, at.now, out);
        for (const auto &[journal, followed] : m_followed) {
            if (journal.isStarted() && !followed.closed)
                read(Purpose::Follow, journal, followed.segment, at.now, out);
        }
    }
    if (!m_takeover)
        startDueTakeover(at.now, out);
    if (!m_takeover)
        startNaming(at.now, out);
    else if (at.now >= m_retryAt)
        retryTakeover(at.now, out);
    return out;
}

SlotSuccessor::Output SlotSuccessor::storageReply(const SlotStorageReply &reply, Instant at)
{
    Output out;
    const auto it = m_pending.find(reply.id);
    if (it == m_pending.end())
        return out;
    const Pending pending = it->second;
    m_pending.erase(it);
    handle(pending, reply, at, out);
    return out;
}

void SlotSuccessor::handle(const Pending &pending, const SlotStorageReply &reply, Instant at,
                           Output &out)
{
    switch (pending.purpose) {
    case Purpose::Document:
        if (reply.status == Status::NotFound)
            createDocument(at.now, out);
        else
            learnDocument(reply, at.now);
        break;
    case Purpose::Create:
    case Purpose::Delete:
        break;
    case Purpose::Follow:
        follow(pending, reply, at.now, out);
        break;
    case Purpose::CloseRead:
        if (m_takeover && m_takeover->stage == Stage::Closing)
            closeRead(reply, at, out);
        break;
    case Purpose::CloseWrite:
        // Whatever the reply says, the segment shows whether the journal is closed.
        if (m_takeover && m_takeover->stage == Stage::Closing
            && (reply.status == Status::Ok || reply.status == Status::CompareFailed))
            read(Purpose::CloseRead, m_takeover->journal, m_takeover->number, at.now, out);
        break;
    case Purpose::Read:
        if (m_takeover && m_takeover->stage == Stage::Reading)
            readSegment(pending, reply, at.now, out);
        break;
    case Purpose::ClaimRead:
        if (m_takeover && m_takeover->stage == Stage::Claiming)
            claim(reply, at, out);
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
    const std::uint64_t id = m_nextCall++;
    m_pending[id] = Pending{purpose, {}, 0, now};
    SlotStorageCall call;
    call.id = id;
    call.kind = kind;
    call.key = std::move(key);
    out.actions.storage.push_back(std::move(call));
    return id;
}

void SlotSuccessor::read(Purpose purpose, const JournalId &journal, std::uint64_t number,
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
            toJsonText(SlotDocument::initial(m_deployment, m_hosts, m_settings.slots));
}

void SlotSuccessor::learnDocument(const SlotStorageReply &reply, TimePoint now)
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
        if (!rank(slot))
            continue;
        current.insert(slot.journal);
        if (!m_followed.contains(slot.journal))
            m_followed[slot.journal].changedAt = now;
    }
    std::erase_if(m_followed, [&](const auto &item) {
        return !current.contains(item.first) && !(m_takeover && m_takeover->journal == item.first);
    });
}

void SlotSuccessor::follow(const Pending &pending, const SlotStorageReply &reply, TimePoint now,
                           Output &out)
{
    const auto it = m_followed.find(pending.journal);
    if (it == m_followed.end() || reply.status != Status::Ok)
        return;
    const auto segment = segmentIn(reply);
    Followed &followed = it->second;
    if (!segment || pending.number != followed.segment)
        return;
    if (segment->beat > followed.beat) {
        followed.beat = segment->beat;
        followed.changedAt = now;
    }
    if (!followed.baseline && now >= m_start + m_settings.promise + m_settings.promiseMargin)
        followed.baseline = segment->beat;
    followed.closed = segment->closed;
    if (segment->sealed && !segment->closed) {
        ++followed.segment;
        read(Purpose::Follow, pending.journal, followed.segment, now, out);
    }
}

/// Order in which this host may take the slot over, or nothing if it may not.
std::optional<unsigned> SlotSuccessor::rank(const SlotEntry &slot) const
{
    const bool isOwner = slot.journal.host == m_self;
    if (isOwner && !slot.journal.isStarted())
        return 0;
    // An earlier process of this host may still run on promises that the successors give to it, so
    // only the successors may take over from it.
    if (isOwner && slot.journal.process != m_process && slot.successors.empty())
        return 0;
    if (isOwner && slot.journal.process == m_process && slot.journal.term < m_term)
        return 2;
    const auto it = std::find(slot.successors.begin(), slot.successors.end(), m_self);
    if (it == slot.successors.end())
        return {};
    return static_cast<unsigned>(it - slot.successors.begin());
}

std::optional<TimePoint> SlotSuccessor::dueAt(const JournalId &journal) const
{
    std::optional<unsigned> best;
    for (const SlotEntry &slot : m_document->slots) {
        if (slot.journal != journal)
            continue;
        if (const auto mine = rank(slot); mine && (!best || *mine < *best))
            best = mine;
    }
    if (!best)
        return {};
    if (!journal.isStarted() && journal.host == m_self)
        return m_start;
    const Followed &followed = m_followed.at(journal);
    const Duration wait =
            (followed.closed ? Duration(0) : m_settings.lease) + *best * (m_settings.lease / 2);
    // A promise of an earlier process of this host may be in force.
    const TimePoint earliest = m_start + m_settings.promise + m_settings.promiseMargin;
    return std::max({followed.changedAt + wait, followed.promisedUntil, earliest});
}

} // namespace godwit
