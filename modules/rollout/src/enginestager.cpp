#include <godwit/rollout/enginestager.h>

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

namespace {

/// One outdated verification is most likely due to a suspension of the process, a second one to the
/// size of the weights.
constexpr std::uint32_t RepetitionsBeforeSplit = 2;
/// After this many, weights that cannot be split further are loaded whatever the verification took:
/// an engine without weights serves no request.
constexpr std::uint32_t MaxRepetitions = 5;

} // namespace

EngineStager::EngineStager(ModelEnginePort &engine, Scheduler &scheduler,
                           std::shared_ptr<const Manifest> manifest, std::uint64_t version,
                           Handlers handlers, std::uint32_t layerCount,
                           std::shared_ptr<LoadConfirmation> confirmation)
    : m_engine(engine)
    , m_scheduler(scheduler)
    , m_manifest(std::move(manifest))
    , m_version(version)
    , m_handlers(std::move(handlers))
    , m_layerCount(std::max(layerCount, 1U))
    , m_layersPerOrder(std::max(m_layerCount - 1, 1U))
    , m_confirmation(confirmation ? std::move(confirmation)
                                  : std::make_shared<LoadConfirmation>(layout()))
{}

void EngineStager::stage(ChunkIndex chunk, std::function<void(bool)> done)
{
    const ChunkBytes bytes = m_handlers.findChunk(chunk);
    if (!bytes) {
        done(false);
        return;
    }
    m_engine.stage(m_manifest->model, chunk, *bytes,
                   bindWeak<Done>([done = std::move(done)](const Outcome<Done> &outcome) {
                       done(succeeded(outcome));
                   }));
}

void EngineStager::scheduleLoad(TimePoint notBefore)
{
    const Duration delay = std::max(Duration::zero(), notBefore - m_scheduler.now());
    runAfter(&EngineStager::pollBeforeOrder, delay);
}

void EngineStager::runAfter(void (EngineStager::*step)(), Duration delay)
{
    m_timer = m_scheduler.after(delay, [this, step] {
        const auto timer = std::move(m_timer);
        (this->*step)();
    });
}

bool servesNewerVersion(const EngineReport &report, const ModelId &model, std::uint64_t version)
{
    return std::ranges::any_of(report.models, [&](const ServedModel &it) {
        return it.model == model && it.version > version;
    });
}

LayerRange heldLayers(const EngineReport &report, const ModelId &model, std::uint64_t version,
                      std::uint32_t layerCount)
{
    if (report.layers && report.layers->version != version)
        return {};
    // The engine may count more layers than the configuration of its service states.
    if (report.layers)
        return {std::min(report.layers->first, layerCount),
                std::min(report.layers->end, layerCount), version};
    const bool isListed =
            std::ranges::find(report.models, ServedModel{model, version}) != report.models.end();
    return isListed ? LayerRange{0, layerCount, version} : LayerRange{};
}

LayerLayout EngineStager::layout() const
{
    return {m_manifest->chunkCount(), m_layerCount};
}

bool EngineStager::isServing(const EngineReport &report) const
{
    const bool isListed = std::ranges::any_of(report.models, [this](const ServedModel &it) {
        return it.model == m_manifest->model && it.version == m_version;
    });
    return isListed && !report.busy && holdsAllLayers(report.layers, m_version, m_layerCount);
}

void EngineStager::pollReport(bool beforeOrder)
{
    m_engine.readReport(
            bindWeak<EngineReport>([this, beforeOrder](const Outcome<EngineReport> &outcome) {
                onReport(beforeOrder, outcome);
            }));
}

void EngineStager::onReport(bool beforeOrder, const Outcome<EngineReport> &outcome)
{
    const auto *report = std::get_if<EngineReport>(&outcome);
    const bool isOutdated = report && servesNewerVersion(*report, m_manifest->model, m_version);
    if (!report || report->busy || isOutdated) {
        runAfter(beforeOrder ? &EngineStager::pollBeforeOrder : &EngineStager::pollAfterOrder,
                 m_expectedLayers > 0 ? PartialPollInterval : ReportPollInterval);
        return;
    }
    m_acceptedOrders = report->acceptedOrders;
    m_engineStartTimeMs = report->startTimeMs;
    m_runningRequests = report->runningRequests;
    const LayerRange held = heldLayers(*report, m_manifest->model, m_version, m_layerCount);
    m_confirmation->onReport(report->startTimeMs, report->acceptedOrders, held);
    if (!m_confirmation->isConfirmed(held)) {
        handleUnconfirmed(held);
        return;
    }
    m_droppedFrom.reset();
    if (isServing(*report)) {
        m_handlers.onServing();
        return;
    }
    // Neither busy nor serving: the order has not been accepted, or the engine has restarted since.
    m_loadsAgain = false;
    selectLayers(*report);
    startVerification();
}

void EngineStager::selectLayers(const EngineReport &report)
{
    const auto &held = report.layers;
    const bool isPartlyLoaded =
            held && held->version == m_version && held->first == 0 && held->end < m_layerCount;
    m_heldLayers = isPartlyLoaded ? held->end : 0;
    const std::uint32_t expected = std::exchange(m_expectedLayers, 0);
    if (m_heldLayers < expected && report.startTimeMs == m_orderedStartTimeMs)
        stopSplitting("layers_not_loaded");
    m_orderedFirst = 0;
    m_orderedEnd = std::min(m_heldLayers + m_layersPerOrder, m_layerCount);
    // Without the last layer the engine serves no requests, so that it waits until the others are
    // confirmed.
    if (m_isSplittable && m_heldLayers + 1 < m_layerCount)
        m_orderedEnd = std::min(m_orderedEnd, m_layerCount - 1);
}

void EngineStager::startVerification()
{
    m_verifiedSince = m_scheduler.now();
    m_readAt = m_verifiedSince;
    verifyStaged(firstChunk());
}

void EngineStager::stopSplitting(std::string_view event)
{
    logStateChange(event,
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"layers", m_heldLayers}},
                   LogLevel::Warning);
    m_isSplittable = false;
    m_layersPerOrder = m_layerCount;
    m_repetitions = std::max(m_repetitions, RepetitionsBeforeSplit);
}

ChunkIndex EngineStager::firstChunk() const
{
    return layout().firstChunk(std::max(m_heldLayers, m_orderedFirst));
}

ChunkIndex EngineStager::endChunk() const
{
    // The chunks of the last layer are verified with the others, so that one that must be fetched
    // again is found while the engine still serves the earlier version.
    if (m_heldLayers == 0 && m_orderedFirst == 0 && m_orderedEnd + 1 == m_layerCount)
        return m_manifest->chunkCount();
    return layout().endChunk(m_orderedEnd);
}

EngineStager::AgeLimit EngineStager::ageLimit() const
{
    if (canSplit() || m_repetitions < RepetitionsBeforeSplit)
        return AgeLimit::Verification;
    return m_repetitions < MaxRepetitions ? AgeLimit::Read : AgeLimit::None;
}

bool EngineStager::isVerificationOutdated() const
{
    const AgeLimit limit = ageLimit();
    const TimePoint since = limit == AgeLimit::Verification ? m_verifiedSince : m_readAt;
    return limit != AgeLimit::None && m_scheduler.now() - since > MaxVerificationAge;
}

void EngineStager::repeatVerification(ChunkIndex reached)
{
    logStateChange("verification_outdated",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"layers", m_orderedEnd - m_heldLayers},
                    {"pieces", reached - firstChunk()},
                    {"ms", toMilliseconds(m_scheduler.now() - m_verifiedSince)},
                    {"last_read_ms", toMilliseconds(m_scheduler.now() - m_readAt)}},
                   LogLevel::Warning);
    ++m_repetitions;
    if (m_repetitions >= RepetitionsBeforeSplit && canSplit()) {
        m_layersPerOrder /= 2;
        m_repetitions = RepetitionsBeforeSplit - 1;
    }
    pollBeforeOrder();
}

void EngineStager::verifyStaged(ChunkIndex chunk)
{
    if (isVerificationOutdated()) {
        repeatVerification(chunk);
        return;
    }
    if (chunk >= endChunk()) {
        sendOrder();
        return;
    }
    m_readAt = m_scheduler.now();
    m_engine.readStaged(m_manifest->model, chunk, m_manifest->chunkSize(chunk),
                        bindWeak<std::string>([this, chunk](const Outcome<std::string> &outcome) {
                            onStagedRead(chunk, outcome);
                        }));
}

bool EngineStager::isIntact(ChunkIndex chunk, const Outcome<std::string> &outcome) const
{
    const auto *bytes = std::get_if<std::string>(&outcome);
    return bytes && Digest::of(*bytes) == m_manifest->chunks[chunk];
}

bool EngineStager::isUnusable(ChunkIndex chunk, const Error &error)
{
    if (error.code == ResultCode::NotFound)
        return true;
    // Staged bytes of a wrong length make each response unreadable, a failure of the engine one.
    return error.code == ResultCode::PlatformBadReply
           && std::exchange(m_unreadableChunk, chunk) == chunk;
}

void EngineStager::onStagedRead(ChunkIndex chunk, const Outcome<std::string> &outcome)
{
    if (isIntact(chunk, outcome)) {
        verifyStaged(chunk + 1);
        return;
    }
    const auto *error = std::get_if<Error>(&outcome);
    if (error && !isUnusable(chunk, *error)) {
        runAfter(&EngineStager::pollBeforeOrder, RetryInterval);
        return;
    }
    const bool isMissing = error && error->code == ResultCode::NotFound;
    logStateChange("staged_piece_replaced",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"piece", chunk},
                    {"found", isMissing ? "nothing" : "other bytes"}},
                   LogLevel::Warning);
    m_unreadableChunk.reset();
    m_confirmation->onChunkCorrupt(chunk);
    restage(chunk);
}

void EngineStager::restage(ChunkIndex chunk)
{
    if (!m_handlers.findChunk(chunk)) {
        m_handlers.onChunkMissing();
        return;
    }
    stage(chunk, [this, chunk](bool ok) {
        if (ok)
            verifyStaged(chunk);
        else
            runAfter(&EngineStager::pollBeforeOrder, RetryInterval);
    });
}

void EngineStager::sendOrder()
{
    EngineLoadOrder order;
    order.model = m_manifest->model;
    order.version = m_version;
    order.expectedAcceptedOrders = m_acceptedOrders;
    // The engine keeps the layers that it holds and loads the others of the range.
    const LayerRange layers{m_orderedFirst, m_orderedEnd, m_version};
    if (m_heldLayers > 0 || layers.first > 0 || layers.end < m_layerCount)
        order.layers = layers;
    if (ageLimit() == AgeLimit::Verification)
        order.sendBefore = m_verifiedSince + MaxVerificationAge;
    logStateChange("load_ordered",
                   {{"model", order.model.value()},
                    {"version", m_version},
                    {"layers_before", std::max(m_heldLayers, m_orderedFirst)},
                    {"layers", m_orderedEnd},
                    {"verified_ms", toMilliseconds(m_scheduler.now() - m_verifiedSince)},
                    {"orders_before", m_acceptedOrders},
                    {"running", m_runningRequests},
                    {"engine_born_ms", m_engineStartTimeMs}});
    m_confirmation->onOrderSent(layers, m_verifiedSince);
    m_engine.load(order, bindWeak<OrderAcceptance>([this](const Outcome<OrderAcceptance> &outcome) {
                      onOrderResult(outcome);
                  }));
}

void EngineStager::onOrderResult(const Outcome<OrderAcceptance> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome)) {
        onOrderError(*error);
        return;
    }
    if (std::get<OrderAcceptance>(outcome) == OrderAcceptance::InEffect) {
        onOrderInEffect();
        return;
    }
    const bool isConfirmed = m_confirmation->onOrderBegun(m_scheduler.now());
    // The age is an upper bound: the engine accepted the order at some time before the response.
    logStateChange("load_accepted",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"layers", m_orderedEnd},
                    {"verified_ms", toMilliseconds(m_scheduler.now() - m_verifiedSince)},
                    {"confirmed", isConfirmed}},
                   isConfirmed ? LogLevel::Info : LogLevel::Warning);
    if (m_orderedEnd == m_layerCount) {
        runAfter(&EngineStager::pollAfterOrder, ReportPollInterval);
        if (isConfirmed && m_orderedFirst == 0)
            m_handlers.onOrderAccepted();
        return;
    }
    // The staged chunks of the other layers are still needed.
    m_expectedLayers = m_orderedEnd;
    m_orderedStartTimeMs = m_engineStartTimeMs;
    runAfter(&EngineStager::pollAfterOrder, PartialPollInterval);
}

void EngineStager::onOrderError(const Error &error)
{
    if (error.code == ResultCode::NotSent) {
        m_confirmation->onOrderWithoutEffect();
        repeatVerification(endChunk());
        return;
    }
    const bool isCertain = error.code == ResultCode::CompareFailed
                           || error.code == ResultCode::PlatformRejected
                           || error.code == ResultCode::PlatformRefused
                           || error.code == ResultCode::PlatformUnreachable;
    logStateChange("load_order_failed",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"verified_ms", toMilliseconds(m_scheduler.now() - m_verifiedSince)},
                    {"accepted", isCertain ? "no" : "unknown"},
                    {"problem", toString(error)}},
                   LogLevel::Warning);
    if (isCertain)
        m_confirmation->onOrderWithoutEffect();
    else
        m_confirmation->onOrderUncertain();
    if (error.code == ResultCode::PlatformRejected && canSplit())
        stopSplitting("layers_not_loaded");
    runAfter(&EngineStager::pollAfterOrder, RetryInterval);
}

} // namespace godwit
