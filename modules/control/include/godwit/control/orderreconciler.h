#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>
#include <godwit/control/authorlease.h>
#include <godwit/control/desiredengine.h>
#include <godwit/control/observedengine.h>
#include <godwit/control/reconcileraction.h>

#include <optional>
#include <vector>

namespace godwit {

/// Brings one engine to its desired state: reads it back, sends one order at a time, and repeats
/// with backoff.
///
/// Loading something in addition is compatible with running requests. Unloading, replacing a
/// version and switching the role are not and wait until the engine is idle; needsIdleEngine() asks
/// for no new requests meanwhile.
class OrderReconciler
{
public:
    struct Settings
    {
        Duration readTimeout = std::chrono::seconds(2);
        Duration readPeriod = std::chrono::seconds(10); ///< Also without a known difference.
        Duration idlePollPeriod =
                std::chrono::milliseconds(500); ///< While waiting for an idle engine.
        /// While waiting for the lease, which is asked for when an order is wanted and usually
        /// comes within milliseconds.
        Duration leasePollPeriod = std::chrono::milliseconds(100);
        /// Loading many gigabytes takes minutes; afterwards the engine is read back.
        Duration orderTimeout = std::chrono::minutes(10);
        Duration firstBackoff = std::chrono::seconds(1);
        Duration maxBackoff = std::chrono::seconds(60);
    };

    OrderReconciler(Settings settings, Random random);

    /// The desired state; a change is looked at without waiting for the backoff.
    void onDesired(TimePoint now, DesiredEngine desired);

    void onState(TimePoint now, const ObservedEngine &state);
    void onReadFailed(TimePoint now);
    void onOrderDone(TimePoint now, bool success);

    /// Also to be called after each of the events above. Calls for nothing before nextTimer().
    std::vector<ReconcilerAction> onTimer(TimePoint now, const AuthorLease &lease);
    TimePoint nextTimer() const { return m_nextTimer; }

    /// True if the engine differs from the desired state, as far as known; the lease is wanted.
    bool needsLease() const { return m_differs || m_orderInFlight; }

    /// True if the next order waits for the engine to be idle.
    bool needsIdleEngine() const { return m_needsIdleEngine; }

    /// Orders that failed since the desired state changed.
    std::uint32_t failures() const { return m_failures; }

private:
    std::optional<ModelOrder> nextOrder(const ObservedEngine &state) const;
    void backOff(TimePoint now);

    Settings m_settings;
    Random m_random;
    std::optional<DesiredEngine> m_desired;
    std::optional<ObservedEngine> m_state; ///< Valid until the next order or read.
    TimePoint m_nextTimer;
    Duration m_backoff;
    bool m_readInFlight = false;
    bool m_orderInFlight = false;
    bool m_differs = false;
    bool m_needsIdleEngine = false;
    std::uint32_t m_failures = 0;
};

} // namespace godwit
