// The part of VersionRollout that executes the actions of its TransferPlanner.
#include <godwit/rollout/versionrollout.h>

#include "rollout.h"

#include <godwit/observe/log.h>
#include <godwit/weights/chunksource.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration MinTickInterval = std::chrono::milliseconds(2);

} // namespace

void VersionRollout::run(const TransferActions &actions)
{
    for (const TransferAction &action : actions)
        std::visit([this](const auto &it) { execute(it); }, action);
    scheduleTick();
}

void VersionRollout::scheduleTick()
{
    const auto due = m_planner.nextTick();
    if (!due) {
        m_tickTimer.reset();
        return;
    }
    m_tickTimer = m_environment.scheduler.after(std::max(MinTickInterval, *due - now()), [this] {
        const auto timer = std::move(m_tickTimer);
        run(m_planner.tick(now()));
    });
}

void VersionRollout::execute(const RequestChunk &action)
{
    Rollout *rollout = find(action.transfer);
    if (!rollout)
        return;
    Download &download = m_downloads[action.request];
    download.rollout = keyOf(*rollout);
    download.request = action;
    fetch(download);
}

void VersionRollout::fetch(Download &download)
{
    const RequestChunk &request = download.request;
    auto done = bindWeak<std::string>([this, id = request.request](Outcome<std::string> outcome) {
        onChunkReceived(id, std::move(outcome));
    });
    if (!request.source) {
        download.call = m_origin->readChunk(download.rollout.model, download.rollout.version,
                                            request.chunk, request.bytes, std::move(done));
        return;
    }
    download.call = m_environment.peers.fetch(
            *request.source, request.digest, request.bytes,
            [this, alive = std::weak_ptr(m_alive), id = request.request] {
                if (!alive.expired())
                    m_planner.chunkProgress(now(), id);
            },
            std::move(done));
}

void VersionRollout::onChunkReceived(ChunkRequestId request, Outcome<std::string> outcome)
{
    if (m_downloads.erase(request) == 0)
        return;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        run(m_planner.chunkFailed(now(), request, chunkSourceCode(error->code)));
        return;
    }
    run(m_planner.chunkArrived(
            now(), request, std::make_shared<const std::string>(std::move(std::get<0>(outcome)))));
}

void VersionRollout::execute(const CancelRequest &action)
{
    const auto it = m_downloads.find(action.request);
    if (it == m_downloads.end())
        return;
    const auto call = it->second.call;
    m_downloads.erase(it);
    if (call)
        call->cancel();
}

void VersionRollout::execute(const AnnounceHave &action)
{
    m_environment.peers.announce(action.peer, action.update);
}

void VersionRollout::execute(const ServeChunk &action)
{
    if (action.bytes)
        serve(action);
    else
        serveStaged(action, stagedCopies(action.digest));
}

std::vector<VersionRollout::StagedCopy> VersionRollout::stagedCopies(const Digest &digest) const
{
    std::vector<StagedCopy> copies;
    for (const auto &[model, rollouts] : m_rollouts) {
        const auto manifest = rollouts.empty() ? nullptr : rollouts.front().manifest();
        if (!manifest)
            continue;
        const auto &chunks = manifest->chunks;
        for (ChunkIndex i = 0; i < chunks.size(); ++i) {
            if (chunks[i] == digest)
                copies.push_back({model, i, manifest->chunkSize(i)});
        }
    }
    return copies;
}

void VersionRollout::serveStaged(const ServeChunk &action, std::vector<StagedCopy> copies)
{
    if (copies.empty()) {
        refuseStaged(action);
        return;
    }
    const StagedCopy copy = copies.back();
    copies.pop_back();
    m_environment.engine.readStaged(
            copy.model, copy.chunk, copy.size,
            bindWeak<std::string>([this, action, copy, copies](Outcome<std::string> outcome) {
                auto *bytes = std::get_if<std::string>(&outcome);
                if (bytes && Digest::of(*bytes) == action.digest) {
                    ServeChunk served = action;
                    served.bytes = std::make_shared<const std::string>(std::move(*bytes));
                    serve(served);
                    return;
                }
                logStateChange("staged_piece_lost",
                               {{"transfer", action.transfer.toHex().substr(0, 12)},
                                {"piece", copy.chunk},
                                {"found", bytes ? "other bytes" : "nothing"}},
                               LogLevel::Warning);
                const auto rollouts = m_rollouts.find(copy.model);
                if (rollouts != m_rollouts.end() && !rollouts->second.empty())
                    rollouts->second.front().confirmation->onChunkCorrupt(copy.chunk);
                serveStaged(action, copies);
            }));
}

void VersionRollout::refuseStaged(const ServeChunk &action)
{
    run(m_planner.uploadFinished(now(), action.upload, false));
    const Rollout *rollout = find(action.transfer);
    if (const LoadingPhase *loading = rollout ? rollout->loading() : nullptr) {
        const auto &chunks = loading->manifest->chunks;
        const auto chunk = std::ranges::find(chunks, action.digest) - chunks.begin();
        run(m_planner.chunkLost(now(), action.transfer, static_cast<ChunkIndex>(chunk)));
    }
    m_environment.peers.refuse(action.upload, ResultCode::ChunkNotHeld);
}

void VersionRollout::serve(const ServeChunk &action)
{
    m_environment.peers.serve(
            action, [this, alive = std::weak_ptr(m_alive), upload = action.upload](bool delivered) {
                if (!alive.expired())
                    run(m_planner.uploadFinished(now(), upload, delivered));
            });
}

void VersionRollout::execute(const RefuseChunk &action)
{
    m_environment.peers.refuse(action.upload, action.code);
}

void VersionRollout::execute(const DeliverToEngine &action)
{
    Rollout *rollout = find(action.transfer);
    LoadingPhase *loading = rollout ? rollout->loading() : nullptr;
    if (!loading)
        return;
    if (ownsStagingArea(*rollout))
        stage(*loading, action.chunk);
    else
        loading->deferredChunks.push_back(action.chunk);
}

void VersionRollout::execute(const FinishLoad &action)
{
    Rollout *rollout = find(action.transfer);
    LoadingPhase *loading = rollout ? rollout->loading() : nullptr;
    if (!loading)
        return;
    loading->progress = rollout->isServing ? LoadingPhase::Progress::Loaded
                                           : LoadingPhase::Progress::AwaitingOrder;
    const TimePoint orderAt = orderTime(*rollout);
    logStateChange("pieces_staged", {{"model", rollout->model.value()},
                                     {"version", rollout->version},
                                     {"ms", toMilliseconds(now() - rollout->wantedAt)},
                                     {"order_in_ms", toMilliseconds(orderAt - now())},
                                     {"bytes_from_origin", counters().bytesFromOrigin},
                                     {"bytes_from_other_regions", counters().bytesFromOtherRegions},
                                     {"bytes_from_region_peers", counters().bytesFromRegionPeers},
                                     {"requests_failed", counters().requestsFailed},
                                     {"requests_stalled", counters().requestsStalled}});
    loading->stager->scheduleLoad(orderAt);
}

void VersionRollout::execute(const ReportFailed &action)
{
    Rollout *rollout = find(action.transfer);
    if (!rollout)
        return;
    logStateChange("transfer_failed",
                   {{"model", rollout->model.value()},
                    {"version", rollout->version},
                    {"problem", toString(action.error)}},
                   LogLevel::Warning);
    // The rollout starts again with the next report of the engine.
    rollout->phase = IdlePhase();
    rollout->isServing = false;
}

} // namespace godwit
