#pragma once

#include <godwit/base/time.h>
#include <godwit/gateway/backendrecord.h>
#include <godwit/rollout/layerlayout.h>

#include <cstdint>
#include <optional>
#include <set>

namespace godwit {

/// Knows which layers of a version an engine has loaded from sound chunks. Has no clock and
/// performs no I/O.
///
/// An engine takes the staged chunks when it accepts an order, which may be long after their
/// verification: the order lies in its buffers while it is silent, and its response may be lost. A
/// load is confirmed if the response came within ToleratedCorruption of the beginning of the
/// verification. Otherwise all its chunks are read again once the engine has accepted the order:
/// those that are intact then were intact when the engine took them. A chunk that was found corrupt
/// meanwhile does not count as intact, even if it has been replaced.
class LoadConfirmation
{
public:
    /// Operators tolerate bytes that turned corrupt up to this long before the engine takes them.
    static constexpr Duration ToleratedCorruption = std::chrono::milliseconds(3000);

    /// An order that has not been accepted for this long was lost with its connection.
    static constexpr Duration MaxOrderDelay = std::chrono::seconds(30);

    /// Of a version of which this process has loaded nothing yet: what the engine holds counts as
    /// sound, and there is no order that it may accept.
    LoadConfirmation() = default;

    /// Of a version that this process begins to load.
    explicit LoadConfirmation(const LayerLayout &layout) { begin(layout); }

    /// This process begins to load the version. Later calls have no effect.
    void begin(const LayerLayout &layout)
    {
        if (!m_layout)
            m_layout = layout;
    }

    /// The engine process that started at \a startTimeMs and has accepted \a acceptedOrders since
    /// holds \a held, layers of this version.
    void onReport(std::uint64_t startTimeMs, std::uint64_t acceptedOrders, const LayerRange &held);

    /// Whether all of \a held were loaded from sound chunks.
    bool isConfirmed(const LayerRange &held) const;

    /// Takes \a held as sound, because they were loaded before this process could observe it.
    void trust(std::uint64_t startTimeMs, const LayerRange &held);

    /// An order based on the last report is being sent, after which the engine holds \a layers. The
    /// chunks of those that it loads have been verified since \a verifiedSince.
    void onOrderSent(const LayerRange &layers, TimePoint verifiedSince);
    /// The response that the order has begun came at \a now. Returns whether this confirms the
    /// load.
    bool onOrderBegun(TimePoint now);
    /// The engine has not accepted that order and will not do so, or it had nothing to load.
    void onOrderWithoutEffect();
    /// There was no response to that order; the engine may have accepted it, or still do so.
    void onOrderUncertain();

    /// Whether the engine may still accept an order at \a now, so that the staged chunks must not
    /// be replaced by those of another version.
    bool mayOrderBeAccepted(TimePoint now) const;

    /// The staged \a chunk is corrupt or missing.
    void onChunkCorrupt(ChunkIndex chunk) { m_corrupt.insert(chunk); }

    /// The layers of \a held that are not confirmed, with those between them.
    LayerRange unconfirmed(const LayerRange &held) const;

    /// Whether an unconfirmed layer of \a held may have been loaded from a chunk that was found
    /// corrupt.
    bool mayHoldCorrupt(const LayerRange &held) const;

    /// The chunks of the unconfirmed layers of \a held were read after the engine had accepted the
    /// order, and those that are not intact were passed to onChunkCorrupt().
    void onAllRead(const LayerRange &held);

    /// The longest series of layers of \a held that are confirmed or have no chunk that was found
    /// corrupt; empty if there is none.
    LayerRange intactLayers(const LayerRange &held) const;

    /// The engine has accepted an order to hold only \a kept, all of which are intact.
    void onDropped(const LayerRange &kept) { m_sound = kept; }

private:
    bool isIntact(std::uint32_t layer) const;

    std::optional<LayerLayout> m_layout; ///< None before begin().
    std::uint64_t m_engineStartTimeMs = 0;
    LayerRange m_held;  ///< By the last report.
    LayerRange m_sound; ///< Empty if none.
    LayerRange m_ordered;
    TimePoint m_verifiedSince;
    bool m_isOrderInFlight = false;   ///< There has been no result of the last order.
    bool m_hasUncertainOrder = false; ///< The engine may still accept an order without a response.
    std::uint64_t m_acceptedOrders = 0; ///< By the last report.
    /// Chunks that were found corrupt and from which an unconfirmed layer may have been loaded.
    std::set<ChunkIndex> m_corrupt;
    /// Those of them that were found before the order that is on its way.
    std::set<ChunkIndex> m_corruptBefore;
};

} // namespace godwit
