#pragma once

#include <godwit/requests/slotdocument.h>

#include <chrono>
#include <map>
#include <optional>
#include <utility>

namespace godwit {

/// Used by entry processes to find the host that probably owns the slot of a key. The result is
/// only a hint; the host that receives the request decides. A host that is unresponsive, or that
/// replied that it does not own the slot, is excluded for ExclusionPeriod and the successors are
/// tried in their order.
class SlotRouter
{
public:
    /// Shorter than the takeover of a failed owner, which takes about one lease. Asking a host too
    /// often costs only messages.
    static constexpr Duration ExclusionPeriod = std::chrono::seconds(1);

    /// Replaces the known document with \a document if the latter has a higher epoch.
    void update(const SlotDocument &document);

    /// Returns the host to send \a key to. Returns nothing if no document is known or all
    /// candidates are excluded, for example between the failure of an owner and the takeover.
    std::optional<HostId> selectHost(const IdempotencyKey &key, TimePoint now) const;

    /// Called when \a host did not answer within the heartbeat timeout.
    void markUnresponsive(const HostId &host, TimePoint now);

    /// Called when \a host replied SlotNotOwned for \a key.
    void markNotOwner(const HostId &host, const IdempotencyKey &key, TimePoint now);

    /// Called when a message from \a host arrived.
    void markResponsive(const HostId &host) { m_unresponsiveUntil.erase(host); }

private:
    bool isExcluded(const HostId &host, std::size_t slot, TimePoint now) const;

    std::optional<SlotDocument> m_document;
    std::map<HostId, TimePoint> m_unresponsiveUntil;
    std::map<std::pair<std::size_t, HostId>, TimePoint> m_notOwnerUntil;
};

} // namespace godwit
