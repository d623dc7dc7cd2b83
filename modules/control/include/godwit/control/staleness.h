#pragma once

#include <godwit/base/time.h>

#include <optional>

namespace godwit {

/// Actions that may depend on an up-to-date configuration or on the key-value service.
enum class ControlAction {
    Route,             ///< Send requests to backend servers.
    Drain,             ///< Stop new requests to a host that is leaving.
    ContinueTransfers, ///< Continue weight transfers that have already been ordered.
    OrderEngine,       ///< Send a new order to an engine; AuthorLease must allow it as well.
    RepairPlacement,   ///< Replace hosts of load orders.
    AcceptCommand,     ///< Accept commands from operators.
    TakeOverSlot,      ///< Become the owner of slots of another host.
};

/// How up to date the configuration of a process is.
struct Staleness
{
    /// Time since the key-value service last confirmed the document as the newest; empty if it has
    /// not done so since this process started.
    std::optional<Duration> age;
    /// The age exceeds the limit: the service is unavailable or this process is isolated.
    bool stale = false;
    bool behind = false;   ///< A newer revision is known to exist.
    bool isolated = false; ///< Stale, and most known members are not live.

    /// True if \a action is safe. Routing, drains and running transfers are always safe. Actions
    /// that need the key-value service are not safe while the document is stale. Engine orders are
    /// not safe for an isolated process, since its work may have been assigned to another process.
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
