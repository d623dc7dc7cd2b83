// The part of EngineStager that confirms loads and has corrupt layers loaded again.
#include <godwit/rollout/enginestager.h>

#include <godwit/observe/log.h>

namespace godwit {

void EngineStager::handleUnconfirmed(const LayerRange &held)
{
    m_expectedLayers = 0;
    if (m_droppedFrom && m_scheduler.now() < *m_droppedFrom) {
        runAfter(&EngineStager::pollAfterOrder, PartialPollInterval);
        return;
    }
    if (std::exchange(m_droppedFrom, std::nullopt))
        stopSplitting("layers_not_dropped");
    m_recheckedLayers = held;
    m_rereadLayers = m_confirmation->unconfirmed(held);
    recheck(layout().firstChunk(m_rereadLayers.first));
}

void EngineStager::recheck(ChunkIndex chunk)
{
    if (chunk >= layout().endChunk(m_rereadLayers.end)) {
        finishRecheck();
        return;
    }
    m_engine.readStaged(m_manifest->model, chunk, m_manifest->chunkSize(chunk),
                        bindWeak<std::string>([this, chunk](const Outcome<std::string> &outcome) {
                            onRechecked(chunk, outcome);
                        }));
}

void EngineStager::onRechecked(ChunkIndex chunk, const Outcome<std::string> &outcome)
{
    if (!isIntact(chunk, outcome)) {
        const auto *error = std::get_if<Error>(&outcome);
        if (error && !isUnusable(chunk, *error)) {
            runAfter(&EngineStager::pollAfterOrder, RetryInterval);
            return;
        }
        // It is replaced when it is verified before the next order.
        m_unreadableChunk.reset();
        m_confirmation->onChunkCorrupt(chunk);
    }
    recheck(chunk + 1);
}

void EngineStager::finishRecheck()
{
    // Another report may have shown meanwhile that the engine has lost layers.
    if (m_confirmation->unconfirmed(m_recheckedLayers) != m_rereadLayers) {
        pollAfterOrder();
        return;
    }
    m_confirmation->onAllRead(m_recheckedLayers);
    const bool isConfirmed = m_confirmation->isConfirmed(m_recheckedLayers);
    logStateChange(isConfirmed ? "load_confirmed" : "load_maybe_corrupt",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"layers_before", m_rereadLayers.first},
                    {"layers", m_rereadLayers.end},
                    {"engine_born_ms", m_engineStartTimeMs}},
                   isConfirmed ? LogLevel::Info : LogLevel::Warning);
    if (isConfirmed)
        pollAfterOrder();
    else if (m_isSplittable && m_layerCount > 1)
        dropCorruptLayers();
    else
        loadAgain(0, m_layerCount);
}

void EngineStager::loadAgain(std::uint32_t first, std::uint32_t end)
{
    m_loadsAgain = true;
    m_heldLayers = 0;
    m_orderedFirst = first;
    m_orderedEnd = end;
    startVerification();
}

void EngineStager::onOrderInEffect()
{
    m_confirmation->onOrderWithoutEffect();
    // An earlier order without a response may have been accepted, which the report shows. An engine
    // that was to load all layers again, because it cannot drop some, offers no other way.
    if (m_loadsAgain) {
        logStateChange("corrupt_layers_kept",
                       {{"model", m_manifest->model.value()},
                        {"version", m_version},
                        {"engine_born_ms", m_engineStartTimeMs}},
                       LogLevel::Error);
        m_confirmation->trust(m_engineStartTimeMs, m_recheckedLayers);
    }
    runAfter(&EngineStager::pollAfterOrder, RetryInterval);
}

void EngineStager::dropCorruptLayers()
{
    const LayerRange kept = m_confirmation->intactLayers(m_recheckedLayers);
    if (kept.first == kept.end) {
        // With no layer to keep, the engine drops them for one at the other end.
        const std::uint32_t layer = m_recheckedLayers.first > 0 ? 0 : m_layerCount - 1;
        loadAgain(layer, layer + 1);
        return;
    }
    EngineLoadOrder order;
    order.model = m_manifest->model;
    order.version = m_version;
    order.expectedAcceptedOrders = m_acceptedOrders;
    order.layers = kept;
    logStateChange("drop_ordered",
                   {{"model", order.model.value()},
                    {"version", m_version},
                    {"first_kept", kept.first},
                    {"end_kept", kept.end},
                    {"engine_born_ms", m_engineStartTimeMs}},
                   LogLevel::Warning);
    m_engine.load(order, bindWeak<OrderAcceptance>([this, kept](const auto &outcome) {
                      onDropResult(kept, outcome);
                  }));
}

void EngineStager::onDropResult(const LayerRange &kept, const Outcome<OrderAcceptance> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome)) {
        // If the engine has accepted it nevertheless, its report shows that.
        logStateChange("drop_order_failed",
                       {{"model", m_manifest->model.value()},
                        {"version", m_version},
                        {"problem", toString(*error)}},
                       LogLevel::Warning);
        if (error->code == ResultCode::PlatformRejected)
            stopSplitting("layers_not_dropped");
    } else {
        m_confirmation->onDropped(kept);
        m_droppedFrom = m_scheduler.now() + DropTimeout;
    }
    runAfter(&EngineStager::pollAfterOrder, PartialPollInterval);
}

} // namespace godwit
