#pragma once

#include <godwit/base/time.h>

#include <optional>

namespace godwit {

/// Actions that depend on a current configuration or on the key-value service.
enum class ControlAction {
    Route,             ///< Send requests to backend servers.
    Drain,             ///< Stop new work on a host that leaves.
    ContinueTransfers, ///< Go on with weight transfers that have been ordered.
    OrderEngine,       ///< Send a new order to an engine; the lease has its own rules as well.
    RepairPlacement,   ///< Replace hosts of load orders.
    AcceptCommand,     ///< Take commands of operators.
    TakeOverSlot,      ///< Become the owner of slots of another host.
};

/// How far the configuration of a process can be trusted.
struct Staleness
{
    /// Time since the key-value service last proved the document to be the newest; none if it never
    /// did since this process started.
    std::optional<Duration> age;
    bool stale = false;    ///< The age exceeds the limit: the service is away or we are cut off.
    bool behind = false;   ///< A newer revision is known to exist.
    bool isolated = false; ///< Stale, and most known members do not answer either.

    /// True if \a action is safe. Routing, drains and running transfers always are; whatever needs
    /// the key-value service is not while the document is stale; engine orders are not safe for a
    /// process that is cut off, since another process may have been given its work.
    bool isSafe(ControlAction action) const
    {
        switch (action) {
        case ControlAction::Route:
        case ControlAction::Drain:
        case ControlAction::ContinueTransfers:
            return true;
        case ControlAction::OrderEngine:
            return !isolated;
        case ControlAction::AcceptCommand:
            return !stale;
        default:
            return !stale && !behind;
        }
    }
};

} // namespace godwit
