// Journal of SlotOwner: one write at a time, which renews the lease as well.
#include <godwit/requests/slotowner.h>

#include <algorithm>

namespace godwit {

SlotActions SlotOwner::storageReply(const SlotStorageReply &reply, Instant at)
{
    SlotActions actions;
    if (!m_write || !m_write->inFlight || reply.id != m_write->call.id)
        return actions;
    m_write->inFlight = false;
    using Status = SlotStorageReply::Status;
    switch (reply.status) {
    case Status::Ok:
        if (m_write->isReading)
            compared(reply);
        else
            committed(reply.revision, m_write->sentAt);
        break;
    case Status::NotFound:
        m_closed = true;
        break;
    case Status::CompareFailed:
        m_write->isReading = true;
        m_nextWriteAt = at.now;
        break;
    case Status::Timeout:
    case Status::Unreachable:
    case Status::RateLimited:
        m_nextWriteAt = at.now + std::max(m_settings.commitInterval, m_settings.lease / 12);
        break;
    }
    if (m_closed)
        close(at.now, actions);
    else
        pump(at.now, actions);
    driveWrites(at, actions);
    return actions;
}

void SlotOwner::startWrite(Instant at)
{
    Write write;
    const bool fresh = !m_segment || m_segment->sealed;
    if (!fresh) {
        write.segment = *m_segment;
    } else {
        write.segment.journal = m_journal;
        write.segment.number = m_segment ? m_segment->number + 1 : 0;
    }
    JournalSegment &segment = write.segment;
    segment.first = m_sealed.empty() ? segment.number : m_sealed.front().first;
    segment.beat = m_segment ? m_segment->beat + 1 : 1;
    segment.writtenAt = at.wall;
    const std::size_t space =
            m_settings.segmentEntries - segment.keys.size() - segment.finished.size();
    write.keys = std::min(space, m_queue.size());
    write.finished = std::min(space - write.keys, m_finished.size());
    segment.keys.insert(segment.keys.end(), m_queue.begin(),
                        m_queue.begin() + static_cast<std::ptrdiff_t>(write.keys));
    segment.finished.insert(segment.finished.end(), m_finished.begin(),
                            m_finished.begin() + static_cast<std::ptrdiff_t>(write.finished));
    segment.sealed = write.keys + write.finished == space;
    segment.behind = m_behind;
    for (std::size_t i = 0; i < write.keys; ++i) {
        if (m_keys[m_queue[i]].countedBehind)
            --segment.behind;
    }
    write.call.kind = SlotStorageCall::Kind::CompareAndSwap;
    write.call.key = m_journal.segmentKey(m_deployment, segment.number);
    write.call.expected = fresh ? Revision{0} : m_revision;
    write.call.value = toJsonText(segment);
    write.firstSentAt = at.now;
    m_write = std::move(write);
    // A successor takes a write after the one named in the question as a sign that all keys which
    // ran on its promise are in the journal, so the promise must not be used for later keys.
    m_promises.clear();
}

void SlotOwner::send(TimePoint now, SlotActions &actions)
{
    Write &write = *m_write;
    write.call.id = m_nextCall++;
    write.call.kind =
            write.isReading ? SlotStorageCall::Kind::Read : SlotStorageCall::Kind::CompareAndSwap;
    write.sentAt = now;
    write.inFlight = true;
    m_nextWriteAt = now + m_settings.commitInterval;
    actions.storage.push_back(write.call);
}

void SlotOwner::driveWrites(Instant at, SlotActions &actions)
{
    if (m_closed || m_slots.empty())
        return;
    if (m_write && m_write->inFlight && at.now >= m_write->sentAt + m_settings.storageTimeout)
        m_write->inFlight = false;
    if (at.now < m_nextWriteAt || (m_write && m_write->inFlight))
        return;
    const bool beatDue = !m_leaseStart || at.now >= *m_leaseStart + m_settings.lease / 3;
    if (!m_write && (!m_queue.empty() || beatDue))
        startWrite(at);
    if (m_write)
        send(at.now, actions);
}

void SlotOwner::committed(Revision revision, TimePoint since)
{
    Write write = std::move(*m_write);
    m_write.reset();
    m_revision = revision;
    m_leaseStart = std::max(m_leaseStart.value_or(since), since);
    m_segment = std::move(write.segment);
    if (m_segment->sealed)
        m_sealed.emplace_back(m_segment->number, m_segment->writtenAt);
    for (std::size_t i = 0; i < write.keys; ++i) {
        if (const auto it = m_keys.find(m_queue.front()); it != m_keys.end()) {
            it->second.journaled = true;
            if (std::exchange(it->second.countedBehind, false))
                --m_behind;
        }
        m_queue.pop_front();
    }
    m_finished.erase(m_finished.begin(),
                     m_finished.begin() + static_cast<std::ptrdiff_t>(write.finished));
}

void SlotOwner::compared(const SlotStorageReply &reply)
{
    // The write whose reply was lost is recognised by its content, which names the journal of this
    // process and the number of the write.
    if (reply.value == m_write->call.value)
        committed(reply.revision, m_write->firstSentAt);
    else
        m_closed = true;
}

void SlotOwner::deleteOldSegments(Instant at, SlotActions &actions)
{
    const Duration kept = m_settings.retention + 2 * m_settings.clockSkew;
    // A newer segment must exist, because the newest one says which are deleted.
    while (m_segment && !m_sealed.empty() && m_sealed.front().first < m_segment->number
           && m_sealed.front().second + kept < at.wall) {
        SlotStorageCall call;
        call.id = m_nextCall++;
        call.kind = SlotStorageCall::Kind::Delete;
        call.key = m_journal.segmentKey(m_deployment, m_sealed.front().first);
        actions.storage.push_back(std::move(call));
        m_sealed.pop_front();
    }
}

} // namespace godwit
