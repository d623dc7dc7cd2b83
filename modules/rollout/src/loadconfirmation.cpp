#include <godwit/rollout/loadconfirmation.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

bool isEmpty(const LayerRange &range)
{
    return range.first >= range.end;
}

bool contains(const LayerRange &outer, const LayerRange &inner)
{
    return isEmpty(inner) || (inner.first >= outer.first && inner.end <= outer.end);
}

LayerRange intersect(const LayerRange &a, const LayerRange &b)
{
    LayerRange common = a;
    common.first = std::max(a.first, b.first);
    common.end = std::min(a.end, b.end);
    return isEmpty(common) ? LayerRange{} : common;
}

} // namespace

void LoadConfirmation::onReport(std::uint64_t startTimeMs, std::uint64_t acceptedOrders,
                                const LayerRange &held)
{
    // An order states how many were accepted before it, so that it fits no later state. The
    // connection to an earlier process has ended.
    if (startTimeMs != m_engineStartTimeMs || acceptedOrders != m_acceptedOrders)
        m_hasUncertainOrder = false;
    if (startTimeMs != m_engineStartTimeMs)
        m_sound = {};
    m_engineStartTimeMs = startTimeMs;
    m_acceptedOrders = acceptedOrders;
    m_held = held;
    // A layer that was dropped may be loaded again from other bytes.
    m_sound = intersect(m_sound, held);
}

bool LoadConfirmation::isConfirmed(const LayerRange &held) const
{
    return !m_layout || contains(m_sound, held);
}

void LoadConfirmation::trust(std::uint64_t startTimeMs, const LayerRange &held)
{
    m_engineStartTimeMs = startTimeMs;
    m_sound = held;
}

bool LoadConfirmation::mayOrderBeAccepted(TimePoint now) const
{
    return m_isOrderInFlight || (m_hasUncertainOrder && now < m_verifiedSince + MaxOrderDelay);
}

void LoadConfirmation::onOrderSent(const LayerRange &layers, TimePoint verifiedSince)
{
    m_ordered = layers;
    m_isOrderInFlight = true;
    m_verifiedSince = verifiedSince;
    // No layer that the engine holds, or may get from an earlier order, is in doubt.
    if (!m_hasUncertainOrder && isConfirmed(m_held))
        m_corrupt.clear();
    m_corruptBefore = std::exchange(m_corrupt, {});
}

bool LoadConfirmation::onOrderBegun(TimePoint now)
{
    m_isOrderInFlight = false;
    m_hasUncertainOrder = false;
    // The layers that were loaded from these chunks have been replaced.
    m_corruptBefore.clear();
    if (now - m_verifiedSince > ToleratedCorruption)
        return false;
    m_sound = m_ordered;
    return true;
}

void LoadConfirmation::onOrderWithoutEffect()
{
    m_isOrderInFlight = false;
    m_corrupt.merge(m_corruptBefore);
}

void LoadConfirmation::onOrderUncertain()
{
    onOrderWithoutEffect();
    m_hasUncertainOrder = true;
}

LayerRange LoadConfirmation::unconfirmed(const LayerRange &held) const
{
    LayerRange rest = held;
    const LayerRange confirmed = intersect(m_sound, held);
    if (isEmpty(confirmed))
        return rest;
    if (confirmed.first == held.first)
        rest.first = confirmed.end;
    else if (confirmed.end == held.end)
        rest.end = confirmed.first;
    return rest;
}

bool LoadConfirmation::mayHoldCorrupt(const LayerRange &held) const
{
    for (std::uint32_t layer = held.first; layer < held.end; ++layer) {
        if (!isIntact(layer))
            return true;
    }
    return false;
}

void LoadConfirmation::onAllRead(const LayerRange &held)
{
    if (!mayHoldCorrupt(held))
        m_sound = held;
}

bool LoadConfirmation::isIntact(std::uint32_t layer) const
{
    if (contains(m_sound, {layer, layer + 1, m_sound.version}))
        return true;
    if (!m_layout)
        return true;
    const auto it = m_corrupt.lower_bound(m_layout->firstChunk(layer));
    return it == m_corrupt.end() || *it >= m_layout->endChunk(layer + 1);
}

LayerRange LoadConfirmation::intactLayers(const LayerRange &held) const
{
    LayerRange longest;
    LayerRange current{held.first, held.first, held.version};
    for (std::uint32_t layer = held.first; layer < held.end; ++layer) {
        if (!isIntact(layer)) {
            current.first = layer + 1;
            continue;
        }
        current.end = layer + 1;
        if (current.end - current.first > longest.end - longest.first)
            longest = current;
    }
    return longest;
}

} // namespace godwit
