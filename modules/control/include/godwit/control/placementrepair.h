#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/command.h>
#include <godwit/control/loadedmodel.h>
#include <godwit/control/placementhost.h>

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace godwit {

/// Maintains load orders in one entry process: replaces lost hosts and advances version changes.
///
/// The live entry process with the highest rendezvous rank is responsible for an order. If two
/// processes both consider themselves responsible, the second command finds that the order has
/// changed and is refused.
class PlacementRepair
{
public:
    struct Settings
    {
        /// Longer than a process restart and than most partitions, because moving weights is
        /// expensive.
        Duration repairDelay = std::chrono::seconds(60);
        /// Time between two repairs of the same host in the same order.
        Duration retryDelay = std::chrono::seconds(30);
        /// Minimum time between two commands of this process.
        Duration commandInterval = std::chrono::seconds(1);
        /// After this time the hosts that have not finished the step count as errors.
        Duration stepTimeout = std::chrono::minutes(15);
        /// An order that has lost a larger share of its hosts is not repaired: either the member
        /// table is wrong, or too few hosts are left to take the load.
        double maxLostShare = 0.5;
    };

    /// A command to submit through ConfigurationWriter.
    struct Submission
    {
        OperationId operation;
        Command command;
    };

    PlacementRepair(HostId self, Settings settings, Random random);

    void onConfiguration(TimePoint now, std::shared_ptr<const Configuration> configuration);
    void onMembers(TimePoint now, std::vector<HostLocation> entries,
                   const std::vector<HostLocation> &hosts);

    /// Reports what \a host serves and which loads failed there recently.
    void onHostReport(const HostId &host, std::set<LoadedModel> serving,
                      std::set<LoadedModel> failed);

    /// Hosts whose reports this process needs: those of the version changes it is responsible for.
    std::set<HostId> observedHosts() const;

    /// \a safe is the result of Staleness::isSafe(ControlAction::RepairPlacement). Returns at most
    /// one command per Settings::commandInterval.
    std::vector<Submission> onTimer(TimePoint now, bool safe);

private:
    struct HostReport
    {
        std::set<LoadedModel> serving;
        std::set<LoadedModel> failed;
    };

    bool isResponsibleFor(const OperationId &order) const;
    bool isLost(TimePoint now, const HostId &host) const;
    std::vector<Submission> repair(TimePoint now, const OperationId &id, const LoadOrder &order);
    std::vector<Submission> step(TimePoint now, const OperationId &id, const LoadOrder &order);
    Submission submit(TimePoint now, Command command);

    HostId m_self;
    Settings m_settings;
    Random m_random;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<std::string> m_entryProcesses;
    std::set<HostId> m_liveHosts;
    /// Hosts of orders that are not live, and since when.
    std::map<HostId, TimePoint> m_missingSince;
    std::map<HostId, HostReport> m_reports;
    struct Step
    {
        std::uint32_t steppedHosts = 0;
        VersionId version;
        TimePoint since;
    };
    /// Current step of each version change and when it was first seen.
    std::map<OperationId, Step> m_steps;
    /// Time before which a host of an order is not repaired again.
    std::map<std::pair<OperationId, HostId>, TimePoint> m_retryAfter;
    TimePoint m_nextCommand;
    std::uint64_t m_commandCount = 0;
};

} // namespace godwit
