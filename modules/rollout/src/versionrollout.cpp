#include <godwit/rollout/versionrollout.h>

#include <godwit/base/rendezvous.h>
#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration ManifestRetry = std::chrono::milliseconds(300);
constexpr Duration ShortestTick = std::chrono::milliseconds(2);

std::int64_t milliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

ResultCode sourceCode(ResultCode code)
{
    switch (code) {
    case ResultCode::ChunkNotHeld:
    case ResultCode::UploadSlotsBusy:
        return code;
    case ResultCode::PlatformRefused:
        return ResultCode::OriginRefused;
    default:
        return ResultCode::ChunkSourceUnreachable;
    }
}

} // namespace

VersionRollout::VersionRollout(RolloutOptions options, Environment environment, Random random)
    : m_options(std::move(options))
    , m_environment(environment)
    , m_random(random)
    , m_planner(m_options.self, m_options.transfer, m_random())
{}

VersionRollout::~VersionRollout() = default;

void VersionRollout::setOrigin(std::shared_ptr<PieceOriginPort> origin, RegionId region)
{
    m_origin = std::move(origin);
    m_originRegion = std::move(region);
    for (auto &[model, rollout] : m_rollouts) {
        if (!rollout.manifest && !rollout.reading)
            begin(model);
    }
}

void VersionRollout::setParticipants(std::vector<Participant> participants)
{
    std::ranges::sort(participants);
    const std::vector<Participant> previous = std::exchange(m_participants, participants);
    for (const Participant &it : previous) {
        const auto same = [&it](const Participant &other) { return other.host == it.host; };
        if (it.host != m_options.self && std::ranges::none_of(m_participants, same))
            run(m_planner.peerLeft(now(), it.host));
    }
    for (const Participant &it : m_participants) {
        if (std::ranges::find(previous, it) != previous.end())
            continue;
        for (const auto &[model, rollout] : m_rollouts) {
            if (rollout.stager)
                run(m_planner.peerJoined(now(), rollout.transfer, it));
        }
    }
}

void VersionRollout::want(const ModelId &model, std::uint64_t version)
{
    Rollout &rollout = m_rollouts[model];
    if (version <= rollout.version)
        return;
    const std::uint64_t previous = rollout.version;
    // The planner goes on serving the pieces of the previous version until the new one is in use;
    // an unfinished transfer of it is abandoned when the next one starts.
    if (rollout.stager)
        m_outdated.push_back(rollout.transfer);
    rollout = Rollout();
    rollout.version = version;
    rollout.wantedAt = now();
    logStateChange("rollout_begun",
                   {{"model", model.value()}, {"version", version}, {"previous", previous}});
    checkEngine();
}

void VersionRollout::checkEngine()
{
    m_engineCheck.reset();
    m_environment.engine.readReport(guarded<EngineReport>(
            [this](const Outcome<EngineReport> &outcome) { engineReported(outcome); }));
}

void VersionRollout::engineReported(const Outcome<EngineReport> &outcome)
{
    m_engineCheck = m_environment.scheduler.after(m_options.engineInterval, [this] {
        const auto timer = std::move(m_engineCheck);
        checkEngine();
    });
    const auto *report = std::get_if<EngineReport>(&outcome);
    if (!report)
        return;
    for (auto &[model, rollout] : m_rollouts) {
        const bool serving = isServing(*report, model, rollout.version);
        if (serving && !rollout.serving && !rollout.stager) {
            // It had the version before this process began.
            rollout.serving = true;
        } else if (!serving && rollout.serving && !report->busy) {
            logStateChange("engine_lost_weights",
                           {{"model", model.value()},
                            {"version", rollout.version},
                            {"engine_born_ms", report->bornMs}},
                           LogLevel::Warning);
            rollout.serving = false;
            restart(model);
        }
        if (!rollout.serving && !rollout.manifest && !rollout.reading && !rollout.retry)
            begin(model);
    }
}

void VersionRollout::restart(const ModelId &model)
{
    Rollout &rollout = m_rollouts.at(model);
    if (rollout.stager) {
        rollout.stager.reset();
        run(m_planner.cancel(now(), rollout.transfer));
    }
    rollout.manifest.reset();
    rollout.reading = false;
}

void VersionRollout::seed()
{
    for (auto &[model, rollout] : m_rollouts) {
        if (rollout.serving && !rollout.manifest && !rollout.reading && !rollout.retry && m_origin)
            readManifest(model);
    }
}

bool VersionRollout::isServing(const EngineReport &report, const ModelId &model,
                               std::uint64_t version) const
{
    return std::ranges::find(report.models, ServedModel{model, version}) != report.models.end();
}

void VersionRollout::begin(const ModelId &model)
{
    const Rollout &rollout = m_rollouts.at(model);
    if (m_origin && rollout.version > 0 && !rollout.serving && !rollout.reading)
        readManifest(model);
}

void VersionRollout::readManifest(const ModelId &model)
{
    Rollout &rollout = m_rollouts.at(model);
    rollout.reading = true;
    rollout.retry.reset();
    m_origin->readManifest(model, rollout.version,
                           guarded<Manifest>([this, model, version = rollout.version](
                                                     const Outcome<Manifest> &outcome) {
                               manifestRead(model, version, outcome);
                           }));
}

void VersionRollout::manifestRead(const ModelId &model, std::uint64_t version,
                                  const Outcome<Manifest> &outcome)
{
    Rollout &rollout = m_rollouts.at(model);
    if (rollout.version != version)
        return;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logStateChange(
                "manifest_failed",
                {{"model", model.value()}, {"version", version}, {"problem", toString(*error)}},
                LogLevel::Warning);
        const auto delay =
                std::chrono::duration_cast<Duration>(ManifestRetry * (0.5 + m_random.uniform()));
        rollout.reading = false;
        rollout.retry = m_environment.scheduler.after(delay, [this, model] {
            const auto timer = std::move(m_rollouts.at(model).retry);
            begin(model);
        });
        return;
    }
    rollout.manifest = std::make_shared<const Manifest>(std::get<0>(outcome));
    m_environment.engine.listStaged(
            model, guarded<std::set<ChunkIndex>>(
                           [this, model, version](const Outcome<std::set<ChunkIndex>> &staged) {
                               stagedListed(model, version, staged);
                           }));
}

void VersionRollout::stagedListed(const ModelId &model, std::uint64_t version,
                                  const Outcome<std::set<ChunkIndex>> &outcome)
{
    Rollout &rollout = m_rollouts.at(model);
    if (rollout.version != version)
        return;
    rollout.reading = false;
    if (const auto *staged = std::get_if<std::set<ChunkIndex>>(&outcome))
        rollout.staged = *staged;
    startTransfer(model);
}

void VersionRollout::startTransfer(const ModelId &model)
{
    Rollout &rollout = m_rollouts.at(model);
    const auto manifest = rollout.manifest;
    rollout.transfer = manifest->digest();
    rollout.stager = std::make_unique<EngineStager>(
            m_environment.engine, m_environment.scheduler, manifest, rollout.version,
            EngineStager::Handlers{
                    [this, manifest](ChunkIndex piece) {
                        return m_planner.store().find(manifest->chunks[piece]);
                    },
                    [this, model] { served(model); },
                    [this, model, version = rollout.version] { incomplete(model, version); }});
    TransferOrder order;
    order.manifest = *manifest;
    order.originRegion = m_originRegion;
    order.participants = m_participants;
    run(m_planner.start(now(), std::move(order)));
}

void VersionRollout::incomplete(const ModelId &model, std::uint64_t version)
{
    // Not at once: the stager that reports this must not be destroyed by its own call.
    Rollout &rollout = m_rollouts.at(model);
    rollout.retry = m_environment.scheduler.after(Duration::zero(), [this, model, version] {
        const auto timer = std::move(m_rollouts.at(model).retry);
        if (m_rollouts.at(model).version != version)
            return;
        restart(model);
        begin(model);
    });
}

void VersionRollout::served(const ModelId &model)
{
    Rollout &rollout = m_rollouts.at(model);
    rollout.serving = true;

    logStateChange("version_served", {{"model", model.value()},
                                      {"version", rollout.version},
                                      {"ms", milliseconds(now() - rollout.wantedAt)}});
    run(m_planner.engineLoaded(now(), rollout.transfer));
    for (const Digest &transfer : std::exchange(m_outdated, {}))
        run(m_planner.cancel(now(), transfer));
}

TimePoint VersionRollout::orderTime(const Rollout &rollout) const
{
    // Engines that load take no requests, so they take turns within the time that is left.
    std::size_t rank = 0;
    const auto weight = [&rollout](const HostId &host) {
        return rendezvousWeight(std::to_string(rollout.version), host.value());
    };
    for (const Participant &it : m_participants)
        rank += weight(it.host) < weight(m_options.self) ? 1 : 0;
    const TimePoint latest = rollout.wantedAt + m_options.versionTime - m_options.loadTime;
    const Duration span = std::max(Duration::zero(), latest - now());
    const auto n = static_cast<std::int64_t>(std::max<std::size_t>(1, m_participants.size()));
    return now() + span * static_cast<std::int64_t>(rank) / n;
}

void VersionRollout::haveArrived(const HostId &peer, const HaveUpdate &update)
{
    seed();
    run(m_planner.peerHave(now(), peer, update));
}

void VersionRollout::chunkRequested(const HostId &peer, const Digest &chunk, UploadId upload)
{
    seed();
    run(m_planner.chunkRequested(now(), peer, chunk, upload));
}

void VersionRollout::uploadFailed(UploadId upload)
{
    run(m_planner.uploadFinished(now(), upload, false));
}

std::pair<const ModelId, VersionRollout::Rollout> *VersionRollout::find(const Digest &transfer)
{
    const auto it = std::ranges::find_if(m_rollouts, [&transfer](const auto &entry) {
        return entry.second.stager && entry.second.transfer == transfer;
    });
    return it == m_rollouts.end() ? nullptr : &*it;
}

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
    auto *found = find(action.transfer);
    if (!found)
        return;
    Download &download = m_downloads[action.request];
    download.model = found->first;
    download.piece = action.chunk;
    download.request = action;
    if (found->second.staged.erase(action.chunk) > 0)
        readOwnCopy(download);
    else
        fetch(download);
}

void VersionRollout::readOwnCopy(Download &download)
{
    const ChunkRequestId id = download.request.request;
    m_environment.engine.readStaged(
            download.model, download.piece,
            guarded<std::string>(
                    [this, id, digest = download.request.digest](Outcome<std::string> outcome) {
                        const auto it = m_downloads.find(id);
                        if (it == m_downloads.end())
                            return;
                        const auto *bytes = std::get_if<std::string>(&outcome);
                        // Staged bytes may be of another version, or rotten.
                        if (bytes && Digest::of(*bytes) == digest)
                            arrived(id, std::move(outcome));
                        else
                            fetch(it->second);
                    }));
}

void VersionRollout::fetch(Download &download)
{
    const RequestChunk &request = download.request;
    auto done = guarded<std::string>([this, id = request.request](Outcome<std::string> outcome) {
        arrived(id, std::move(outcome));
    });
    if (!request.source) {
        if (m_origin)
            download.call =
                    m_origin->readPiece(download.model, m_rollouts.at(download.model).version,
                                        download.piece, std::move(done));
        else
            done(Error{ResultCode::PlatformUnreachable, "no origin is known"});
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
        run(m_planner.chunkFailed(now(), request, sourceCode(error->code)));
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
    auto *found = find(action.transfer);
    if (!found)
        return;
    found->second.stager->stage(action.chunk,
                                [this, transfer = action.transfer, piece = action.chunk](bool) {
                                    // A piece that the engine did not take is put again by the
                                    // check before the order.
                                    run(m_planner.engineAccepted(now(), transfer, piece));
                                });
}

void VersionRollout::execute(const FinishLoad &action)
{
    auto *found = find(action.transfer);
    if (!found)
        return;
    const Rollout &rollout = found->second;
    const TimePoint orderAt = orderTime(rollout);
    logStateChange("pieces_staged", {{"model", found->first.value()},
                                     {"version", rollout.version},
                                     {"ms", milliseconds(now() - rollout.wantedAt)},
                                     {"order_in_ms", milliseconds(orderAt - now())},
                                     {"bytes_from_origin", counters().bytesFromOrigin},
                                     {"bytes_from_other_regions", counters().bytesFromOtherRegions},
                                     {"bytes_from_region_peers", counters().bytesFromRegionPeers},
                                     {"requests_failed", counters().requestsFailed},
                                     {"requests_stalled", counters().requestsStalled}});
    rollout.stager->finish(orderAt);
}

void VersionRollout::execute(const ReportFailed &action)
{
    auto *found = find(action.transfer);
    if (!found)
        return;
    Rollout &rollout = found->second;
    logStateChange("transfer_failed",
                   {{"model", found->first.value()},
                    {"version", rollout.version},
                    {"problem", toString(action.error)}},
                   LogLevel::Warning);
    // Begins anew with the next look at the engine.
    rollout.manifest.reset();
    rollout.serving = false;
}

} // namespace godwit
