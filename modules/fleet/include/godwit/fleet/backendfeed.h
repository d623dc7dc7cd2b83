#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/mirror/prefixmirror.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace godwit {

/// Keeps up with the backend servers that have registered in the platform's store.
///
/// Records expire while the store is away, although their servers live, and return soon after it.
/// A record that is missing after an outage is therefore removed only if it has not returned within
/// ReturnTime of the outage's end. A call that failed once is no outage: a server that leaves then
/// must be out of use at once.
class BackendFeed
{
public:
    struct Handlers
    {
        std::function<void(const BackendRecord &)> onRecord;
        std::function<void(const BackendId &)> onRemoved;
    };

    /// Failed calls over a shorter time are no outage.
    static constexpr Duration ShortestOutage = std::chrono::milliseconds(1000);
    /// Within this time after an outage, servers that live have registered again.
    static constexpr Duration ReturnTime = std::chrono::milliseconds(2500);

    BackendFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                Random random, Handlers handlers);

    void start() { m_mirror.start(); }

private:
    void put(const KeyValueEntry &entry);
    void removed(const std::string &key);
    void reachable(bool reachable, const std::string &problem);
    /// Time until a record that is missing now counts as removed.
    Duration returnTimeLeft() const;

    const FleetPlatform &m_platform;
    Scheduler &m_scheduler;
    Handlers m_handlers;
    std::map<BackendId, BackendRecord> m_records;
    std::map<BackendId, std::unique_ptr<Timer>> m_pending; ///< Removals that wait.
    std::optional<TimePoint> m_awaySince;                  ///< Since then no call has succeeded.
    std::optional<TimePoint> m_outageEnd;
    PrefixMirror m_mirror;
};

} // namespace godwit
