#pragma once

#include "enginegroup.h"
#include "hostreport.h"

#include <godwit/base/time.h>
#include <godwit/control/configuration.h>
#include <godwit/routing/subset.h>

#include <cstddef>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace godwit {

/// Selects the hosts whose `/load` reports an entry process subscribes to, so that the number of
/// subscriptions does not grow with the fleet:
///
/// - for each engine group, the hosts of a subset of its engines, selected by rendezvous hashing;
/// - for a limited time, extra hosts outside the subset if no known engine can run a request;
/// - all hosts of plain services, and slot owners and successors of at-most-once deployments;
/// - hosts whose loads this process supervises, see setSupervised();
/// - a limited number of hosts without a report, until the first report shows what runs there;
/// - a limited number of unusable hosts, until traffic from them is received again;
/// - all hosts for a short time after a query of an operator.
class SubscriptionPlan
{
public:
    struct Host
    {
        HostId id;
        Incarnation incarnation;
        bool usable = false;

        friend bool operator==(const Host &, const Host &) = default;
    };

    /// Extra hosts are kept for this time after the last request that needed them.
    static constexpr Duration ExtraHostsRetention = std::chrono::seconds(30);
    /// Allows the first reports of newly added hosts to arrive before further hosts are added.
    static constexpr Duration ExtraHostsInterval = std::chrono::milliseconds(500);
    /// Limit of the extra hosts per group. While no host has loaded the weights, all hosts are
    /// tried in turn; without a limit every entry process would subscribe to all of them.
    static constexpr std::size_t MaxExtraHosts = 16;
    /// Limit of the hosts whose first report is awaited at the same time.
    static constexpr std::size_t MaxDiscoveries = 16;
    /// A host that has not reported within this time is replaced by another one.
    static constexpr Duration DiscoveryTimeout = std::chrono::seconds(3);
    static constexpr Duration DiscoveryRetryInterval = std::chrono::seconds(10);
    /// Keeps the failure of one host from removing most engines of a subset of large hosts.
    static constexpr std::size_t MinHosts = 3;
    static constexpr Duration QuerySubscriptionPeriod = std::chrono::seconds(10);

    /// \a subsetSize is a number of engines.
    SubscriptionPlan(HostId self, std::size_t subsetSize);

    void setConfiguration(std::shared_ptr<const Configuration> configuration);
    void setHosts(std::vector<Host> hosts);

    /// Sets the entry processes that are alive.
    void setEntries(std::vector<HostId> entries);

    /// Sets the hosts that the placement repair of this process observes.
    void setSupervised(std::set<HostId> hosts);

    void onReport(const HostReport &report, TimePoint now);

    /// Adds extra hosts because no known engine can run a request of \a group.
    void onEnginesNeeded(const EngineGroup &group, TimePoint now);

    /// Subscribes to all hosts for a query of an operator.
    void onOperatorQuery(TimePoint now);

    /// True if all usable hosts have reported about the time of the last query or later.
    bool isComplete() const;

    /// Hosts whose reports are needed.
    const std::set<HostId> &subscriptions(TimePoint now);

private:
    /// Contents of the last report of a host.
    struct Inventory
    {
        Incarnation incarnation;
        TimePoint reportedAt;
        bool leaving = false;
        std::size_t engines = 0;
        std::set<DeploymentId> services;

        friend bool operator==(const Inventory &, const Inventory &) = default;
    };

    struct Group
    {
        std::set<HostId> candidates;
        std::set<HostId> added; ///< Hosts added to the subset.
        std::size_t size = 0;   ///< Number of hosts in the subset.
        std::unique_ptr<Subset> subset;
        std::size_t extraHosts = 0;     ///< Number of hosts outside the subset.
        std::size_t firstExtraHost = 0; ///< Rank of the first extra host.
        TimePoint extraHostsUntil;
        TimePoint nextExtraHosts;
    };

    void refresh(TimePoint now);
    void collectCandidates();
    void addGroup(Group &group);
    void addExtraHosts(const Group &group, const std::vector<BackendId> &members);
    void addServices();
    void addDiscoveries(TimePoint now);
    std::size_t subsetHostCount(const std::set<HostId> &candidates) const;
    bool isDiscovered(const Host &host) const;

    HostId m_self;
    std::size_t m_subsetSize;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<HostId, Host> m_hosts;
    std::vector<HostId> m_entries;
    std::set<HostId> m_supervised;
    std::map<HostId, Inventory> m_inventories;
    std::map<DeploymentId, std::set<HostId>> m_slotHosts; ///< Owners and successors.
    std::map<EngineGroup, Group> m_groups;
    std::map<HostId, TimePoint> m_discoveries; ///< Start time of each discovery.
    TimePoint m_lastQueryAt;
    TimePoint m_querySubscriptionEnd;
    std::set<HostId> m_subscriptions;
    bool m_dirty = true;
    TimePoint m_nextRefresh;
};

} // namespace godwit
