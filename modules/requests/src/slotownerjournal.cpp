// Journal part of SlotOwner. One write is in progress at a time, and each successful write also
// renews the lease.
#include <godwit/requests/slotowner.h>

#include <algorithm>

namespace godwit {

SlotActions SlotOwner::handleStorageReply(const SlotStorageReply &reply, Instant at)
{
    SlotActions actions;
    if (!m_write || !m_write->isInFlight || reply.id != m_write->call.id)
        return actions;
    m_write->isInFlight = false;
    using Status = SlotStorageReply::Status;
    switch (reply.status) {
    case Status::Ok:
        if (m_write->isReading)
            handleReadBack(reply);
        else
            handleCommit(reply.revision, m_write->sentAt);
        break;
    case Status::NotFound:
        m_isClosed = true;
        break;
    case Status::CompareFailed:
        m_write->isReading = true;
        m_nextWriteAt = at.now;
        break;
    case Status::Timeout:
    case Status::Unreachable:
    case Status::RateLimited:
        m_nextWriteAt = at.now + std::max(m_settings.commitInterval, m_settings.leaseDuration / 12);
        break;
    }
    if (m_isClosed)
        handleClosed(at.now, actions);
    else
        dispatchWaiting(at.now, actions);
    advanceWrites(at, actions);
    return actions;
}

void SlotOwner::prepareWrite(Instant at)
{
    Write write;
    const bool isNewSegment = !m_segment || m_segment->sealed;
    if (!isNewSegment) {
        write.segment = *m_segment;
    } else {
        write.segment.journal = m_journal;
        write.segment.number = m_segment ? m_segment->number + 1 : 0;
    }
    JournalSegment &segment = write.segment;
    segment.oldestSegment =
            m_sealedSegments.empty() ? segment.number : m_sealedSegments.front().first;
    segment.writeNumber = m_segment ? m_segment->writeNumber + 1 : 1;
    segment.writtenAt = at.wall;
    const std::size_t space =
            m_settings.maxSegmentEntries - segment.keys.size() - segment.finishedKeys.size();
    write.keyCount = std::min(space, m_keysToJournal.size());
    write.finishedCount = std::min(space - write.keyCount, m_finishedToJournal.size());
    segment.keys.insert(segment.keys.end(), m_keysToJournal.begin(),
                        m_keysToJournal.begin() + static_cast<std::ptrdiff_t>(write.keyCount));
    segment.finishedKeys.insert(segment.finishedKeys.end(), m_finishedToJournal.begin(),
                                m_finishedToJournal.begin()
                                        + static_cast<std::ptrdiff_t>(write.finishedCount));
    segment.sealed = write.keyCount + write.finishedCount == space;
    segment.unjournaledCount = m_unjournaledCount;
    for (std::size_t i = 0; i < write.keyCount; ++i) {
        if (m_keys[m_keysToJournal[i]].countedUnjournaled)
            --segment.unjournaledCount;
    }
    write.call.kind = SlotStorageCall::Kind::CompareAndSwap;
    write.call.key = m_journal.segmentKey(m_deployment, segment.number);
    write.call.expected = isNewSegment ? Revision{0} : m_revision;
    write.call.value = toJsonText(segment);
    write.firstSentAt = at.now;
    m_write = std::move(write);
    // When a successor sees a write later than the one named in the promise request, it assumes
    // that the journal contains all keys that ran on its promise. Promises must therefore not be
    // used for keys that are dispatched after this write.
    m_promises.clear();
}

void SlotOwner::sendWrite(TimePoint now, SlotActions &actions)
{
    Write &write = *m_write;
    write.call.id = m_nextCallId++;
    write.call.kind =
            write.isReading ? SlotStorageCall::Kind::Read : SlotStorageCall::Kind::CompareAndSwap;
    write.sentAt = now;
    write.isInFlight = true;
    m_nextWriteAt = now + m_settings.commitInterval;
    actions.storage.push_back(write.call);
}

void SlotOwner::advanceWrites(Instant at, SlotActions &actions)
{
    if (m_isClosed || m_slots.empty())
        return;
    if (m_write && m_write->isInFlight && at.now >= m_write->sentAt + m_settings.storageTimeout)
        m_write->isInFlight = false;
    if (at.now < m_nextWriteAt || (m_write && m_write->isInFlight))
        return;
    const bool isRenewalDue =
            !m_leaseStart || at.now >= *m_leaseStart + m_settings.leaseDuration / 3;
    if (!m_write && (!m_keysToJournal.empty() || isRenewalDue))
        prepareWrite(at);
    if (m_write)
        sendWrite(at.now, actions);
}

void SlotOwner::handleCommit(Revision revision, TimePoint sentAt)
{
    Write write = std::move(*m_write);
    m_write.reset();
    m_revision = revision;
    m_leaseStart = std::max(m_leaseStart.value_or(sentAt), sentAt);
    m_segment = std::move(write.segment);
    if (m_segment->sealed)
        m_sealedSegments.emplace_back(m_segment->number, m_segment->writtenAt);
    for (std::size_t i = 0; i < write.keyCount; ++i) {
        if (const auto it = m_keys.find(m_keysToJournal.front()); it != m_keys.end()) {
            it->second.isJournaled = true;
            if (std::exchange(it->second.countedUnjournaled, false))
                --m_unjournaledCount;
        }
        m_keysToJournal.pop_front();
    }
    m_finishedToJournal.erase(m_finishedToJournal.begin(),
                              m_finishedToJournal.begin()
                                      + static_cast<std::ptrdiff_t>(write.finishedCount));
}

void SlotOwner::handleReadBack(const SlotStorageReply &reply)
{
    // A write whose reply was lost is recognised by its content, which contains the id of this
    // journal and the write number.
    if (reply.value == m_write->call.value)
        handleCommit(reply.revision, m_write->firstSentAt);
    else
        m_isClosed = true;
}

void SlotOwner::deleteOldSegments(Instant at, SlotActions &actions)
{
    const Duration retention = m_settings.keyRetention + 2 * m_settings.maxClockSkew;
    // A newer segment must exist, because the newest one records which segments were deleted.
    while (m_segment && !m_sealedSegments.empty()
           && m_sealedSegments.front().first < m_segment->number
           && m_sealedSegments.front().second + retention < at.wall) {
        SlotStorageCall call;
        call.id = m_nextCallId++;
        call.kind = SlotStorageCall::Kind::Delete;
        call.key = m_journal.segmentKey(m_deployment, m_sealedSegments.front().first);
        actions.storage.push_back(std::move(call));
        m_sealedSegments.pop_front();
    }
}

} // namespace godwit
