// VersionRollout carries out what its TransferPlanner decides.
#include <godwit/rollout/versionrollout.h>

#include <godwit/observe/log.h>
#include <godwit/weights/chunksource.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration ShortestTick = std::chrono::milliseconds(2);

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
        m_tick.reset();
        return;
    }
    m_tick = m_environment.scheduler.after(std::max(ShortestTick, *due - now()), [this] {
        const auto timer = std::move(m_tick);
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
    auto done = guarded<std::string>([this, id = request.request](Outcome<std::string> outcome) {
        arrived(id, std::move(outcome));
    });
    if (!request.source) {
        download.call = m_origin->readPiece(download.rollout.model, download.rollout.version,
                                            request.chunk, std::move(done));
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

void VersionRollout::arrived(ChunkRequestId request, Outcome<std::string> outcome)
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
        serveStaged(action);
}

void VersionRollout::serveStaged(const ServeChunk &action)
{
    const Rollout *rollout = find(action.transfer);
    if (!rollout) {
        // The area belongs to a later version by now.
        run(m_planner.uploadFinished(now(), action.upload, false));
        m_environment.peers.refuse(action.upload, ResultCode::ChunkNotHeld);
        return;
    }
    const auto &chunks = rollout->manifest->chunks;
    const auto piece =
            static_cast<ChunkIndex>(std::ranges::find(chunks, action.digest) - chunks.begin());
    m_environment.engine.readStaged(
            rollout->model, piece,
            guarded<std::string>([this, action, piece](Outcome<std::string> outcome) {
                auto *bytes = std::get_if<std::string>(&outcome);
                if (bytes && Digest::of(*bytes) == action.digest) {
                    ServeChunk complete = action;
                    complete.bytes = std::make_shared<const std::string>(std::move(*bytes));
                    serve(complete);
                    return;
                }
                logStateChange("staged_piece_lost",
                               {{"transfer", action.transfer.toHex().substr(0, 12)},
                                {"piece", piece},
                                {"found", bytes ? "other bytes" : "nothing"}},
                               LogLevel::Warning);
                run(m_planner.uploadFinished(now(), action.upload, false));
                run(m_planner.chunkLost(now(), action.transfer, piece));
                m_environment.peers.refuse(action.upload, ResultCode::ChunkNotHeld);
            }));
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
    if (!rollout)
        return;
    if (usesStagingArea(*rollout))
        stage(*rollout, action.chunk);
    else
        rollout->held.push_back(action.chunk);
}

void VersionRollout::execute(const FinishLoad &action)
{
    Rollout *rollout = find(action.transfer);
    if (!rollout)
        return;
    rollout->complete = true;
    rollout->staged = !rollout->serving;
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
    rollout->stager->finish(orderAt);
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
    // Begins anew with the next look at the engine.
    rollout->stager.reset();
    rollout->manifest.reset();
    rollout->serving = false;
}

} // namespace godwit
