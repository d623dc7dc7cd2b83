#include <godwit/rollout/versionrollout.h>

#include "manifestexchange.h"
#include "rollout.h"

#include <godwit/observe/log.h>
#include <godwit/weights/chunksource.h>

#include <algorithm>
#include <charconv>

namespace godwit {

namespace {

/// Delay before the manifest is read again after a failure of the origin or of a peer. The next
/// attempt asks another peer, so that it need not wait.
constexpr Duration ManifestRetryInterval = std::chrono::milliseconds(300);
constexpr Duration PeerManifestRetryInterval = std::chrono::milliseconds(30);
/// Interval of the checks whether a superseded version still needs the staging area, beside those
/// after each event.
constexpr Duration QueueCheckInterval = std::chrono::milliseconds(300);

} // namespace

VersionRollout::VersionRollout(RolloutOptions options, Environment environment, Random random)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
    , m_random(random)
    , m_planner(m_options.self.host, m_options.transfer, m_random())
    , m_manifests(std::make_unique<ManifestExchange>(m_options.self, m_environment.scheduler,
                                                     m_environment.peers))
    , m_participants{m_options.self}
{}

VersionRollout::~VersionRollout() = default;

VersionRollout::Key VersionRollout::keyOf(const Rollout &rollout)
{
    return {rollout.model, rollout.version};
}

Rollout *VersionRollout::find(const Key &key)
{
    const auto rollouts = m_rollouts.find(key.model);
    if (rollouts == m_rollouts.end())
        return nullptr;
    const auto it = std::ranges::find(rollouts->second, key.version, &Rollout::version);
    return it == rollouts->second.end() ? nullptr : &*it;
}

Rollout *VersionRollout::find(const Digest &transfer)
{
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts) {
            if (it.loading() && it.loading()->transfer == transfer)
                return &it;
        }
    }
    return nullptr;
}

void VersionRollout::setOrigin(std::shared_ptr<WeightOriginPort> origin, RegionId region,
                               double rate)
{
    m_origin = std::move(origin);
    // Hosts that fetch more slowly than their own links can would leave the origin idle in between.
    if (rate > 0)
        m_planner.setOriginRate(std::max(rate, m_options.transfer.hostRate));
    m_manifests->setOrigin(m_origin);
    m_originRegion = std::move(region);
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts)
            startIfNeeded(it);
    }
}

void VersionRollout::setParticipants(std::vector<Participant> participants)
{
    // A host that is missing from its own list would count as a host of the origin's region and
    // fetch its chunks over the links between the regions.
    std::erase_if(participants,
                  [this](const Participant &it) { return it.host == m_options.self.host; });
    participants.push_back(m_options.self);
    std::ranges::sort(participants);
    m_participantsKnown = true;
    m_manifests->setParticipants(participants);
    const std::vector<Participant> previous = std::exchange(m_participants, participants);
    for (const Participant &it : previous) {
        const auto same = [&it](const Participant &other) { return other.host == it.host; };
        if (it.host != m_options.self.host && std::ranges::none_of(m_participants, same))
            run(m_planner.peerLeft(now(), it.host));
    }
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &rollout : rollouts) {
            startIfNeeded(rollout);
            for (const Participant &it : m_participants) {
                if (rollout.loading() && std::ranges::find(previous, it) == previous.end())
                    run(m_planner.peerJoined(now(), rollout.loading()->transfer, it));
            }
        }
    }
}

void VersionRollout::setLayerCount(const ModelId &model, std::uint32_t layers)
{
    m_layerCounts[model] = layers;
}

std::uint32_t VersionRollout::layerCount(const ModelId &model) const
{
    const auto it = m_layerCounts.find(model);
    return it == m_layerCounts.end() ? 1 : it->second;
}

void VersionRollout::setWantedVersion(const ModelId &model, std::uint64_t version,
                                      const std::optional<VersionWindow> &window)
{
    Rollouts &rollouts = m_rollouts[model];
    const std::uint64_t previous = rollouts.empty() ? 0 : rollouts.back().version;
    if (version <= previous)
        return;
    rollouts.emplace_back();
    Rollout &rollout = rollouts.back();
    rollout.model = model;
    rollout.version = version;
    rollout.wantedAt = now();
    rollout.hasWindow = window.has_value();
    if (window)
        m_loadSchedules[model].announceVersion(version, *window);
    endSuperseded(rollouts);
    logStateChange("rollout_begun", {{"model", model.value()},
                                     {"version", version},
                                     {"previous", previous},
                                     {"loaded_first", rollouts.front().version},
                                     {"phase", phaseName(rollouts.front())}});
    scheduleQueueCheck(QueueCheckInterval);
    checkEngine();
}

bool VersionRollout::isLoadedFirst(const Rollout &rollout) const
{
    if (rollout.confirmation->mayOrderBeAccepted(now()))
        return true;
    const bool isOutdated =
            m_lastReport && servesNewerVersion(*m_lastReport, rollout.model, rollout.version);
    return rollout.isAwaitingOrder() && !isOutdated;
}

void VersionRollout::endSuperseded(Rollouts &rollouts)
{
    const auto newest = std::prev(rollouts.end());
    const bool keepsFirst = newest != rollouts.begin() && isLoadedFirst(rollouts.front());
    Rollouts ended;
    ended.splice(ended.end(), rollouts, std::next(rollouts.begin(), keepsFirst ? 1 : 0), newest);
    for (const Rollout &it : ended)
        end(it, newest->version);
    stageDeferred(rollouts.front());
}

void VersionRollout::end(const Rollout &rollout, std::uint64_t newest)
{
    logStateChange("rollout_superseded", {{"model", rollout.model.value()},
                                          {"version", rollout.version},
                                          {"newest", newest},
                                          {"phase", phaseName(rollout)},
                                          {"serving", rollout.isServing},
                                          {"ms", toMilliseconds(now() - rollout.wantedAt)}});
    const LoadingPhase *loading = rollout.loading();
    if (!loading)
        return;
    if (loading->progress == LoadingPhase::Progress::Fetching)
        run(m_planner.cancel(now(), loading->transfer));
    else
        m_supersededTransfers.push_back(loading->transfer);
}

void VersionRollout::scheduleQueueCheck(Duration delay)
{
    m_queueCheckTimer = m_environment.scheduler.after(delay, [this] {
        const auto timer = std::move(m_queueCheckTimer);
        checkQueues();
    });
}

void VersionRollout::checkQueues()
{
    bool hasSuperseded = false;
    for (auto &[model, rollouts] : m_rollouts) {
        if (rollouts.size() < 2)
            continue;
        endSuperseded(rollouts);
        hasSuperseded |= rollouts.size() > 1;
    }
    if (hasSuperseded)
        scheduleQueueCheck(QueueCheckInterval);
}

void VersionRollout::checkEngine()
{
    m_engineCheckTimer.reset();
    m_environment.engine.readReport(bindWeak<EngineReport>(
            [this](const Outcome<EngineReport> &outcome) { onEngineReport(outcome); }));
}

void VersionRollout::onEngineReport(const Outcome<EngineReport> &outcome)
{
    m_engineCheckTimer = m_environment.scheduler.after(m_options.enginePollInterval, [this] {
        const auto timer = std::move(m_engineCheckTimer);
        checkEngine();
    });
    const auto *report = std::get_if<EngineReport>(&outcome);
    if (!report)
        return;
    m_lastReport = *report;
    for (const ServedModel &it : report->models)
        reportIfNewer(it.model, it.version);
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts)
            reconcile(*report, it);
    }
    checkQueues();
}

void VersionRollout::reconcile(const EngineReport &report, Rollout &rollout)
{
    const ServedModel wanted{rollout.model, rollout.version};
    const bool isListed = std::ranges::find(report.models, wanted) != report.models.end();
    // An engine of which this process restarted between two orders holds only some of the layers.
    const bool serving =
            isListed && holdsAllLayers(report.layers, rollout.version, layerCount(rollout.model));
    const LayerRange held =
            heldLayers(report, rollout.model, rollout.version, layerCount(rollout.model));
    if (!report.busy)
        rollout.confirmation->onReport(report.startTimeMs, report.acceptedOrders, held);
    const bool isConfirmed = rollout.confirmation->isConfirmed(held);
    if (serving && isConfirmed && !rollout.isServing && !rollout.loading()) {
        // The engine already served the version when this process started.
        rollout.isServing = true;
    } else if (!serving && rollout.isServing && !report.busy) {
        logStateChange("engine_lost_weights",
                       {{"model", rollout.model.value()},
                        {"version", rollout.version},
                        {"engine_born_ms", report.startTimeMs}},
                       LogLevel::Warning);
        rollout.isServing = false;
        resetTransfer(rollout);
    }
    startIfNeeded(rollout);
}

void VersionRollout::startIfNeeded(Rollout &rollout)
{
    const bool mayStart = m_origin && m_participantsKnown && m_lastReport && rollout.isIdle();
    // Without a report, an engine that already serves the version would be loaded again. One that
    // serves a newer version shows that this process has yet to learn of it.
    if (mayStart && !rollout.isServing && !isSuperseded(rollout)
        && !servesNewerVersion(*m_lastReport, rollout.model, rollout.version))
        readManifest(rollout);
}

void VersionRollout::resetTransfer(Rollout &rollout)
{
    const LoadingPhase *loading = rollout.loading();
    const std::optional<Digest> transfer =
            loading ? std::optional(loading->transfer) : std::nullopt;
    rollout.phase = IdlePhase();
    if (transfer)
        run(m_planner.cancel(now(), *transfer));
}

void VersionRollout::startSeeding()
{
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts) {
            if (m_origin && it.isServing && it.isIdle())
                readManifest(it);
        }
    }
}

void VersionRollout::readManifest(Rollout &rollout)
{
    rollout.phase = ReadingManifestPhase();
    m_manifests->read(
            rollout.model, rollout.version, rollout.manifestFailures,
            bindWeak<Manifest>([this, key = keyOf(rollout)](const Outcome<Manifest> &outcome) {
                onManifestRead(key, outcome);
            }));
}

void VersionRollout::onManifestRead(const Key &key, const Outcome<Manifest> &outcome)
{
    Rollout *rollout = find(key);
    if (!rollout || !std::holds_alternative<ReadingManifestPhase>(rollout->phase))
        return;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logStateChange("manifest_failed",
                       {{"model", key.model.value()},
                        {"version", key.version},
                        {"problem", toString(*error)}},
                       LogLevel::Warning);
        ++rollout->manifestFailures;
        const bool isPeer = error->code == ResultCode::NotSent;
        rollout->phase = ManifestRetryPhase{
                scheduleStep(*rollout, isPeer ? PeerManifestRetryInterval : ManifestRetryInterval,
                             &VersionRollout::restartTransfer)};
        if (!isPeer && m_environment.onOriginUnreachable)
            m_environment.onOriginUnreachable();
        return;
    }
    const auto manifest = std::make_shared<const Manifest>(std::get<0>(outcome));
    rollout->phase = ListingStagedPhase{manifest};
    rollout->manifestFailures = 0;
    m_manifests->publish(key.model, key.version, manifest);
    m_environment.engine.listStaged(
            key.model, bindWeak<std::set<ChunkIndex>>(
                               [this, key](const Outcome<std::set<ChunkIndex>> &staged) {
                                   onStagedListed(key, staged);
                               }));
}

std::unique_ptr<Timer> VersionRollout::scheduleStep(const Rollout &rollout, Duration delay,
                                                    Step step)
{
    const auto jittered = std::chrono::duration_cast<Duration>(delay * (0.5 + m_random.uniform()));
    return m_environment.scheduler.after(jittered, [this, key = keyOf(rollout), step] {
        if (Rollout *found = find(key))
            (this->*step)(*found);
    });
}

void VersionRollout::onStagedListed(const Key &key, const Outcome<std::set<ChunkIndex>> &outcome)
{
    Rollout *rollout = find(key);
    const auto *listing = rollout ? std::get_if<ListingStagedPhase>(&rollout->phase) : nullptr;
    if (!listing)
        return;
    const auto *staged = std::get_if<std::set<ChunkIndex>>(&outcome);
    startTransfer(*rollout, listing->manifest, staged ? *staged : std::set<ChunkIndex>());
}

void VersionRollout::startTransfer(Rollout &rollout,
                                   const std::shared_ptr<const Manifest> &manifest,
                                   std::set<ChunkIndex> staged)
{
    const Key key = keyOf(rollout);
    prepareConfirmation(rollout, *manifest, staged);
    logStateChange("transfer_begun", {{"model", rollout.model.value()},
                                      {"version", rollout.version},
                                      {"own_copies", staged.size()},
                                      {"hosts", m_participants.size()},
                                      {"engine_has_version", rollout.isServing}});
    LoadingPhase loading;
    loading.manifest = manifest;
    loading.transfer = manifest->digest();
    loading.previouslyStaged = std::move(staged);
    loading.stager = std::make_unique<EngineStager>(
            m_environment.engine, m_environment.scheduler, manifest, rollout.version,
            EngineStager::Handlers{[this, manifest](ChunkIndex chunk) {
                                       return m_planner.store().find(manifest->chunks[chunk]);
                                   },
                                   [this, key] { onOrderAccepted(key); },
                                   [this, key] { onServing(key); },
                                   [this, key] { onChunkMissing(key); }},
            layerCount(rollout.model), rollout.confirmation);
    rollout.phase = std::move(loading);
    TransferOrder order;
    order.manifest = *manifest;
    order.originRegion = m_originRegion;
    order.participants = m_participants;
    order.keepOtherVersions = true;
    run(m_planner.start(now(), std::move(order)));
    readPreviouslyStaged(key);
}

void VersionRollout::prepareConfirmation(Rollout &rollout, const Manifest &manifest,
                                         const std::set<ChunkIndex> &staged)
{
    const std::uint32_t layers = layerCount(rollout.model);
    rollout.confirmation->begin({manifest.chunkCount(), layers});
    if (rollout.isServing)
        rollout.confirmation->trust(
                m_lastReport->startTimeMs,
                heldLayers(*m_lastReport, rollout.model, rollout.version, layers));
    for (ChunkIndex i = 0; i < manifest.chunkCount(); ++i) {
        if (!staged.contains(i))
            rollout.confirmation->onChunkCorrupt(i);
    }
}

void VersionRollout::readPreviouslyStaged(const Key &key)
{
    Rollout *rollout = find(key);
    LoadingPhase *loading = rollout ? rollout->loading() : nullptr;
    if (!loading || loading->previouslyStaged.empty())
        return;
    const ChunkIndex chunk = *loading->previouslyStaged.begin();
    loading->previouslyStaged.erase(chunk);
    m_environment.engine.readStaged(
            key.model, chunk, loading->manifest->chunkBytes,
            bindWeak<std::string>(
                    [this, key, chunk, transfer = loading->transfer](Outcome<std::string> outcome) {
                        onPreviouslyStagedRead(key, transfer, chunk, std::move(outcome));
                    }));
}

void VersionRollout::onPreviouslyStagedRead(const Key &key, const Digest &transfer,
                                            ChunkIndex chunk, Outcome<std::string> outcome)
{
    auto *bytes = std::get_if<std::string>(&outcome);
    Rollout *rollout = find(key);
    // The staged bytes may belong to another version.
    const auto manifest = rollout ? rollout->manifest() : nullptr;
    const bool isKnown = manifest && chunk < manifest->chunkCount();
    if (isKnown && (!bytes || Digest::of(*bytes) != manifest->chunks[chunk]))
        rollout->confirmation->onChunkCorrupt(chunk);
    // The planner verifies them as well.
    if (bytes)
        run(m_planner.chunkFound(now(), transfer, chunk,
                                 std::make_shared<const std::string>(std::move(*bytes))));
    readPreviouslyStaged(key);
}

bool VersionRollout::ownsStagingArea(const Rollout &rollout) const
{
    return m_rollouts.at(rollout.model).front().version == rollout.version;
}

void VersionRollout::stage(LoadingPhase &loading, ChunkIndex chunk)
{
    loading.stager->stage(chunk, [this, transfer = loading.transfer, chunk](bool isStaged) {
        // A chunk that the engine did not accept is staged again by the verification before the
        // order.
        run(m_planner.engineAccepted(now(), transfer, chunk));
        if (isStaged)
            onChunkStaged(transfer, chunk);
    });
}

void VersionRollout::onChunkStaged(const Digest &transfer, ChunkIndex chunk)
{
    m_cachedChunks.push_back({transfer, chunk});
    if (m_cachedChunks.size() <= m_options.maxCachedChunks)
        return;
    const CachedChunk oldest = m_cachedChunks.front();
    m_cachedChunks.pop_front();
    run(m_planner.chunkUnloaded(now(), oldest.transfer, oldest.index));
}

void VersionRollout::stageDeferred(Rollout &rollout)
{
    if (LoadingPhase *loading = rollout.loading()) {
        for (const ChunkIndex chunk : std::exchange(loading->deferredChunks, {}))
            stage(*loading, chunk);
    }
}

TimePoint VersionRollout::orderTime(const Rollout &rollout)
{
    if (!rollout.hasWindow || !m_lastReport)
        return now();
    const auto served = std::ranges::find(m_lastReport->models, rollout.model, &ServedModel::model);
    // An engine that serves no version yet does not take turns: it cannot run requests until it has
    // loaded one.
    if (served == m_lastReport->models.end())
        return now();
    LoadSchedule &schedule = m_loadSchedules[rollout.model];
    std::vector<std::string> addresses;
    for (const Participant &it : m_participants)
        addresses.push_back(it.host.value());
    schedule.setEngines(addresses);
    return schedule.loadTime(m_options.self.host.value(), served->version).value_or(now());
}

void VersionRollout::onOrderAccepted(const Key &key)
{
    Rollout *rollout = find(key);
    if (!rollout)
        return;
    if (LoadingPhase *loading = rollout->loading())
        loading->progress = LoadingPhase::Progress::Loaded;
    // Deferred, because the stager must not be destroyed during its own callback.
    scheduleQueueCheck(Duration::zero());
}

void VersionRollout::onServing(const Key &key)
{
    Rollout *rollout = find(key);
    if (!rollout)
        return;
    rollout->isServing = true;
    logStateChange("version_served", {{"model", key.model.value()},
                                      {"version", key.version},
                                      {"ms", toMilliseconds(now() - rollout->wantedAt)}});
    if (LoadingPhase *loading = rollout->loading()) {
        // The response to the order may have been lost.
        loading->progress = LoadingPhase::Progress::Loaded;
        run(m_planner.engineLoaded(now(), loading->transfer));
    }
    for (const Digest &transfer : std::exchange(m_supersededTransfers, {}))
        run(m_planner.cancel(now(), transfer));
    scheduleQueueCheck(Duration::zero());
}

void VersionRollout::onChunkMissing(const Key &key)
{
    Rollout *rollout = find(key);
    LoadingPhase *loading = rollout ? rollout->loading() : nullptr;
    if (!loading)
        return;
    loading->progress = LoadingPhase::Progress::Fetching;
    // Deferred, because the stager must not be destroyed during its own callback.
    loading->restartTimer =
            scheduleStep(*rollout, Duration::zero(), &VersionRollout::restartTransfer);
}

bool VersionRollout::isSuperseded(const Rollout &rollout) const
{
    return m_rollouts.at(rollout.model).back().version != rollout.version;
}

void VersionRollout::restartTransfer(Rollout &rollout)
{
    // The origin may no longer provide a superseded version.
    if (isSuperseded(rollout)) {
        checkQueues();
        return;
    }
    resetTransfer(rollout);
    startIfNeeded(rollout);
}

void VersionRollout::onHaveUpdate(const HostId &peer, const HaveUpdate &update)
{
    startSeeding();
    std::uint64_t version = 0;
    const char *end = update.version.data() + update.version.size();
    if (std::from_chars(update.version.data(), end, version).ptr == end)
        reportIfNewer(ModelId(update.model), version);
    run(m_planner.peerHave(now(), peer, update));
}

void VersionRollout::reportIfNewer(const ModelId &model, std::uint64_t version) const
{
    const auto rollouts = m_rollouts.find(model);
    const bool isNewer = rollouts != m_rollouts.end() && !rollouts->second.empty()
                         && version > rollouts->second.back().version;
    if (isNewer && m_environment.onNewerVersionSeen)
        m_environment.onNewerVersionSeen();
}

void VersionRollout::onChunkRequest(const HostId &peer, const Digest &chunk, UploadId upload)
{
    startSeeding();
    run(m_planner.chunkRequested(now(), peer, chunk, upload));
}

void VersionRollout::logProgress() const
{
    for (const TransferStatus &it : m_planner.status()) {
        if (it.verified == it.chunks)
            continue;
        logStateChange("transfer_progress", {{"transfer", it.transfer.toHex().substr(0, 12)},
                                             {"pieces", it.chunks},
                                             {"verified", it.verified},
                                             {"outstanding", it.outstanding},
                                             {"requests_failed", counters().requestsFailed},
                                             {"requests_stalled", counters().requestsStalled},
                                             {"pieces_corrupt", counters().chunksCorrupt}});
    }
}

void VersionRollout::onManifestRequest(ManifestRequest request)
{
    startSeeding();
    reportIfNewer(request.model, request.version);
    m_manifests->onRequest(std::move(request));
}

void VersionRollout::onUploadFailed(UploadId upload)
{
    run(m_planner.uploadFinished(now(), upload, false));
}

} // namespace godwit
