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

/// Brings one engine to its desired state: reads the state, sends one order at a time, and retries
/// with backoff.
///
/// Loading an additional model or adapter is possible while requests run. Unloading, replacing a
/// version and switching the role wait until the engine is idle; while needsIdleEngine() is true,
/// the caller must not send new requests to the engine.
class OrderReconciler
{
public:
    struct Settings
    {
        Duration readTimeout = std::chrono::seconds(2);
        /// Applies also if no difference is known.
        Duration readPeriod = std::chrono::seconds(10);
        /// Period of state reads while waiting for an idle engine.
        Duration idlePollPeriod = std::chrono::milliseconds(500);
        /// Period of retries while waiting for the lease, which is requested when an order is
        /// pending and is usually granted within milliseconds.
        Duration leasePollPeriod = std::chrono::milliseconds(100);
        /// Loading many gigabytes takes minutes. After this time the state of the engine is read
        /// again.
        Duration orderTimeout = std::chrono::minutes(10);
        Duration firstBackoff = std::chrono::seconds(1);
        Duration maxBackoff = std::chrono::seconds(60);
    };

    OrderReconciler(Settings settings, Random random);

    /// Sets the desired state. A change is handled without waiting for the backoff.
    void onDesired(TimePoint now, DesiredEngine desired);

    void onState(TimePoint now, const ObservedEngine &state);
    void onReadFailed(TimePoint now);
    void onOrderDone(TimePoint now, bool success);

    /// Must also be called after each of the events above. Returns no actions before nextTimer().
    std::vector<ReconcilerAction> onTimer(TimePoint now, const AuthorLease &lease);
    TimePoint nextTimer() const { return m_nextTimer; }

    /// True if the lease is needed: the engine is known to differ from the desired state, or an
    /// order is in flight.
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
    /// Last state read; discarded at the next order or read.
    std::optional<ObservedEngine> m_state;
    TimePoint m_nextTimer;
    Duration m_backoff;
    bool m_readInFlight = false;
    bool m_orderInFlight = false;
    bool m_differs = false;
    bool m_needsIdleEngine = false;
    std::uint32_t m_failures = 0;
};

} // namespace godwit
