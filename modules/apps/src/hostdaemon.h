#pragma once

#include "daemonbase.h"
#include "hostcore.h"
#include "runservice.h"
#include <godwit/weights/uploadsender.h>

#include <godwit/apps/controlthread.h>
#include <godwit/wire/wireserver.h>

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace godwit {

/// `godwitd` with the role host.
class HostDaemon : public DaemonBase
{
public:
    explicit HostDaemon(DaemonSettings settings);
    ~HostDaemon() override;

    Result<void> start() override;
    void beginShutdown() override;
    std::vector<std::string> inProgress() override;

private:
    using Control =
            ControlThread<HostCore, TimerTick, CallCompleted, GossipArrived,
                          ConfigurationPushArrived, ConfigurationPullArrived, HaveUpdateArrived,
                          ChunkRequestArrived, UploadEnded, ShutdownRequested>;

    void accept(const std::shared_ptr<WireStream> &stream);
    void acceptChunkRequest(const std::shared_ptr<WireStream> &stream);
    void acceptHaveUpdate(const std::shared_ptr<WireStream> &stream);
    void subscribe(const std::shared_ptr<WireStream> &stream);
    void publishReport(HostReport report);
    void sendReport(WireStream &stream);
    void handlePromiseRequest(const std::shared_ptr<WireStream> &stream);
    SlotService::Environment slotEnvironment();
    void callStorage(const SlotStorageCall &call,
                     const std::function<void(SlotStorageReply)> &done);
    void createRunService();
    void tickSlotService();
    void serveUpload(PacedUpload upload);
    void refuseUpload(UploadId upload, ResultCode code);
    void cancelUploads(const Digest &transfer);
    void uploadEnded(UploadId upload, bool isDelivered);
    void sendUploads();
    void startUploadTimer();
    std::unique_ptr<HostCore> makeCore();

    std::unique_ptr<ControlIo> m_io;
    std::unique_ptr<IoThread> m_trafficThread;
    // The following are used only on the traffic thread.
    std::unique_ptr<RunService> m_runService;
    std::unique_ptr<WireServer> m_server;
    std::set<std::shared_ptr<WireStream>> m_subscribers;
    HostReport m_report;
    std::map<UploadId, std::shared_ptr<WireStream>> m_uploads;
    UploadId m_nextUpload = 1;
    UploadSender m_uploadSender;
    std::unique_ptr<boost::asio::steady_timer> m_uploadTimer;
    std::optional<TimePoint> m_uploadDue; ///< Expiry of the timer, if it is running.
    std::map<HostId, Endpoint> m_peers;
    std::unique_ptr<PeerPool> m_peerPool;
    std::unique_ptr<boost::asio::steady_timer> m_slotTimer;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<DeploymentId, SlotDocument> m_reportedSlots; ///< Documents in the last full report.
    TimePoint m_nextSlotReport;
    std::unique_ptr<Control> m_control;
};

} // namespace godwit
