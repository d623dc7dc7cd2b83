#include "weightsagent.h"

#include <godwit/observe/log.h>
#include <godwit/weights/chunksource.h>
#include <godwit/wire/wiremessage.h>

namespace godwit {

namespace {

constexpr Duration MaxFetchBackoff = std::chrono::seconds(10);
constexpr Duration ProgressInterval = std::chrono::milliseconds(200);
constexpr double BitsPerByte = 8;

TransferSettings transferSettings(const DaemonSettings &settings)
{
    TransferSettings result;
    const LinkSettings &links = settings.links;
    const auto set = [](double &rate, std::uint64_t bits) {
        if (bits > 0)
            rate = static_cast<double>(bits) / BitsPerByte;
    };
    set(result.hostRate, links.downloadBitsPerSecond);
    set(result.originRate, links.originBitsPerSecond);
    set(result.regionLinkRate, links.interRegionBitsPerSecond);
    result.windowBytes = settings.weights.windowBytes;
    result.uploadSlots = settings.weights.uploadSlots;
    result.retainingHosts = settings.weights.chunkReplicasPerRegion;
    return result;
}

std::string objectName(const ModelPin &pin)
{
    return toString(pin);
}

} // namespace

WeightsAgent::WeightsAgent(const DaemonSettings &settings, ControlIo &io, Environment environment,
                           std::uint64_t seed)
    : m_settings(settings)
    , m_io(io)
    , m_environment(std::move(environment))
    , m_planner(settings.host, transferSettings(settings), seed)
{}

void WeightsAgent::setConfiguration(TimePoint now,
                                    std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    for (auto &[item, transfer] : m_transfers) {
        if (!transfer.started)
            continue;
        const auto order = orderFor(transfer);
        if (!order)
            continue;
        for (const auto &peer : order->participants)
            run(m_planner.peerJoined(now, transfer.digest, peer));
    }
    removeObsoleteTransfers(now);
}

void WeightsAgent::removeObsoleteTransfers(TimePoint now)
{
    for (auto it = m_transfers.begin(); it != m_transfers.end();) {
        if (orderFor(it->second)) {
            ++it;
            continue;
        }
        if (it->second.started)
            run(m_planner.cancel(now, it->second.digest));
        m_environment.cancelUploads(it->second.digest);
        it = m_transfers.erase(it);
    }
}

void WeightsAgent::tick(TimePoint now)
{
    if (const auto due = m_planner.nextTick(); due && now >= *due)
        run(m_planner.tick(now));
    for (auto &[item, transfer] : m_transfers) {
        if (!transfer.manifest && !transfer.fetching && now >= transfer.nextFetch)
            fetchManifest(transfer);
    }
}

void WeightsAgent::onLoadRequested(TimePoint now, const LoadedModel &item)
{
    const auto digest = manifestDigest(item);
    if (!digest) {
        for (auto *engine : enginesLoading(item))
            engine->failLoad(item, {ResultCode::NotFound, "the version has no manifest"});
        return;
    }
    Transfer &transfer = m_transfers[item];
    transfer.item = item;
    transfer.digest = *digest;
    if (transfer.started) {
        // The engine has lost the weights or another engine needs them, so the transfer restarts.
        run(m_planner.cancel(now, transfer.digest));
        transfer.started = false;
    }
    transfer.undelivered.clear();
    transfer.engines.clear();
    transfer.finishRequested = false;
    if (transfer.manifest)
        startTransfer(transfer);
}

void WeightsAgent::onLoadEnded(TimePoint now, const LoadedModel &item, bool success)
{
    const auto it = m_transfers.find(item);
    if (it == m_transfers.end() || !it->second.started)
        return;
    if (success)
        run(m_planner.engineLoaded(now, it->second.digest));
    else
        run(m_planner.engineFailed(
                now, it->second.digest,
                {ResultCode::EngineLoadFailed, "the load on the engine failed or was cancelled"}));
}

void WeightsAgent::fetchManifest(Transfer &transfer)
{
    transfer.fetching = true;
    auto done = m_io.controlCallback<Outcome<std::string>>(
            [this, item = transfer.item](const Outcome<std::string> &outcome) {
                manifestRead(item, outcome);
            });
    m_io.post([&io = m_io, pin = pinOf(transfer.item), done] {
        io.weightStore().fetchManifest(pin, done);
    });
}

void WeightsAgent::manifestRead(const LoadedModel &item, const Outcome<std::string> &outcome)
{
    const auto it = m_transfers.find(item);
    if (it == m_transfers.end() || it->second.manifest)
        return;
    Transfer &transfer = it->second;
    transfer.fetching = false;
    transfer.nextFetch = MonotonicClock::now() + transfer.backoff;
    transfer.backoff = std::min(transfer.backoff * 2, MaxFetchBackoff);
    if (!succeeded(outcome))
        return;
    auto parsed = capture([&] { return parseManifest(std::get<0>(outcome)); });
    if (!succeeded(parsed) || std::get<0>(parsed).digest() != transfer.digest) {
        logStateChange("manifest_refused",
                       {{"item", toJson(item)},
                        {"problem", succeeded(parsed)
                                            ? "the manifest digest differs from the configured one"
                                            : toString(std::get<1>(parsed))}},
                       LogLevel::Warning);
        return;
    }
    transfer.manifest = std::make_shared<const Manifest>(std::move(std::get<0>(parsed)));
    startTransfer(transfer);
}

void WeightsAgent::startTransfer(Transfer &transfer)
{
    const Manifest &manifest = *transfer.manifest;
    for (auto *engine : enginesLoading(transfer.item)) {
        if (transfer.engines.insert(engine->settings().id).second)
            engine->beginLoad(transfer.item, manifest.content, manifest.totalBytes,
                              manifest.baseVersion);
    }
}

void WeightsAgent::onLoadStarted(TimePoint now, const LoadedModel &item)
{
    const auto it = m_transfers.find(item);
    if (it == m_transfers.end() || !it->second.manifest || it->second.started)
        return;
    Transfer &transfer = it->second;
    auto order = orderFor(transfer);
    if (!order)
        return;
    transfer.started = true;
    run(m_planner.start(now, std::move(*order)));
}

std::optional<Digest> WeightsAgent::manifestDigest(const LoadedModel &item) const
{
    if (!m_configuration)
        return std::nullopt;
    const std::map<VersionId, ModelVersion> *versions = nullptr;
    if (item.adapter.empty()) {
        const auto it = m_configuration->models.find(item.model);
        versions = it == m_configuration->models.end() ? nullptr : &it->second.versions;
    } else {
        const auto it = m_configuration->adapters.find(item.adapter);
        versions = it == m_configuration->adapters.end() ? nullptr : &it->second.versions;
    }
    if (!versions || !versions->contains(item.version))
        return std::nullopt;
    return versions->at(item.version).manifest;
}

// The first order that places the model on this host determines the parameters of the transfer.
std::optional<TransferOrder> WeightsAgent::orderFor(const Transfer &transfer) const
{
    if (!m_configuration)
        return std::nullopt;
    const LoadedModel &item = transfer.item;
    for (const auto &[id, order] : m_configuration->orders) {
        // In an order for an adapter, the base model has a separate version.
        const bool isBase = item.adapter.empty() && !order.adapter.empty();
        const bool fits = order.state != OrderState::Cancelled && order.model == item.model
                          && (item.adapter.empty() || order.adapter == item.adapter);
        if (!fits || std::ranges::find(order.hosts, m_settings.host) == order.hosts.end())
            continue;
        const auto deployment = m_configuration->deployments.find(order.deployment);
        if (deployment == m_configuration->deployments.end())
            continue;
        const DeploymentOptions &options = deployment->second.options;
        TransferOrder result;
        if (transfer.manifest)
            result.manifest = *transfer.manifest;
        result.originRegion = m_settings.originRegion;
        result.policy =
                order.weightsPolicy.value_or(options.weightsPolicy) == WeightsPolicy::TimeFirst
                        ? TransferPolicy::TimeFirst
                        : TransferPolicy::BytesFirst;
        result.weight = order.priority.value_or(options.priority);
        result.participants = m_environment.participants(
                isBase ? order.hosts : hostsWithVersion(order, item.version));
        return result;
    }
    return std::nullopt;
}

std::vector<EngineAgent *> WeightsAgent::enginesLoading(const LoadedModel &item) const
{
    auto engines = m_environment.engines();
    std::erase_if(engines, [&](const EngineAgent *it) { return !it->isLoading(item); });
    return engines;
}

WeightsAgent::Transfer *WeightsAgent::find(const Digest &transfer)
{
    for (auto &[item, candidate] : m_transfers) {
        if (candidate.digest == transfer)
            return &candidate;
    }
    return nullptr;
}

void WeightsAgent::peerLeft(TimePoint now, const HostId &peer)
{
    run(m_planner.peerLeft(now, peer));
}

void WeightsAgent::peerChanged(TimePoint now, const Participant &peer)
{
    if (!m_configuration)
        return;
    for (const auto &[item, transfer] : m_transfers) {
        const auto order = transfer.started ? orderFor(transfer) : std::nullopt;
        if (!order)
            continue;
        for (const auto &participant : order->participants) {
            if (participant.host == peer.host)
                run(m_planner.peerJoined(now, transfer.digest, peer));
        }
    }
}

void WeightsAgent::onHaveUpdate(TimePoint now, const HostId &peer, const HaveUpdate &update)
{
    run(m_planner.peerHave(now, peer, update));
}

void WeightsAgent::chunkRequested(TimePoint now, const HostId &peer, const Digest &digest,
                                  UploadId upload)
{
    run(m_planner.chunkRequested(now, peer, digest, upload));
}

void WeightsAgent::uploadFinished(TimePoint now, UploadId upload, bool isDelivered)
{
    run(m_planner.uploadFinished(now, upload, isDelivered));
}

std::uint32_t WeightsAgent::transferPercent(const ModelPin &pin) const
{
    const auto it = m_transfers.find(loadedModelOf(pin));
    if (it == m_transfers.end())
        return 0;
    for (const auto &status : m_planner.status()) {
        if (status.transfer == it->second.digest && status.chunks > 0)
            return status.verified * 100 / status.chunks;
    }
    return 0;
}

void WeightsAgent::run(const TransferActions &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &it) { execute(it); }, action);
}

void WeightsAgent::execute(const RequestChunk &action)
{
    Transfer *transfer = find(action.transfer);
    const auto endpoint = action.source ? m_environment.endpointOf(*action.source) : std::nullopt;
    if (!transfer || !transfer->manifest || (action.source && !endpoint)) {
        m_io.controlCallback<Outcome<std::string>>(
                [this, id = action.request](const auto &outcome) { chunkDone(id, outcome); })(
                Error{ResultCode::PlatformUnreachable, "the address of the peer is unknown"});
        return;
    }
    m_downloads.emplace(action.request, std::make_shared<Download>());
    if (action.source)
        requestFromPeer(action, *endpoint);
    else
        requestFromOrigin(action, *transfer);
}

void WeightsAgent::requestFromOrigin(const RequestChunk &action, const Transfer &transfer)
{
    auto done = m_io.controlCallback<Outcome<std::string>>(
            [this, id = action.request](const Outcome<std::string> &outcome) {
                chunkDone(id, outcome);
            });
    const std::uint64_t offset = std::uint64_t{action.chunk} * transfer.manifest->chunkBytes;
    m_io.post([&io = m_io, download = m_downloads.at(action.request),
               object = objectName(pinOf(transfer.item)), offset, length = action.bytes,
               done] { download->call = io.origin().readRange(object, offset, length, done); });
}

void WeightsAgent::requestFromPeer(const RequestChunk &action, const Endpoint &endpoint)
{
    const auto download = m_downloads.at(action.request);
    auto done = m_io.controlCallback<Outcome<std::string>>(
            [this, id = action.request](const Outcome<std::string> &outcome) {
                chunkDone(id, outcome);
            });
    auto progress = m_io.controlCallback<ChunkRequestId>(
            [this](ChunkRequestId id) { m_planner.chunkProgress(MonotonicClock::now(), id); });
    m_io.post([&io = m_io, &settings = m_settings, download, done, progress, endpoint, action] {
        StreamEvents events;
        events.onHeaders = [download](const WireHeaders &headers) {
            download->code = resultCodeOf(headers);
        };
        events.onData = [download, progress, action](std::string_view bytes) {
            // One byte more than expected is enough for the planner to reject the chunk.
            if (download->bytes.size() <= action.bytes)
                download->bytes += bytes;
            const TimePoint now = MonotonicClock::now();
            if (now >= download->nextProgress) {
                download->nextProgress = now + ProgressInterval;
                progress(action.request);
            }
        };
        events.onEnd = [download, done](const WireFields &) {
            if (download->code == ResultCode::Ok)
                done(std::move(download->bytes));
            else
                done(Error{download->code, "the peer refused the chunk"});
        };
        events.onError = [done](const Error &error) { done(error); };
        download->stream =
                io.peers().client(endpoint).open("/chunks/get",
                                                 {{"x-godwit-host", settings.host.value()},
                                                  {"x-godwit-digest", action.digest.toHex()}},
                                                 std::move(events));
        download->stream->finish();
    });
}

void WeightsAgent::chunkDone(ChunkRequestId request, const Outcome<std::string> &outcome)
{
    m_downloads.erase(request);
    const TimePoint now = MonotonicClock::now();
    if (const auto *error = std::get_if<Error>(&outcome)) {
        run(m_planner.chunkFailed(now, request, chunkSourceCode(error->code)));
        return;
    }
    run(m_planner.chunkArrived(now, request,
                               std::make_shared<const std::string>(std::get<0>(outcome))));
}

void WeightsAgent::execute(const CancelRequest &action)
{
    const auto it = m_downloads.find(action.request);
    if (it == m_downloads.end())
        return;
    m_io.post([download = it->second] {
        if (download->call)
            download->call->cancel();
        if (download->stream)
            download->stream->cancel();
    });
    m_downloads.erase(it);
}

void WeightsAgent::execute(const AnnounceHave &action)
{
    if (const auto endpoint = m_environment.endpointOf(action.peer))
        m_io.callOneWay(*endpoint, "/chunks/have", toJsonText(action.update));
}

void WeightsAgent::execute(const ServeChunk &action)
{
    m_environment.serveUpload(
            {action.upload, action.bytes, action.transfer, action.weight, action.region});
}

void WeightsAgent::execute(const RefuseChunk &action)
{
    m_environment.refuseUpload(action.upload, action.code);
}

void WeightsAgent::execute(const DeliverToEngine &action)
{
    Transfer *transfer = find(action.transfer);
    if (!transfer)
        return;
    const LoadedModel item = transfer->item;
    const std::uint64_t offset = std::uint64_t{action.chunk} * transfer->manifest->chunkBytes;
    const auto targets = enginesLoading(item);
    transfer->undelivered[action.chunk] = static_cast<std::uint32_t>(targets.size());
    for (auto *engine : targets) {
        engine->supplyWeights(item, offset, action.bytes,
                              [this, digest = action.transfer, chunk = action.chunk,
                               item](bool ok) { chunkDelivered(digest, chunk, item, ok); });
    }
}

void WeightsAgent::chunkDelivered(const Digest &digest, ChunkIndex chunk, const LoadedModel &item,
                                  bool ok)
{
    Transfer *transfer = find(digest);
    if (!transfer)
        return;
    if (!ok) {
        for (auto *engine : enginesLoading(item))
            engine->failLoad(item,
                             {ResultCode::EngineLoadFailed, "the engine rejected the weights"});
        return;
    }
    const auto it = transfer->undelivered.find(chunk);
    if (it == transfer->undelivered.end() || --it->second > 0)
        return;
    transfer->undelivered.erase(it);
    run(m_planner.engineAccepted(MonotonicClock::now(), digest, chunk));
}

void WeightsAgent::execute(const FinishLoad &action)
{
    const Transfer *transfer = find(action.transfer);
    if (!transfer)
        return;
    const LoadedModel item = transfer->item;
    for (auto *engine : enginesLoading(item))
        engine->finishLoad(item);
}

void WeightsAgent::execute(const ReportServable &action)
{
    if (const Transfer *transfer = find(action.transfer))
        logStateChange("weights_servable", {{"item", toJson(transfer->item)}});
}

void WeightsAgent::execute(const ReportFailed &action)
{
    Transfer *transfer = find(action.transfer);
    if (!transfer)
        return;
    transfer->started = false;
    logStateChange("transfer_failed",
                   {{"item", toJson(transfer->item)}, {"problem", toString(action.error)}},
                   LogLevel::Warning);
    const LoadedModel item = transfer->item;
    for (auto *engine : enginesLoading(item))
        engine->failLoad(item, action.error);
}

} // namespace godwit
