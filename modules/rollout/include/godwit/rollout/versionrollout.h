#pragma once

#include <godwit/base/random.h>
#include <godwit/rollout/enginestager.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/pieceoriginport.h>
#include <godwit/rollout/rolloutoptions.h>
#include <godwit/weights/transferplanner.h>

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Brings the wanted version of each model onto the engine of this host: reads the manifest, gets
/// the pieces from the engine's own staging area, from peers or from the origin as the
/// TransferPlanner decides, and lets an EngineStager load them. Used by one thread; sockets and
/// time come from outside.
class VersionRollout
{
public:
    /// What the rollout uses; the references outlive it.
    struct Environment
    {
        Scheduler &scheduler;
        ModelEnginePort &engine;
        PeerTransport &peers;
    };

    VersionRollout(RolloutOptions options, Environment environment, Random random);
    ~VersionRollout();
    VersionRollout(const VersionRollout &) = delete;
    VersionRollout &operator=(const VersionRollout &) = delete;

    /// Where pieces come from, and the region in which that is. Null while it is not known.
    void setOrigin(std::shared_ptr<PieceOriginPort> origin, RegionId region);

    /// The hosts whose engines get the same weights, with this one.
    void setParticipants(std::vector<Participant> participants);

    /// \a version of \a model is wanted from now on. Older ones are ignored.
    void want(const ModelId &model, std::uint64_t version);

    /// Reads the engine's report and restores what it should hold but does not.
    void checkEngine();

    void haveArrived(const HostId &peer, const HaveUpdate &update);
    void chunkRequested(const HostId &peer, const Digest &chunk, UploadId upload);
    void uploadFailed(UploadId upload);

    const TransferCounters &counters() const { return m_planner.counters(); }

private:
    /// A version on its way to the engine, or on it.
    struct Rollout
    {
        std::uint64_t version = 0;
        TimePoint wantedAt;
        std::shared_ptr<const Manifest> manifest; ///< Null until it has been read.
        Digest transfer;
        std::unique_ptr<EngineStager> stager;
        std::set<ChunkIndex> staged; ///< Held by the engine from before, not yet read.
        bool reading = false;        ///< The manifest is being read.
        bool serving = false;
        std::unique_ptr<Timer> retry;
    };

    struct Download
    {
        ModelId model;
        ChunkIndex piece = 0;
        RequestChunk request;
        std::shared_ptr<CallHandle> call;
    };

    void engineReported(const Outcome<EngineReport> &outcome);
    bool isServing(const EngineReport &report, const ModelId &model, std::uint64_t version) const;
    void begin(const ModelId &model);
    void readManifest(const ModelId &model);
    void manifestRead(const ModelId &model, std::uint64_t version,
                      const Outcome<Manifest> &outcome);
    void stagedListed(const ModelId &model, std::uint64_t version,
                      const Outcome<std::set<ChunkIndex>> &outcome);
    void startTransfer(const ModelId &model);
    /// Gets the pieces again, most of them from the engine's staging area.
    void restart(const ModelId &model);
    /// A peer needs pieces. A host whose engine had its version from the start holds them only in
    /// the engine's staging area; it takes them from there.
    void seed();
    TimePoint orderTime(const Rollout &rollout) const;
    void served(const ModelId &model);
    void incomplete(const ModelId &model, std::uint64_t version);

    void run(const TransferActions &actions);
    void execute(const RequestChunk &action);
    void execute(const CancelRequest &action);
    void execute(const AnnounceHave &action);
    void execute(const ServeChunk &action);
    void execute(const RefuseChunk &action);
    void execute(const DeliverToEngine &action);
    void execute(const FinishLoad &action);
    void execute(const ReportServable &) {}
    void execute(const ReportFailed &action);

    void readOwnCopy(Download &download);
    void fetch(Download &download);
    void arrived(ChunkRequestId request, Outcome<std::string> outcome);
    void scheduleTick();
    TimePoint now() const { return m_environment.scheduler.now(); }
    std::pair<const ModelId, Rollout> *find(const Digest &transfer);

    /// \a function with the outcome, unless this object is gone by then.
    template <typename T, typename Function>
    Completion<T> guarded(Function function)
    {
        return [alive = std::weak_ptr(m_alive), function](Outcome<T> outcome) {
            if (!alive.expired())
                function(std::move(outcome));
        };
    }

    RolloutOptions m_options;
    Environment m_environment;
    Random m_random;
    TransferPlanner m_planner;
    std::shared_ptr<PieceOriginPort> m_origin;
    RegionId m_originRegion;
    std::vector<Participant> m_participants;
    std::map<ModelId, Rollout> m_rollouts;
    std::vector<Digest> m_outdated; ///< Transfers of earlier versions, still served to peers.
    std::map<ChunkRequestId, Download> m_downloads;
    std::unique_ptr<Timer> m_tick;
    std::unique_ptr<Timer> m_engineCheck;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
