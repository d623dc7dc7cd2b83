#pragma once

#include "clusteragent.h"
#include "engineagent.h"
#include "hostevents.h"
#include "hostreport.h"
#include "weightsagent.h"

#include <godwit/control/authorlease.h>
#include <godwit/observe/metricsregistry.h>

#include <functional>
#include <memory>
#include <vector>

namespace godwit {

/// Control state of a host process. Used on the control thread only.
class HostCore
{
public:
    struct Outputs
    {
        /// The state of the backend servers has changed.
        std::function<void(HostReport)> publishReport;
        std::function<void(std::shared_ptr<const Configuration>)> publishConfiguration;
        std::function<void(std::map<HostId, Endpoint>)> publishPeers;
        std::function<void(PacedUpload)> serveUpload;
        std::function<void(UploadId, ResultCode)> refuseUpload;
        std::function<void(const Digest &)> cancelUploads;
    };

    HostCore(const DaemonSettings &settings, ControlIo &io, MetricsRegistry &metrics,
             Outputs outputs);

    void handle(TimerTick event);
    void handle(CallCompleted event) { event.continuation(); }
    void handle(GossipArrived event);
    void handle(ConfigurationPushArrived event);
    void handle(ConfigurationPullArrived event);
    void handle(HaveUpdateArrived event);
    void handle(ChunkRequestArrived event);
    void handle(UploadEnded event);
    void handle(ShutdownRequested event);

private:
    void configurationChanged(std::shared_ptr<const Configuration> configuration);
    void memberChanged(const Member &member, bool replaced);
    void setDesired();
    void run(const std::vector<LeaseAction> &actions);
    void execute(const ReadAuthor &action);
    void execute(const WriteAuthor &action);
    void createEngines();
    std::vector<Participant> participants(const std::vector<HostId> &hosts) const;
    void publishReport(TimePoint now);
    HostReport makeReport();
    void updateMetrics();

    const DaemonSettings &m_settings;
    ControlIo &m_io;
    MetricsRegistry &m_metrics;
    Outputs m_outputs;
    ClusterAgent m_cluster;
    AuthorLease m_lease;
    std::vector<std::unique_ptr<EngineAgent>> m_engines;
    std::unique_ptr<WeightsAgent> m_weights;
    std::shared_ptr<const Configuration> m_configuration;
    bool m_started = false;
    bool m_leaving = false;
    bool m_reportDue = true;
    TimePoint m_nextReport;
};

} // namespace godwit
