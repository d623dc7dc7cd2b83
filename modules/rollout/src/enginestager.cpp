#include <godwit/rollout/enginestager.h>

#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

EngineStager::EngineStager(ModelEnginePort &engine, Scheduler &scheduler,
                           std::shared_ptr<const Manifest> manifest, std::uint64_t version,
                           Handlers handlers)
    : m_engine(engine)
    , m_scheduler(scheduler)
    , m_manifest(std::move(manifest))
    , m_version(version)
    , m_handlers(std::move(handlers))
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

bool EngineStager::isServing(const EngineReport &report) const
{
    const bool isListed = std::ranges::any_of(report.models, [this](const ServedModel &it) {
        return it.model == m_manifest->model && it.version == m_version;
    });
    return isListed && !report.busy;
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
    if (report && isServing(*report)) {
        m_handlers.onServing();
        return;
    }
    const bool isOutdated = report && servesNewerVersion(*report, m_manifest->model, m_version);
    if (!report || report->busy || isOutdated) {
        runAfter(beforeOrder ? &EngineStager::pollBeforeOrder : &EngineStager::pollAfterOrder,
                 ReportPollInterval);
        return;
    }
    // Neither busy nor serving: the order has not been accepted, or the engine has restarted since.
    m_acceptedOrders = report->acceptedOrders;
    m_engineStartTimeMs = report->startTimeMs;
    m_runningRequests = report->runningRequests;
    startVerification();
}

void EngineStager::verifyStaged(ChunkIndex chunk)
{
    if (chunk >= m_manifest->chunkCount()) {
        sendOrder();
        return;
    }
    m_engine.readStaged(m_manifest->model, chunk,
                        bindWeak<std::string>([this, chunk](const Outcome<std::string> &outcome) {
                            onStagedRead(chunk, outcome);
                        }));
}

void EngineStager::onStagedRead(ChunkIndex chunk, const Outcome<std::string> &outcome)
{
    const auto *bytes = std::get_if<std::string>(&outcome);
    if (bytes && Digest::of(*bytes) == m_manifest->chunks[chunk]) {
        verifyStaged(chunk + 1);
        return;
    }
    const auto *error = std::get_if<Error>(&outcome);
    if (error && error->code != ResultCode::NotFound) {
        runAfter(&EngineStager::pollBeforeOrder, RetryInterval);
        return;
    }
    logStateChange("staged_piece_replaced",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"piece", chunk},
                    {"found", bytes ? "other bytes" : "nothing"}},
                   LogLevel::Warning);
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
    logStateChange("load_ordered", {{"model", order.model.value()},
                                    {"version", m_version},
                                    {"orders_before", m_acceptedOrders},
                                    {"running", m_runningRequests},
                                    {"engine_born_ms", m_engineStartTimeMs}});
    m_engine.load(order,
                  bindWeak<Done>([this](const Outcome<Done> &outcome) { onOrderResult(outcome); }));
}

void EngineStager::onOrderResult(const Outcome<Done> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logStateChange("load_order_failed",
                       {{"model", m_manifest->model.value()},
                        {"version", m_version},
                        {"problem", toString(*error)}},
                       LogLevel::Warning);
        // The engine may nevertheless have accepted the order; its report shows which is the case.
        runAfter(&EngineStager::pollAfterOrder, RetryInterval);
        return;
    }
    runAfter(&EngineStager::pollAfterOrder, ReportPollInterval);
    m_handlers.onOrderAccepted();
}

} // namespace godwit
