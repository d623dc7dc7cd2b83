#pragma once

#include <godwit/requests/slotdocument.h>

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace godwit {

/// Entry side: finds the host that should own the slot of a key. The answer is only a hint; the
/// host that receives the request decides. A host that is silent, or that said that it does not own
/// the slot, is passed over for a while in favour of the successors, in their order.
class SlotRouter
{
public:
    /// A dead owner is replaced after about one lease; asking more often costs only messages.
    static constexpr Duration ExclusionPeriod = std::chrono::seconds(1);

    /// Takes \a document over unless a newer one is known.
    void update(const SlotDocument &document);

    /// Host to send \a key to, or nothing if no document is known or all candidates are passed
    /// over, as between the death of an owner and the takeover.
    std::optional<HostId> selectHost(const IdempotencyKey &key, TimePoint now) const;

    /// \a host did not answer within the heartbeat timeout.
    void markUnresponsive(const HostId &host, TimePoint now);

    /// \a host answered SlotNotOwned for \a key.
    void markNotOwner(const HostId &host, const IdempotencyKey &key, TimePoint now);

    /// A message from \a host arrived.
    void markResponsive(const HostId &host) { m_unresponsiveUntil.erase(host); }

private:
    bool isExcluded(const HostId &host, std::size_t slot, TimePoint now) const;

    std::optional<SlotDocument> m_document;
    std::map<HostId, TimePoint> m_unresponsiveUntil;
    std::map<std::pair<std::size_t, HostId>, TimePoint> m_notOwnerUntil;
};

} // namespace godwit
