#pragma once

#include <godwit/base/random.h>
#include <godwit/gateway/loadschedule.h>
#include <godwit/rollout/enginestager.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/rolloutoptions.h>
#include <godwit/rollout/weightoriginport.h>
#include <godwit/weights/transferplanner.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

class ManifestExchange;
struct LoadingPhase;
struct Rollout;

/// Loads the wanted version of each model into the engine of this host: obtains the manifest, and
/// the chunks from the engine's staging area, from peers or from the origin as the TransferPlanner
/// decides, and has an EngineStager load them. Not thread-safe; performs no I/O of its own and
/// takes the time from the scheduler.
class VersionRollout
{
public:
    /// Dependencies of the rollout. The referenced objects must outlive it.
    struct Environment
    {
        Scheduler &scheduler;
        ModelEnginePort &engine;
        PeerTransport &peers;
        /// Called when the origin does not respond; its address may have changed. May be empty.
        std::function<void()> onOriginUnreachable = {};
        /// A peer loads, or the engine serves, a version newer than the last one that was passed to
        /// setWantedVersion(). May be empty.
        std::function<void()> onNewerVersionSeen = {};
    };

    VersionRollout(RolloutOptions options, Environment environment, Random random);
    ~VersionRollout();
    VersionRollout(const VersionRollout &) = delete;
    VersionRollout &operator=(const VersionRollout &) = delete;

    /// Sets the origin of weights, its region and the rate of its link in bytes per second; 0 if
    /// the rate is not known. \a origin is null while it is not known.
    void setOrigin(std::shared_ptr<WeightOriginPort> origin, RegionId region, double rate = 0);

    /// Sets the hosts whose engines load the same weights; this one need not be included. Nothing
    /// is read before the first call: a host that knows no peers would read everything from the
    /// origin.
    void setParticipants(std::vector<Participant> participants);

    /// Requests \a version of \a model. Versions older than the last one requested are ignored, and
    /// nothing is loaded into an engine that serves a newer one. If
    /// all chunks of the previous version are staged, that version is loaded first, because its
    /// deadline is earlier; if it is still being transferred, it is dropped.
    /// Without \a window the version may have been wanted for a long time, so the engine loads it
    /// as soon as possible.
    void setWantedVersion(const ModelId &model, std::uint64_t version,
                          const std::optional<VersionWindow> &window);

    /// Sets the number of layers of \a model, so that its weights can be loaded in several orders
    /// if they are too large for one.
    void setLayerCount(const ModelId &model, std::uint32_t layers);

    /// Reads the engine's report and restores versions that the engine should serve but does not.
    void checkEngine();

    void onHaveUpdate(const HostId &peer, const HaveUpdate &update);
    void onChunkRequest(const HostId &peer, const Digest &chunk, UploadId upload);
    void onUploadFailed(UploadId upload);
    void onManifestRequest(ManifestRequest request);

    /// Logs the progress of each transfer that is not complete.
    void logProgress() const;

    const TransferCounters &counters() const { return m_planner.counters(); }

private:
    /// The newest rollout of a model and, before it, at most one older one that is loaded first.
    /// The first one owns the engine's staging area.
    using Rollouts = std::list<Rollout>;

    /// Identifies a rollout in callbacks, which may run after the rollout has ended.
    struct Key
    {
        ModelId model;
        std::uint64_t version = 0;
    };

    struct Download
    {
        Key rollout;
        RequestChunk request;
        std::shared_ptr<CallHandle> call;
    };

    Rollout *find(const Key &key);
    Rollout *find(const Digest &transfer);
    static Key keyOf(const Rollout &rollout);

    void reportIfNewer(const ModelId &model, std::uint64_t version) const;
    /// 1 if it is not known.
    std::uint32_t layerCount(const ModelId &model) const;
    void onEngineReport(const Outcome<EngineReport> &outcome);
    void reconcile(const EngineReport &report, Rollout &rollout);
    void startIfNeeded(Rollout &rollout);
    void readManifest(Rollout &rollout);
    void onManifestRead(const Key &key, const Outcome<Manifest> &outcome);
    void onStagedListed(const Key &key, const Outcome<std::set<ChunkIndex>> &outcome);
    /// \a staged are the chunks in the engine's staging area, of any version.
    void startTransfer(Rollout &rollout, const std::shared_ptr<const Manifest> &manifest,
                       std::set<ChunkIndex> staged);
    /// Resets the rollout so that its chunks are obtained again, most of them from the engine's
    /// staging area.
    void resetTransfer(Rollout &rollout);
    /// Starts transfers of served versions so that their chunks can be uploaded to peers. If the
    /// engine already served a version when this process started, the chunks are only in the
    /// engine's staging area and are read from there.
    void startSeeding();
    /// Whether \a rollout, the first of its model, is loaded although a newer version is wanted:
    /// all its chunks are staged, and its deadline is earlier; or the engine may still accept an
    /// order for it, for which the staged chunks must not be replaced.
    bool isLoadedFirst(const Rollout &rollout) const;
    /// Ends all rollouts but the newest, and but the first if that is loaded first. Those between
    /// them would delay the newest.
    void endSuperseded(Rollouts &rollouts);
    /// Ends \a rollout. If it was fully staged, its chunks are still served to peers.
    void end(const Rollout &rollout, std::uint64_t newest);
    void scheduleQueueCheck(Duration delay);
    /// Ends the superseded rollouts of all models that need not be loaded any more.
    void checkQueues();
    bool ownsStagingArea(const Rollout &rollout) const;
    void stage(LoadingPhase &loading, ChunkIndex chunk);
    /// The engine holds \a chunk now; drops the oldest staged chunk from the memory of this process
    /// if too many are cached.
    void onChunkStaged(const Digest &transfer, ChunkIndex chunk);
    void stageDeferred(Rollout &rollout);
    TimePoint orderTime(const Rollout &rollout);
    void onOrderAccepted(const Key &key);
    /// Whether a newer version of its model is wanted.
    bool isSuperseded(const Rollout &rollout) const;
    /// Obtains the chunks of \a rollout again unless it is superseded.
    void restartTransfer(Rollout &rollout);
    void onServing(const Key &key);
    void onChunkMissing(const Key &key);
    using Step = void (VersionRollout::*)(Rollout &);
    /// Runs \a step after about \a delay, unless the timer is destroyed before.
    std::unique_ptr<Timer> scheduleStep(const Rollout &rollout, Duration delay, Step step);

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

    /// A chunk of the version that owns the engine's staging area.
    struct StagedCopy
    {
        ModelId model;
        ChunkIndex chunk = 0;
        std::uint32_t size = 0;
    };

    /// Places in the staging area that should hold the bytes with \a digest.
    std::vector<StagedCopy> stagedCopies(const Digest &digest) const;
    /// Serves a chunk that is only in the engine's staging area, from one of \a copies that is not
    /// corrupt.
    void serveStaged(const ServeChunk &action, std::vector<StagedCopy> copies);
    void refuseStaged(const ServeChunk &action);
    void serve(const ServeChunk &action);
    /// Reads the chunks that the engine had staged before the transfer, one at a time.
    void readPreviouslyStaged(const Key &key);
    void onPreviouslyStagedRead(const Key &key, const Digest &transfer, ChunkIndex chunk,
                                Outcome<std::string> outcome);
    void prepareConfirmation(Rollout &rollout, const Manifest &manifest,
                             const std::set<ChunkIndex> &staged);
    void fetch(Download &download);
    void onChunkReceived(ChunkRequestId request, Outcome<std::string> outcome);
    void scheduleTick();
    TimePoint now() const { return m_environment.scheduler.now(); }

    /// Wraps \a function in a completion that does nothing once this object has been destroyed.
    template <typename T, typename Function>
    Completion<T> bindWeak(Function function)
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
    std::unique_ptr<ManifestExchange> m_manifests;
    std::shared_ptr<WeightOriginPort> m_origin;
    RegionId m_originRegion;
    std::vector<Participant> m_participants;
    bool m_participantsKnown = false; ///< setParticipants() has been called.
    std::optional<EngineReport> m_lastReport;
    std::map<ModelId, Rollouts> m_rollouts;
    std::map<ModelId, LoadSchedule> m_loadSchedules;
    std::map<ModelId, std::uint32_t> m_layerCounts;
    struct CachedChunk
    {
        Digest transfer;
        ChunkIndex index = 0;
    };
    std::deque<CachedChunk> m_cachedChunks;    ///< Staged and still held in memory, oldest first.
    std::vector<Digest> m_supersededTransfers; ///< Of older versions; still served to peers.
    std::map<ChunkRequestId, Download> m_downloads;
    std::unique_ptr<Timer> m_tickTimer;
    std::unique_ptr<Timer> m_engineCheckTimer;
    std::unique_ptr<Timer> m_queueCheckTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
