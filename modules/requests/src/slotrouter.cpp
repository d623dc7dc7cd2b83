#include <godwit/requests/slotrouter.h>

namespace godwit {

void SlotRouter::update(const SlotDocument &document)
{
    if (document.slots.empty() || (m_document && document.epoch <= m_document->epoch))
        return;
    m_document = document;
    m_notOwnerUntil.clear();
}

std::optional<HostId> SlotRouter::selectHost(const IdempotencyKey &key, TimePoint now) const
{
    if (!m_document)
        return {};
    const std::size_t slotNumber = m_document->slotOf(key);
    const SlotEntry &slot = m_document->slots[slotNumber];
    if (!isExcluded(slot.journal.host, slotNumber, now))
        return slot.journal.host;
    for (const HostId &host : slot.successors) {
        if (!isExcluded(host, slotNumber, now))
            return host;
    }
    return {};
}

void SlotRouter::markUnresponsive(const HostId &host, TimePoint now)
{
    m_unresponsiveUntil[host] = now + ExclusionPeriod;
}

void SlotRouter::markNotOwner(const HostId &host, const IdempotencyKey &key, TimePoint now)
{
    if (m_document)
        m_notOwnerUntil[{m_document->slotOf(key), host}] = now + ExclusionPeriod;
}

bool SlotRouter::isExcluded(const HostId &host, std::size_t slot, TimePoint now) const
{
    const auto unresponsive = m_unresponsiveUntil.find(host);
    const auto notOwner = m_notOwnerUntil.find({slot, host});
    return (unresponsive != m_unresponsiveUntil.end() && now < unresponsive->second)
           || (notOwner != m_notOwnerUntil.end() && now < notOwner->second);
}

} // namespace godwit
