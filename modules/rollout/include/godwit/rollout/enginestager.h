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

/// Loads one version of a model into the engine: stages the chunks, orders the load, and polls the
/// engine's report until it serves the version.
///
/// All staged chunks are read back and verified immediately before the order, because staged bytes
/// may become corrupt. If the engine restarts in between or rejects the order, the sequence starts
/// again from this verification.
class EngineStager
{
public:
    struct Handlers
    {
        /// Returns the verified bytes of a chunk held in memory; null if the chunk is not held.
        std::function<ChunkBytes(ChunkIndex)> findChunk;
        /// The engine has accepted the load order and no longer reads the staged chunks.
        std::function<void()> onOrderAccepted;
        /// The engine serves the version.
        std::function<void()> onServing;
        /// A chunk is neither staged nor held in memory; the chunks must be fetched again.
        std::function<void()> onChunkMissing;
    };

    static constexpr Duration ReportPollInterval = std::chrono::milliseconds(150);
    static constexpr Duration RetryInterval = std::chrono::milliseconds(250);

    EngineStager(ModelEnginePort &engine, Scheduler &scheduler,
                 std::shared_ptr<const Manifest> manifest, std::uint64_t version,
                 Handlers handlers);

    /// Stages one chunk. \a done receives true if the engine accepted it.
    void stage(ChunkIndex chunk, std::function<void(bool)> done);

    /// Orders the load at \a notBefore or later. All chunks must have been staged.
    void scheduleLoad(TimePoint notBefore);

private:
    void verifyStaged(ChunkIndex chunk);
    void restage(ChunkIndex chunk);
    void onStagedRead(ChunkIndex chunk, const Outcome<std::string> &outcome);
    void sendOrder();
    void onOrderResult(const Outcome<Done> &outcome);
    void pollReport(bool beforeOrder);
    void onReport(bool beforeOrder, const Outcome<EngineReport> &outcome);
    void runAfter(void (EngineStager::*step)(), Duration delay);
    void startVerification() { verifyStaged(0); }
    void pollAfterOrder() { pollReport(false); }
    void pollBeforeOrder() { pollReport(true); }
    bool isServing(const EngineReport &report) const;

    /// Wraps \a function in a completion that does nothing once this object has been destroyed.
    template <typename T, typename Function>
    Completion<T> bindWeak(Function function)
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
    std::uint64_t m_acceptedOrders = 0;    ///< From the report on which the order is based.
    std::uint32_t m_runningRequests = 0;   ///< From the same report.
    std::uint64_t m_engineStartTimeMs = 0; ///< Of the engine whose chunks were verified.
    std::unique_ptr<Timer> m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
