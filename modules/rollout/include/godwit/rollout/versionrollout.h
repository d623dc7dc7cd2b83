#pragma once

#include <godwit/base/random.h>
#include <godwit/gateway/loadschedule.h>
#include <godwit/rollout/enginestager.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/rollout/peertransport.h>
#include <godwit/rollout/pieceoriginport.h>
#include <godwit/rollout/rolloutoptions.h>
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
        /// The origin does not answer; it may have another address by now. May be empty.
        std::function<void()> originFailed = {};
    };

    VersionRollout(RolloutOptions options, Environment environment, Random random);
    ~VersionRollout();
    VersionRollout(const VersionRollout &) = delete;
    VersionRollout &operator=(const VersionRollout &) = delete;

    /// Where pieces come from, and the region in which that is. Null while it is not known.
    void setOrigin(std::shared_ptr<PieceOriginPort> origin, RegionId region);

    /// The hosts whose engines get the same weights, with this one.
    void setParticipants(std::vector<Participant> participants);

    /// \a version of \a model is wanted from now on. Older ones are ignored. A version whose pieces
    /// are all staged is loaded first, because its time runs out earlier; one that is still on its
    /// way is dropped.
    /// Without \a terms the version may have been wanted for long, and the engine loads it as soon
    /// as it can.
    void want(const ModelId &model, std::uint64_t version,
              const std::optional<VersionWindow> &terms);

    /// Reads the engine's report and restores what it should hold but does not.
    void checkEngine();

    void haveArrived(const HostId &peer, const HaveUpdate &update);
    void chunkRequested(const HostId &peer, const Digest &chunk, UploadId upload);
    void uploadFailed(UploadId upload);

    /// Writes a line for each transfer that is not complete.
    void logProgress() const;

    const TransferCounters &counters() const { return m_planner.counters(); }

private:
    /// A version on its way to the engine, or on it.
    struct Rollout
    {
        ModelId model;
        std::uint64_t version = 0;
        TimePoint wantedAt;
        bool isNew = false;                       ///< Its terms are known.
        std::shared_ptr<const Manifest> manifest; ///< Null until it has been read.
        Digest transfer;
        std::unique_ptr<EngineStager> stager; ///< Null until the transfer has begun.
        std::set<ChunkIndex> ownCopies;       ///< Staged in the engine before, not yet read.
        std::vector<ChunkIndex> held;         ///< Not staged while an older version uses the area.
        bool reading = false;                 ///< The manifest is being read.
        bool complete = false;                ///< All pieces have been staged.
        bool staged = false; ///< All pieces are staged, and the order has not been accepted.
        bool serving = false;
        std::unique_ptr<Timer> retry;
    };
    /// The rollouts of one model, oldest first. The first one uses the engine's staging area.
    using Rollouts = std::list<Rollout>;

    /// Names a rollout in callbacks, which may come after it has ended.
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
    static Key keyOf(const Rollout &rollout) { return {rollout.model, rollout.version}; }

    void engineReported(const Outcome<EngineReport> &outcome);
    void compare(const EngineReport &report, Rollout &rollout);
    void begin(Rollout &rollout);
    void readManifest(Rollout &rollout);
    void manifestRead(const Key &key, const Outcome<Manifest> &outcome);
    void stagedListed(const Key &key, const Outcome<std::set<ChunkIndex>> &outcome);
    void startTransfer(Rollout &rollout);
    /// Gets the pieces again, most of them from the engine's staging area.
    void restart(Rollout &rollout);
    /// A peer needs pieces. A host whose engine had its version from the start holds them only in
    /// the engine's staging area; it takes them from there.
    void seed();
    /// Ends the rollouts before \a rollout. Their pieces are still served to peers.
    void endOlder(const Rollout &rollout);
    bool usesStagingArea(const Rollout &rollout) const;
    void stage(Rollout &rollout, ChunkIndex piece);
    /// The engine holds \a piece now; older pieces are dropped from the memory of this process.
    void accepted(const Digest &transfer, ChunkIndex piece);
    void stageHeld(Rollout &rollout);
    TimePoint orderTime(const Rollout &rollout);
    void ordered(const Key &key);
    void endRollout(Rollout &rollout);
    void restartNow(Rollout &rollout);
    void served(const Key &key);
    void incomplete(const Key &key);
    void later(Rollout &rollout, Duration delay, void (VersionRollout::*step)(Rollout &));

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

    /// Serves a piece that is only in the engine's staging area.
    void serveStaged(const ServeChunk &action);
    void serve(const ServeChunk &action);
    /// Reads the pieces that the engine has staged, one after the other.
    void readOwnCopies(const Key &key);
    void fetch(Download &download);
    void arrived(ChunkRequestId request, Outcome<std::string> outcome);
    void scheduleTick();
    TimePoint now() const { return m_environment.scheduler.now(); }

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
    EngineReport m_report; ///< The last one.
    std::map<ModelId, Rollouts> m_rollouts;
    std::map<ModelId, LoadSchedule> m_schedules;
    struct Piece
    {
        Digest transfer;
        ChunkIndex index = 0;
    };
    std::deque<Piece> m_recent;     ///< Staged, and still in the memory of this process.
    std::vector<Digest> m_outdated; ///< Transfers of earlier versions, still served to peers.
    std::map<ChunkRequestId, Download> m_downloads;
    std::unique_ptr<Timer> m_tick;
    std::unique_ptr<Timer> m_engineCheck;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
