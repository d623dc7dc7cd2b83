#include <godwit/control/orderreconciler.h>

#include <algorithm>

namespace godwit {

namespace {

bool isCompatible(const ModelOrder &order, const ObservedEngine &state)
{
    if (order.kind != ModelOrderKind::Load)
        return false;
    return std::ranges::none_of(state.loads, [&](const LoadedModel &load) {
        return load.model == order.item.model && load.adapter == order.item.adapter;
    });
}

/// Returns the loaded other version of \a item, or nullptr.
const LoadedModel *otherVersion(const ObservedEngine &state, const LoadedModel &item)
{
    for (const LoadedModel &load : state.loads) {
        if (load.model == item.model && load.adapter == item.adapter && load != item)
            return &load;
    }
    return nullptr;
}

/// Returns an adapter to unload: one that is not desired, or whose base model is about to be
/// replaced. Or nullptr.
const LoadedModel *unneededAdapter(const ObservedEngine &state, const DesiredEngine &desired)
{
    for (const LoadedModel &load : state.loads) {
        if (load.adapter.empty())
            continue;
        const bool keepsBase = std::ranges::any_of(state.loads, [&](const LoadedModel &base) {
            return base.adapter.empty() && base.model == load.model && desired.loads.contains(base);
        });
        if (!desired.loads.contains(load) || !keepsBase)
            return &load;
    }
    return nullptr;
}

const LoadedModel *unneededModel(const ObservedEngine &state, const DesiredEngine &desired)
{
    for (const LoadedModel &load : state.loads) {
        const bool modelDesired =
                std::ranges::any_of(desired.loads, [&](const LoadedModel &desiredLoad) {
                    return desiredLoad.adapter.empty() && desiredLoad.model == load.model;
                });
        if (load.adapter.empty() && !modelDesired)
            return &load;
    }
    return nullptr;
}

} // namespace

OrderReconciler::OrderReconciler(Settings settings, Random random)
    : m_settings(settings)
    , m_random(random)
    , m_backoff(settings.firstBackoff)
{}

void OrderReconciler::onDesired(TimePoint now, DesiredEngine desired)
{
    if (m_desired == desired)
        return;
    m_desired = std::move(desired);
    m_state.reset();
    m_backoff = m_settings.firstBackoff;
    m_failures = 0;
    if (!m_orderInFlight && !m_readInFlight)
        m_nextTimer = now;
}

void OrderReconciler::backOff(TimePoint now)
{
    m_nextTimer = now + m_backoff / 2
                  + Duration(static_cast<std::int64_t>(
                          m_random.below(static_cast<std::uint64_t>(m_backoff.count()) + 1)));
    m_backoff = std::min(m_backoff * 2, m_settings.maxBackoff);
}

void OrderReconciler::onState(TimePoint now, const ObservedEngine &state)
{
    m_readInFlight = false;
    if (m_orderInFlight)
        return;
    m_state = state;
    m_nextTimer = now;
}

void OrderReconciler::onReadFailed(TimePoint now)
{
    m_readInFlight = false;
    backOff(now);
}

void OrderReconciler::onOrderDone(TimePoint now, bool success)
{
    if (!m_orderInFlight)
        return;
    m_orderInFlight = false;
    m_state.reset(); // Read the state again, whatever the engine replied.
    m_nextTimer = now;
    if (success) {
        m_backoff = m_settings.firstBackoff;
        return;
    }
    ++m_failures;
    backOff(now);
}

std::optional<ModelOrder> OrderReconciler::nextOrder(const ObservedEngine &state) const
{
    if (state.role != m_desired->role)
        return ModelOrder{ModelOrderKind::SwitchRole, {}, m_desired->role, {}};
    // Additional loads come first, since they do not need an idle engine. Adapters load only on
    // their base version.
    for (const LoadedModel &load : m_desired->loads) {
        const bool baseLoaded = std::ranges::any_of(m_desired->loads, [&](const LoadedModel &base) {
            return base.adapter.empty() && base.model == load.model && state.loads.contains(base);
        });
        if (!state.loads.contains(load) && !otherVersion(state, load)
            && (load.adapter.empty() || baseLoaded))
            return ModelOrder{ModelOrderKind::Load, load, {}, {}};
    }
    if (const auto *adapter = unneededAdapter(state, *m_desired))
        return ModelOrder{ModelOrderKind::Unload, *adapter, {}, {}};
    for (const LoadedModel &load : m_desired->loads) {
        if (!state.loads.contains(load) && otherVersion(state, load))
            return ModelOrder{ModelOrderKind::Load, load, {}, {}};
    }
    if (const auto *model = unneededModel(state, *m_desired))
        return ModelOrder{ModelOrderKind::Unload, *model, {}, {}};
    return {};
}

std::vector<ReconcilerAction> OrderReconciler::onTimer(TimePoint now, const AuthorLease &lease)
{
    if (!m_desired || now < m_nextTimer)
        return {};
    if (m_orderInFlight || m_readInFlight) { // Timed out; the reply may still arrive.
        m_orderInFlight = false;
        m_readInFlight = false;
        m_state.reset();
    }
    if (!m_state) {
        m_readInFlight = true;
        m_nextTimer = now + m_settings.readTimeout;
        return {ReadEngine{}};
    }
    const ObservedEngine state = *std::exchange(m_state, std::nullopt);
    auto order = nextOrder(state);
    m_differs = order.has_value();
    m_needsIdleEngine = order && !isCompatible(*order, state);
    m_nextTimer = now + m_settings.readPeriod;
    if (!order)
        return {};
    if (m_needsIdleEngine && state.runningRequests > 0) {
        m_nextTimer = now + m_settings.idlePollPeriod;
        return {};
    }
    if (!lease.canSendOrder(now, m_desired->checksFencing, m_desired->outageOrders)) {
        m_nextTimer = now + m_settings.leasePollPeriod;
        return {};
    }
    order->fencing = lease.fencing();
    m_orderInFlight = true;
    m_nextTimer = now + m_settings.orderTimeout;
    return {SendEngineOrder{*order}};
}

} // namespace godwit
