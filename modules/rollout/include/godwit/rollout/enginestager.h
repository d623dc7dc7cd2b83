#pragma once

#include <godwit/base/random.h>
#include <godwit/ports/scheduler.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/weights/chunkstore.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

/// Brings one version of a model from memory into the engine: stages the pieces, reads all of them
/// back right before the order, because staged bytes may rot, orders the load, and reads the report
/// until the engine serves the version.
///
/// An engine that restarts in between, or refuses the order, is dealt with by starting again with
/// the check of the staged pieces.
class EngineStager
{
public:
    struct Handlers
    {
        /// A piece from memory, verified; null if it is not held.
        std::function<ChunkBytes(ChunkIndex)> piece;
        /// The engine has accepted the order to load; it reads the staged pieces no more.
        std::function<void()> onOrdered;
        /// The engine serves the version.
        std::function<void()> onServing;
        /// A piece is neither staged nor in memory; the pieces must be fetched again.
        std::function<void()> onIncomplete;
    };

    static constexpr Duration ReportInterval = std::chrono::milliseconds(150);
    static constexpr Duration RetryInterval = std::chrono::milliseconds(250);

    EngineStager(ModelEnginePort &engine, Scheduler &scheduler,
                 std::shared_ptr<const Manifest> manifest, std::uint64_t version,
                 Handlers handlers);

    /// Stages one piece; \a done says whether the engine took it.
    void stage(ChunkIndex piece, std::function<void(bool)> done);

    /// All pieces have been staged: orders the load at \a orderAt or later.
    void finish(TimePoint orderAt);

private:
    void check(ChunkIndex piece);
    void replace(ChunkIndex piece);
    void checked(ChunkIndex piece, const Outcome<std::string> &outcome);
    void order();
    void ordered(const Outcome<Done> &outcome);
    void readReport(bool beforeOrder);
    void reported(bool beforeOrder, const Outcome<EngineReport> &outcome);
    void retryLater(void (EngineStager::*step)(), Duration delay);
    void startCheck() { check(0); }
    void awaitServing() { readReport(false); }
    void awaitOrder() { readReport(true); }
    bool isServing(const EngineReport &report) const;

    /// \a function, unless this object is gone by then.
    template <typename T, typename Function>
    Completion<T> guarded(Function function)
    {
        return [alive = std::weak_ptr(m_alive), function](const Outcome<T> &outcome) {
            if (!alive.expired())
                function(outcome);
        };
    }

    ModelEnginePort &m_engine;
    Scheduler &m_scheduler;
    std::shared_ptr<const Manifest> m_manifest;
    std::uint64_t m_version;
    Handlers m_handlers;
    std::uint64_t m_orders = 0;  ///< Of the report on which the order is decided.
    std::uint32_t m_running = 0; ///< Requests of that report.
    std::uint64_t m_bornMs = 0;  ///< Of the engine that was checked.
    std::unique_ptr<Timer> m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
