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

/// Looks after load orders in one entry process: replaces lost hosts and advances version changes.
///
/// Each order is looked after by the live entry process with the highest rendezvous rank. Two
/// processes that both believe to be it are harmless: the second command finds the order changed
/// and is refused.
class PlacementRepair
{
public:
    struct Settings
    {
        /// Longer than a process restart and than most partitions; weights are expensive to move.
        Duration repairDelay = std::chrono::seconds(60);
        Duration retryDelay = std::chrono::seconds(30); ///< For the same host of the same order.
        Duration commandInterval =
                std::chrono::seconds(1); ///< Between two commands of this process.
        /// A step that has not finished by then counts its missing hosts as errors.
        Duration stepTimeout = std::chrono::minutes(15);
        /// With a larger share of its hosts lost at once an order is left alone: the view is wrong,
        /// or there is not enough left to move to.
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
    void onMembers(TimePoint now, std::vector<PlacementHost> entries,
                   const std::vector<PlacementHost> &hosts);

    /// All that \a host serves, and the loads that failed there lately.
    void onHostReport(const HostId &host, std::set<LoadedModel> serving,
                      std::set<LoadedModel> failed);

    /// Hosts whose onHostReport() this process needs: those of its version changes in progress.
    std::set<HostId> observedHosts() const;

    /// \a safe is Staleness::isSafe(RepairPlacement). At most one command per commandInterval.
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
    std::map<HostId, TimePoint> m_missingSince; ///< Hosts of orders that are not live.
    std::map<HostId, HostReport> m_reports;
    struct Step
    {
        std::uint32_t steppedHosts = 0;
        VersionId version;
        TimePoint since;
    };
    std::map<OperationId, Step> m_steps; ///< Current steps and when they were first seen.
    std::map<std::pair<OperationId, HostId>, TimePoint>
            m_retryAfter; ///< Not again before this time.
    TimePoint m_nextCommand;
    std::uint64_t m_commandCount = 0;
};

} // namespace godwit
