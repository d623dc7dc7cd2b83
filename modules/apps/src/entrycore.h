#pragma once

#include "clusteragent.h"
#include "entryevents.h"
#include "operatorservice.h"
#include "subscriptionplan.h"

#include <godwit/control/placementrepair.h>
#include <godwit/observe/metricsregistry.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace godwit {

/// State of a host that is published to the traffic threads.
struct HostUpdate
{
    HostId host;
    Endpoint endpoint;
    ZoneId zone;
    bool usable = false;
    bool subscribed = false; ///< This process needs its reports.
    bool known = true;       ///< False if the host is to be removed.
};

/// Control state of an entry process. Used on the control thread only.
class EntryCore
{
public:
    struct Outputs
    {
        std::function<void(std::shared_ptr<const Configuration>)> publishConfiguration;
        std::function<void(std::vector<HostUpdate>)> publishHosts;
    };

    EntryCore(const DaemonSettings &settings, ControlIo &io, const RefusalLog &refusals,
              MetricsRegistry &metrics, Outputs outputs);

    void handle(TimerTick event);
    void handle(CallCompleted event) { event.continuation(); }
    void handle(GossipArrived event);
    void handle(ConfigurationPushArrived event);
    void handle(ConfigurationPullArrived event);
    void handle(HostReportArrived event);
    void handle(HostStreamEnded event);
    void handle(OperatorRequestArrived event);
    void handle(EnginesNeeded event);
    void handle(PoisonFound event);
    void handle(ShutdownRequested event);

private:
    void configurationChanged(const std::shared_ptr<const Configuration> &configuration);
    void publishHosts(TimePoint now);
    void updatePlan();
    void repair(TimePoint now);

    MetricsRegistry &m_metrics;
    ControlIo &m_io;
    Outputs m_outputs;
    ClusterAgent m_cluster;
    OperatorService m_operatorService;
    PlacementRepair m_repair;
    SubscriptionPlan m_plan;
    std::set<HostId> m_subscribed; ///< As last published.
    bool m_started = false;
    TimePoint m_nextHostPublish;
};

} // namespace godwit
