#pragma once

#include "controlio.h"
#include "engineagent.h"
#include <godwit/weights/uploadsender.h>

#include <godwit/control/configuration.h>
#include <godwit/weights/transferplanner.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace godwit {

/// Manages the weight transfers of this host: carries out the actions of the TransferPlanner and
/// delivers chunks to the engines that load them. Used only on the control thread.
class WeightsAgent
{
public:
    struct Environment
    {
        std::function<std::optional<Endpoint>(const HostId &)> endpointOf;
        /// Known hosts of an order with their zone and region.
        std::function<std::vector<Participant>(const std::vector<HostId> &)> participants;
        std::function<std::vector<EngineAgent *>()> engines;
        /// Sends the bytes of a chunk that a peer requested.
        std::function<void(PacedUpload)> serveUpload;
        /// Refuses a chunk request of a peer.
        std::function<void(UploadId, ResultCode)> refuseUpload;
        /// Cancels all uploads of a transfer.
        std::function<void(const Digest &)> cancelUploads;
    };

    WeightsAgent(const DaemonSettings &settings, ControlIo &io, Environment environment,
                 std::uint64_t seed);

    void setConfiguration(TimePoint now, std::shared_ptr<const Configuration> configuration);
    void tick(TimePoint now);

    /// An engine has been ordered to load \a item.
    void onLoadRequested(TimePoint now, const LoadedModel &item);
    void onLoadStarted(TimePoint now, const LoadedModel &item);
    void onLoadEnded(TimePoint now, const LoadedModel &item, bool success);

    void peerLeft(TimePoint now, const HostId &peer);
    void peerChanged(TimePoint now, const Participant &peer);
    void onHaveUpdate(TimePoint now, const HostId &peer, const HaveUpdate &update);
    void chunkRequested(TimePoint now, const HostId &peer, const Digest &digest, UploadId upload);
    void uploadFinished(TimePoint now, UploadId upload, bool isDelivered);

    /// Verified share of the transfer of \a pin in percent.
    std::uint32_t transferPercent(const ModelPin &pin) const;
    const TransferCounters &counters() const { return m_planner.counters(); }

private:
    struct Transfer
    {
        LoadedModel item;
        Digest digest;
        std::shared_ptr<const Manifest> manifest; ///< Null until it has been fetched.
        std::map<ChunkIndex, std::uint32_t>
                undelivered;         ///< Engines that have not accepted a chunk.
        std::set<BackendId> engines; ///< Engines that load from this transfer.
        bool started = false;
        bool fetching = false;
        bool finishRequested = false;
        TimePoint nextFetch;
        Duration backoff = std::chrono::milliseconds(200);
    };

    void run(const TransferActions &actions);
    void execute(const RequestChunk &action);
    void execute(const CancelRequest &action);
    void execute(const AnnounceHave &action);
    void execute(const ServeChunk &action);
    void execute(const RefuseChunk &action);
    void execute(const DeliverToEngine &action);
    void execute(const FinishLoad &action);
    void execute(const ReportServable &action);
    void execute(const ReportFailed &action);

    void fetchManifest(Transfer &transfer);
    void manifestRead(const LoadedModel &item, const Outcome<std::string> &outcome);
    void startTransfer(Transfer &transfer);
    void requestFromOrigin(const RequestChunk &action, const Transfer &transfer);
    void requestFromPeer(const RequestChunk &action, const Endpoint &endpoint);
    void chunkDone(ChunkRequestId request, const Outcome<std::string> &outcome);
    void chunkDelivered(const Digest &transfer, ChunkIndex chunk, const LoadedModel &item, bool ok);
    void removeObsoleteTransfers(TimePoint now);
    Transfer *find(const Digest &transfer);
    const Configuration *configuration() const { return m_configuration.get(); }
    std::optional<Digest> manifestDigest(const LoadedModel &item) const;
    std::optional<TransferOrder> orderFor(const Transfer &transfer) const;
    std::vector<EngineAgent *> enginesLoading(const LoadedModel &item) const;

    struct Download
    {
        std::shared_ptr<CallHandle> call;
        std::shared_ptr<WireStream> stream;
        std::string bytes;
        bool progressed = false;
        TimePoint nextProgress;
        ResultCode code = ResultCode::Ok;
    };

    const DaemonSettings &m_settings;
    ControlIo &m_io;
    Environment m_environment;
    TransferPlanner m_planner;
    std::shared_ptr<const Configuration> m_configuration;
    std::map<LoadedModel, Transfer> m_transfers;
    /// Requests in progress; the objects are used on the io thread.
    std::map<ChunkRequestId, std::shared_ptr<Download>> m_downloads;
};

} // namespace godwit
