#include <godwit/rollout/versionrollout.h>

#include <godwit/observe/log.h>
#include <godwit/weights/chunksource.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration ManifestRetry = std::chrono::milliseconds(300);

} // namespace

VersionRollout::VersionRollout(RolloutOptions options, Environment environment, Random random)
    : m_options(std::move(options))
    , m_environment(std::move(environment))
    , m_random(random)
    , m_planner(m_options.self, m_options.transfer, m_random())
{}

VersionRollout::~VersionRollout() = default;

VersionRollout::Rollout *VersionRollout::find(const Key &key)
{
    const auto rollouts = m_rollouts.find(key.model);
    if (rollouts == m_rollouts.end())
        return nullptr;
    const auto it = std::ranges::find(rollouts->second, key.version, &Rollout::version);
    return it == rollouts->second.end() ? nullptr : &*it;
}

VersionRollout::Rollout *VersionRollout::find(const Digest &transfer)
{
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts) {
            if (it.stager && it.transfer == transfer)
                return &it;
        }
    }
    return nullptr;
}

void VersionRollout::setOrigin(std::shared_ptr<PieceOriginPort> origin, RegionId region)
{
    m_origin = std::move(origin);
    m_originRegion = std::move(region);
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts)
            begin(it);
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
        for (const auto &[model, rollouts] : m_rollouts) {
            for (const Rollout &rollout : rollouts) {
                if (rollout.stager)
                    run(m_planner.peerJoined(now(), rollout.transfer, it));
            }
        }
    }
}

void VersionRollout::want(const ModelId &model, std::uint64_t version,
                          const std::optional<VersionWindow> &terms)
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
    rollout.isNew = terms.has_value();
    if (terms)
        m_schedules[model].announceVersion(version, *terms);
    logStateChange("rollout_begun",
                   {{"model", model.value()}, {"version", version}, {"previous", previous}});
    if (!rollouts.front().staged)
        endOlder(rollout);
    checkEngine();
}

void VersionRollout::endOlder(const Rollout &rollout)
{
    Rollouts &rollouts = m_rollouts.at(rollout.model);
    while (rollouts.front().version < rollout.version) {
        const Rollout ended = std::move(rollouts.front());
        rollouts.pop_front();
        if (!ended.stager)
            continue;
        if (ended.complete)
            m_outdated.push_back(ended.transfer);
        else
            run(m_planner.cancel(now(), ended.transfer));
    }
    stageHeld(rollouts.front());
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
    m_report = *report;
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts)
            compare(*report, it);
    }
}

void VersionRollout::compare(const EngineReport &report, Rollout &rollout)
{
    const ServedModel wanted{rollout.model, rollout.version};
    const bool serving = std::ranges::find(report.models, wanted) != report.models.end();
    if (serving && !rollout.serving && !rollout.stager) {
        // It had the version before this process began.
        rollout.serving = true;
    } else if (!serving && rollout.serving && !report.busy) {
        logStateChange("engine_lost_weights",
                       {{"model", rollout.model.value()},
                        {"version", rollout.version},
                        {"engine_born_ms", report.bornMs}},
                       LogLevel::Warning);
        rollout.serving = false;
        restart(rollout);
    }
    begin(rollout);
}

void VersionRollout::begin(Rollout &rollout)
{
    const bool begun = rollout.manifest || rollout.reading || rollout.retry;
    if (m_origin && !rollout.serving && !begun)
        readManifest(rollout);
}

void VersionRollout::restart(Rollout &rollout)
{
    if (rollout.stager) {
        rollout.stager.reset();
        run(m_planner.cancel(now(), rollout.transfer));
    }
    rollout.manifest.reset();
    rollout.held.clear();
    rollout.complete = false;
    rollout.staged = false;
    rollout.reading = false;
}

void VersionRollout::seed()
{
    for (auto &[model, rollouts] : m_rollouts) {
        for (Rollout &it : rollouts) {
            if (m_origin && it.serving && !it.manifest && !it.reading && !it.retry)
                readManifest(it);
        }
    }
}

void VersionRollout::readManifest(Rollout &rollout)
{
    rollout.reading = true;
    m_origin->readManifest(
            rollout.model, rollout.version,
            guarded<Manifest>([this, key = keyOf(rollout)](const Outcome<Manifest> &outcome) {
                manifestRead(key, outcome);
            }));
}

void VersionRollout::manifestRead(const Key &key, const Outcome<Manifest> &outcome)
{
    Rollout *rollout = find(key);
    if (!rollout || !rollout->reading)
        return;
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logStateChange("manifest_failed",
                       {{"model", key.model.value()},
                        {"version", key.version},
                        {"problem", toString(*error)}},
                       LogLevel::Warning);
        rollout->reading = false;
        later(*rollout, ManifestRetry, &VersionRollout::begin);
        if (m_environment.originFailed)
            m_environment.originFailed();
        return;
    }
    rollout->manifest = std::make_shared<const Manifest>(std::get<0>(outcome));
    m_environment.engine.listStaged(
            key.model,
            guarded<std::set<ChunkIndex>>([this, key](const Outcome<std::set<ChunkIndex>> &staged) {
                stagedListed(key, staged);
            }));
}

void VersionRollout::later(Rollout &rollout, Duration delay,
                           void (VersionRollout::*step)(Rollout &))
{
    const auto jittered = std::chrono::duration_cast<Duration>(delay * (0.5 + m_random.uniform()));
    rollout.retry = m_environment.scheduler.after(jittered, [this, key = keyOf(rollout), step] {
        Rollout *found = find(key);
        if (!found)
            return;
        const auto timer = std::move(found->retry);
        (this->*step)(*found);
    });
}

void VersionRollout::stagedListed(const Key &key, const Outcome<std::set<ChunkIndex>> &outcome)
{
    Rollout *rollout = find(key);
    if (!rollout || !rollout->reading)
        return;
    rollout->reading = false;
    if (const auto *staged = std::get_if<std::set<ChunkIndex>>(&outcome))
        rollout->ownCopies = *staged;
    startTransfer(*rollout);
}

void VersionRollout::startTransfer(Rollout &rollout)
{
    const auto manifest = rollout.manifest;
    const Key key = keyOf(rollout);
    rollout.transfer = manifest->digest();
    rollout.stager = std::make_unique<EngineStager>(
            m_environment.engine, m_environment.scheduler, manifest, rollout.version,
            EngineStager::Handlers{[this, manifest](ChunkIndex piece) {
                                       return m_planner.store().find(manifest->chunks[piece]);
                                   },
                                   [this, key] { ordered(key); }, [this, key] { served(key); },
                                   [this, key] { incomplete(key); }});
    logStateChange("transfer_begun", {{"model", rollout.model.value()},
                                      {"version", rollout.version},
                                      {"own_copies", rollout.ownCopies.size()},
                                      {"hosts", m_participants.size()},
                                      {"engine_has_version", rollout.serving}});
    TransferOrder order;
    order.manifest = *manifest;
    order.originRegion = m_originRegion;
    order.participants = m_participants;
    order.keepOtherVersions = true;
    run(m_planner.start(now(), std::move(order)));
    readOwnCopies(key);
}

void VersionRollout::readOwnCopies(const Key &key)
{
    Rollout *rollout = find(key);
    if (!rollout || !rollout->stager || rollout->ownCopies.empty())
        return;
    const ChunkIndex piece = *rollout->ownCopies.begin();
    rollout->ownCopies.erase(piece);
    m_environment.engine.readStaged(
            key.model, piece,
            guarded<std::string>(
                    [this, key, piece, transfer = rollout->transfer](Outcome<std::string> outcome) {
                        // Staged bytes may be of another version, or rotten; the planner checks
                        // them.
                        if (auto *bytes = std::get_if<std::string>(&outcome))
                            run(m_planner.chunkFound(
                                    now(), transfer, piece,
                                    std::make_shared<const std::string>(std::move(*bytes))));
                        readOwnCopies(key);
                    }));
}

bool VersionRollout::usesStagingArea(const Rollout &rollout) const
{
    return m_rollouts.at(rollout.model).front().version == rollout.version;
}

void VersionRollout::stage(Rollout &rollout, ChunkIndex piece)
{
    rollout.stager->stage(piece, [this, transfer = rollout.transfer, piece](bool isStaged) {
        // A piece that the engine did not take is put again by the check before the order.
        run(m_planner.engineAccepted(now(), transfer, piece));
        if (isStaged)
            accepted(transfer, piece);
    });
}

void VersionRollout::accepted(const Digest &transfer, ChunkIndex piece)
{
    m_recent.push_back({transfer, piece});
    if (m_recent.size() <= m_options.piecesInMemory)
        return;
    const Piece oldest = m_recent.front();
    m_recent.pop_front();
    run(m_planner.chunkUnloaded(now(), oldest.transfer, oldest.index));
}

void VersionRollout::stageHeld(Rollout &rollout)
{
    for (const ChunkIndex piece : std::exchange(rollout.held, {})) {
        if (rollout.stager)
            stage(rollout, piece);
    }
}

TimePoint VersionRollout::orderTime(const Rollout &rollout)
{
    const auto served = std::ranges::find(m_report.models, rollout.model, &ServedModel::model);
    // An engine that cannot answer requests until it has loaded needs no turn.
    if (!rollout.isNew || served == m_report.models.end())
        return now();
    LoadSchedule &schedule = m_schedules[rollout.model];
    std::vector<std::string> addresses;
    for (const Participant &it : m_participants)
        addresses.push_back(it.host.value());
    schedule.setEngines(addresses);
    return schedule.loadTime(m_options.self.value(), served->version).value_or(now());
}

void VersionRollout::ordered(const Key &key)
{
    Rollout *rollout = find(key);
    if (!rollout)
        return;
    rollout->staged = false;
    if (m_rollouts.at(key.model).back().version == key.version)
        return;
    // The engine reads the staged pieces when it accepts the order; the area is free for the next
    // version. Not at once: the stager that reports this must not be destroyed by its own call.
    later(*rollout, Duration::zero(), &VersionRollout::endRollout);
}

void VersionRollout::endRollout(Rollout &rollout)
{
    const auto &rollouts = m_rollouts.at(rollout.model);
    const auto next = std::ranges::find_if(
            rollouts, [&](const Rollout &it) { return it.version > rollout.version; });
    if (next != rollouts.end())
        endOlder(*next);
}

void VersionRollout::served(const Key &key)
{
    Rollout *rollout = find(key);
    if (!rollout)
        return;
    rollout->serving = true;
    rollout->staged = false;
    logStateChange("version_served", {{"model", key.model.value()},
                                      {"version", key.version},
                                      {"ms", toMilliseconds(now() - rollout->wantedAt)}});
    run(m_planner.engineLoaded(now(), rollout->transfer));
    for (const Digest &transfer : std::exchange(m_outdated, {}))
        run(m_planner.cancel(now(), transfer));
}

void VersionRollout::incomplete(const Key &key)
{
    // Not at once: the stager that reports this must not be destroyed by its own call.
    if (Rollout *rollout = find(key))
        later(*rollout, Duration::zero(), &VersionRollout::restartNow);
}

void VersionRollout::restartNow(Rollout &rollout)
{
    restart(rollout);
    begin(rollout);
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

void VersionRollout::uploadFailed(UploadId upload)
{
    run(m_planner.uploadFinished(now(), upload, false));
}

} // namespace godwit
