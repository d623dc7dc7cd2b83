#pragma once

#include "daemonbase.h"
#include "entrycore.h"
#include "entryshard.h"
#include "loadsubscriptions.h"

#include <godwit/apps/controlthread.h>
#include <godwit/wire/wireserver.h>

#include <memory>
#include <vector>

namespace godwit {

/// `godwitd` with the role entry.
class EntryDaemon : public DaemonBase
{
public:
    explicit EntryDaemon(DaemonSettings settings);
    ~EntryDaemon() override;

    Result<void> start() override;
    void beginShutdown() override;
    std::vector<std::string> inProgress() override;

private:
    using Control = ControlThread<EntryCore, TimerTick, CallCompleted, GossipArrived,
                                  ConfigurationPushArrived, ConfigurationPullArrived,
                                  HostReportArrived, HostStreamEnded, EnginesNeeded,
                                  OperatorRequestArrived, PoisonFound, ShutdownRequested>;

    void createShards();
    void accept(const std::shared_ptr<WireStream> &stream);
    void hostsChanged(const std::vector<HostUpdate> &hostUpdates);
    void onReport(HostReport report);
    std::unique_ptr<EntryCore> makeCore();

    RefusalLog m_refusals;
    std::unique_ptr<ControlIo> m_io;
    std::unique_ptr<WireServer> m_server;
    std::unique_ptr<LoadSubscriptions> m_loadSubscriptions; ///< Used on the io thread.
    std::vector<std::unique_ptr<EntryShard>> m_shards;
    std::unique_ptr<Control> m_control;
};

} // namespace godwit
