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

void EngineStager::stage(ChunkIndex piece, std::function<void(bool)> done)
{
    const ChunkBytes bytes = m_handlers.piece(piece);
    if (!bytes) {
        done(false);
        return;
    }
    m_engine.stage(m_manifest->model, piece, *bytes,
                   guarded<Done>([done = std::move(done)](const Outcome<Done> &outcome) {
                       done(succeeded(outcome));
                   }));
}

void EngineStager::finish(TimePoint orderAt)
{
    const Duration wait = std::max(Duration::zero(), orderAt - m_scheduler.now());
    retryLater(&EngineStager::awaitOrder, wait);
}

void EngineStager::retryLater(void (EngineStager::*step)(), Duration delay)
{
    m_timer = m_scheduler.after(delay, [this, step] {
        const auto timer = std::move(m_timer);
        (this->*step)();
    });
}

bool EngineStager::isServing(const EngineReport &report) const
{
    const bool named = std::ranges::any_of(report.models, [this](const ServedModel &it) {
        return it.model == m_manifest->model && it.version == m_version;
    });
    return named && !report.busy;
}

void EngineStager::readReport(bool beforeOrder)
{
    m_engine.readReport(
            guarded<EngineReport>([this, beforeOrder](const Outcome<EngineReport> &outcome) {
                reported(beforeOrder, outcome);
            }));
}

void EngineStager::reported(bool beforeOrder, const Outcome<EngineReport> &outcome)
{
    const auto *report = std::get_if<EngineReport>(&outcome);
    if (report && isServing(*report)) {
        m_handlers.onServing();
        return;
    }
    if (!report || report->busy) {
        retryLater(beforeOrder ? &EngineStager::awaitOrder : &EngineStager::awaitServing,
                   ReportInterval);
        return;
    }
    // Not busy and not serving: the order has not begun, or the engine has restarted since.
    m_orders = report->orders;
    m_bornMs = report->bornMs;
    m_running = report->running;
    startCheck();
}

void EngineStager::check(ChunkIndex piece)
{
    if (piece >= m_manifest->chunkCount()) {
        order();
        return;
    }
    m_engine.readStaged(m_manifest->model, piece,
                        guarded<std::string>([this, piece](const Outcome<std::string> &outcome) {
                            checked(piece, outcome);
                        }));
}

void EngineStager::checked(ChunkIndex piece, const Outcome<std::string> &outcome)
{
    const auto *bytes = std::get_if<std::string>(&outcome);
    if (bytes && Digest::of(*bytes) == m_manifest->chunks[piece]) {
        check(piece + 1);
        return;
    }
    const auto *error = std::get_if<Error>(&outcome);
    if (error && error->code != ResultCode::NotFound) {
        retryLater(&EngineStager::awaitOrder, RetryInterval);
        return;
    }
    logStateChange("staged_piece_replaced",
                   {{"model", m_manifest->model.value()},
                    {"version", m_version},
                    {"piece", piece},
                    {"found", bytes ? "other bytes" : "nothing"}},
                   LogLevel::Warning);
    replace(piece);
}

void EngineStager::replace(ChunkIndex piece)
{
    if (!m_handlers.piece(piece)) {
        m_handlers.onIncomplete();
        return;
    }
    stage(piece, [this, piece](bool ok) {
        if (ok)
            check(piece); // Read back once more.
        else
            retryLater(&EngineStager::awaitOrder, RetryInterval);
    });
}

void EngineStager::order()
{
    LoadOrder order;
    order.model = m_manifest->model;
    order.version = m_version;
    order.expectedOrders = m_orders;
    logStateChange("load_ordered", {{"model", order.model.value()},
                                    {"version", m_version},
                                    {"orders_before", m_orders},
                                    {"running", m_running},

                                    {"engine_born_ms", m_bornMs}});
    m_engine.load(order, guarded<Done>([this](const Outcome<Done> &outcome) { ordered(outcome); }));
}

void EngineStager::ordered(const Outcome<Done> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logStateChange("load_order_failed",
                       {{"model", m_manifest->model.value()},
                        {"version", m_version},
                        {"problem", toString(*error)}},
                       LogLevel::Warning);
        // The order may have begun all the same; the report tells.
        retryLater(&EngineStager::awaitServing, RetryInterval);
        return;
    }
    retryLater(&EngineStager::awaitServing, ReportInterval);
    m_handlers.onOrdered();
}

} // namespace godwit
