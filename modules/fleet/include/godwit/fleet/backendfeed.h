#pragma once

#include <godwit/fleet/fleetplatform.h>
#include <godwit/gateway/backendinstance.h>
#include <godwit/mirror/prefixmirror.h>
#include <godwit/settings/fleetsettings.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace godwit {

/// Watches the records of the backend servers that have registered in the platform's store.
///
/// Records expire during an outage of the store although their servers are running; the servers
/// register again soon after it. A record that is missing after an outage is therefore removed only
/// if it has not returned within ReregistrationGrace, counted from the first response after the
/// outage. It is removed earlier if it may be that of a server that leaves and must not be used any
/// more: within the drain limit if it was removed after the feed had caught up, and within the
/// reconnection period from the start of the last failed call. A single failed call does not count
/// as an outage, for the same reason. A record that is replaced by one that cannot be read is
/// removed at once.
///
/// A store that comes back from a copy lacks what the servers have written since; they write it
/// again within RewritePeriod. Records that are missing have the same time to return. A server that
/// was removed and is in the copy is not used until its record is written again, it has started
/// again, or CopiedRecordTimeout is over. An older record of a server that is known takes effect
/// only if it is still there at the end of the grace period. Independently of the store, a server
/// that drains does not become ready again until it has started again.
class BackendFeed
{
public:
    struct Handlers
    {
        /// A record was written at \a revision.
        std::function<void(const BackendRecord &, StoreRevision revision)> onRecord;
        std::function<void(const BackendId &)> onRemoved;
        /// All changes that one call to the store returned have been reported. May be empty.
        std::function<void()> onUpToDate = {};
    };

    /// Calls that fail for less than this do not count as an outage.
    static constexpr Duration MinOutageDuration = std::chrono::milliseconds(1000);
    /// Running servers register again within this time after an outage.
    static constexpr Duration ReregistrationGrace = std::chrono::milliseconds(2500);

    /// A server that was removed and whose record is still there this long after the store came
    /// back is running: the store removes records that are not renewed for some seconds.
    static constexpr Duration CopiedRecordTimeout = std::chrono::seconds(30);
    /// Time for which removed servers are remembered, far longer than a copy of the store is old.
    static constexpr Duration RemovalMemory = std::chrono::minutes(5);

    BackendFeed(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                const FleetBounds &bounds, Random random, Handlers handlers);

    void start() { m_mirror.start(); }

private:
    struct Removal
    {
        TimePoint at;
        bool draining = false; ///< The last record said so.
    };

    void handlePut(const KeyValueEntry &entry);
    /// Handles a record in the first list after the store came back from a copy.
    void handleCopiedPut(const BackendRecord &record, const KeyValueEntry &entry);
    void apply(BackendRecord record, StoreRevision revision);
    /// Applies \a record unless its key is written or removed within \a delay.
    void applyLater(const BackendRecord &record, StoreRevision revision, Duration delay);
    void handleRemoved(const std::string &key);
    void removeNow(const BackendId &id);
    void removeLater(const BackendId &id, Duration delay);
    void handleRestored();
    /// Remembers that the process of \a record was removed, and forgets those of long ago.
    void recordRemoval(const BackendRecord &record);
    void handleReachability(bool isReachable, const std::string &problem);
    /// End of the grace period for records that are missing after an outage that has just ended.
    TimePoint graceEnd() const;
    /// Time until a record that is missing now may be removed.
    Duration remainingGrace() const;

    const FleetPlatform &m_platform;
    Scheduler &m_scheduler;
    Duration m_maxRemovalDelay; ///< Of a record that is removed while the feed is up to date.
    Duration m_maxGrace;        ///< From the start of the last failed call of an outage.
    Handlers m_handlers;
    std::map<BackendId, BackendRecord> m_records;
    std::map<BackendId, std::unique_ptr<Timer>> m_pendingRemovals;
    /// Records from a copy that may be outdated.
    std::map<BackendId, std::unique_ptr<Timer>> m_pendingRecords;
    std::map<BackendInstance, Removal> m_removed; ///< Processes whose records were removed.
    std::optional<TimePoint> m_unreachableSince;  ///< No call has succeeded since then.
    std::optional<TimePoint> m_graceEnd;          ///< For records that expired in an outage.
    bool m_isReadingCopy = false; ///< The first list of a restored store is being reported.
    bool m_isUpToDate = false;    ///< All changes since the last failed call have been reported.
    PrefixMirror m_mirror;
};

} // namespace godwit
