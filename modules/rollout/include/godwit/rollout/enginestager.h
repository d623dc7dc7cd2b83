#pragma once

#include <godwit/base/random.h>
#include <godwit/ports/scheduler.h>
#include <godwit/rollout/loadconfirmation.h>
#include <godwit/rollout/modelengineport.h>
#include <godwit/weights/chunkstore.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Loads one version of a model into the engine: stages the chunks, orders the load, and polls the
/// engine's report until it serves the version.
///
/// All staged chunks are read back and verified immediately before the order, because staged bytes
/// may become corrupt. If the engine restarts in between or rejects the order, the sequence starts
/// again from this verification.
///
/// A verification that takes longer than MaxVerificationAge is outdated and is repeated: the
/// process may have been suspended. If this happens again, the weights are too large for it, and
/// the engine is ordered to load fewer layers at a time, each after a verification of their chunks.
///
/// The engine may accept an order long after it was sent. A load that is not confirmed by a timely
/// response is therefore read again (LoadConfirmation), and the engine is ordered to drop layers
/// whose chunks may have been corrupt. The last layer is ordered by itself once all others are
/// confirmed, because an engine with missing layers serves no requests.
class EngineStager
{
public:
    struct Handlers
    {
        /// Returns the verified bytes of a chunk held in memory; null if the chunk is not held.
        std::function<ChunkBytes(ChunkIndex)> findChunk;
        /// The engine has taken all staged chunks, and no layer has to be loaded again.
        std::function<void()> onOrderAccepted;
        /// The engine serves the version, from sound chunks.
        std::function<void()> onServing;
        /// A chunk is neither staged nor held in memory; the chunks must be fetched again.
        std::function<void()> onChunkMissing;
    };

    static constexpr Duration ReportPollInterval = std::chrono::milliseconds(150);
    /// While the engine holds only some of the layers, so that it cannot serve requests.
    static constexpr Duration PartialPollInterval = std::chrono::milliseconds(50);
    /// An engine that still holds layers that it was to drop ignores such orders. Requests in
    /// progress may delay it.
    static constexpr Duration DropTimeout = std::chrono::milliseconds(3000);
    static constexpr Duration RetryInterval = std::chrono::milliseconds(250);
    /// From the first read of a verification to the order. Operators tolerate bytes that turned
    /// corrupt up to 3 s before the engine takes them; the rest is left for the order to arrive.
    static constexpr Duration MaxVerificationAge = std::chrono::milliseconds(2000);

    /// \a layerCount is the number of layers of the model that the engine can load separately.
    /// \a confirmation holds what earlier stagers of this version know; null if there was none.
    EngineStager(ModelEnginePort &engine, Scheduler &scheduler,
                 std::shared_ptr<const Manifest> manifest, std::uint64_t version, Handlers handlers,
                 std::uint32_t layerCount = 1,
                 std::shared_ptr<LoadConfirmation> confirmation = nullptr);

    /// Stages one chunk. \a done receives true if the engine accepted it.
    void stage(ChunkIndex chunk, std::function<void(bool)> done);

    /// Orders the load at \a notBefore or later. All chunks must have been staged.
    void scheduleLoad(TimePoint notBefore);

private:
    /// What must not take longer than MaxVerificationAge.
    enum class AgeLimit {
        Verification,
        Read, ///< Of one chunk: the verification as a whole cannot be made shorter.
        None,
    };

    AgeLimit ageLimit() const;
    bool isVerificationOutdated() const;
    void repeatVerification(ChunkIndex reached);
    LayerLayout layout() const;
    ChunkIndex firstChunk() const;
    ChunkIndex endChunk() const;
    bool canSplit() const { return m_isSplittable && m_layersPerOrder > 1; }
    /// The engine does not follow orders for some of the layers, as \a event states.
    void stopSplitting(std::string_view event);
    void verifyStaged(ChunkIndex chunk);
    void restage(ChunkIndex chunk);
    void onStagedRead(ChunkIndex chunk, const Outcome<std::string> &outcome);
    void sendOrder();
    void onOrderResult(const Outcome<OrderAcceptance> &outcome);
    /// The engine held the layers of the order already.
    void onOrderInEffect();
    void pollReport(bool beforeOrder);
    void onReport(bool beforeOrder, const Outcome<EngineReport> &outcome);
    void runAfter(void (EngineStager::*step)(), Duration delay);
    /// Verifies the chunks of the layers that selectLayers() has chosen, then orders the load.
    void startVerification();
    /// Chooses the layers that the next order loads.
    void selectLayers(const EngineReport &report);
    void onOrderError(const Error &error);
    /// Reads the chunks of the layers of \a held that are not confirmed again.
    void handleUnconfirmed(const LayerRange &held);
    /// Has the layers from \a first to \a end loaded, whatever the engine holds.
    void loadAgain(std::uint32_t first, std::uint32_t end);
    void recheck(ChunkIndex chunk);
    void onRechecked(ChunkIndex chunk, const Outcome<std::string> &outcome);
    void finishRecheck();
    /// Orders the engine to hold no layers of m_recheckedLayers that may be corrupt.
    void dropCorruptLayers();
    void onDropResult(const LayerRange &kept, const Outcome<OrderAcceptance> &outcome);
    /// Whether \a outcome, of a read of the staged \a chunk, has the bytes of the manifest.
    bool isIntact(ChunkIndex chunk, const Outcome<std::string> &outcome) const;
    /// Whether the read of \a chunk shows that it is missing or too long, rather than that the
    /// engine failed.
    bool isUnusable(ChunkIndex chunk, const Error &error);
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
    std::uint32_t m_layerCount;
    std::uint32_t m_layersPerOrder;
    bool m_isSplittable = true;
    std::uint32_t m_heldLayers = 0;         ///< First layers of the version that the engine holds.
    std::uint32_t m_orderedFirst = 0;       ///< First layer that the engine holds after the order.
    std::uint32_t m_orderedEnd = 0;         ///< One past the last one.
    std::uint32_t m_expectedLayers = 0;     ///< To be held after an accepted order for a part.
    std::uint64_t m_orderedStartTimeMs = 0; ///< Of the engine that accepted that order.
    TimePoint m_verifiedSince;              ///< Before the first read of the verification.
    TimePoint m_readAt;                     ///< Before the last read.
    std::uint32_t m_repetitions = 0;        ///< Outdated verifications of this number of layers.
    std::shared_ptr<LoadConfirmation> m_confirmation;
    LayerRange m_recheckedLayers; ///< Held by the engine when the recheck began.
    LayerRange m_rereadLayers;    ///< Those of them whose chunks are read again.
    bool m_loadsAgain = false;    ///< The order is for layers that the engine may hold corrupt.
    /// The engine has accepted to drop layers, and should not hold them from this time on.
    std::optional<TimePoint> m_droppedFrom;
    std::optional<ChunkIndex> m_unreadableChunk; ///< Whose last read had an unreadable response.
    std::unique_ptr<Timer> m_timer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
