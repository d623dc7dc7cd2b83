#include <godwit/rollout/loadconfirmation.h>

#include <algorithm>

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

void LoadConfirmation::onReport(std::uint64_t startTimeMs, const LayerRange &held)
{
    if (startTimeMs != m_engineStartTimeMs) {
        m_engineStartTimeMs = startTimeMs;
        m_sound = {};
        // The orders were sent to the earlier process. Layers that this one holds already are read
        // again in any case.
        m_hasUncertainOrder = false;
    }
    // A layer that was dropped may be loaded again from other bytes.
    m_sound = intersect(m_sound, held);
}

bool LoadConfirmation::isConfirmed(const LayerRange &held) const
{
    return contains(m_sound, held);
}

void LoadConfirmation::trust(std::uint64_t startTimeMs, const LayerRange &held)
{
    m_engineStartTimeMs = startTimeMs;
    m_sound = held;
    m_hasUncertainOrder = false;
}

void LoadConfirmation::onOrderSent(const LayerRange &layers, TimePoint verifiedSince)
{
    m_ordered = layers;
    m_isOrderInFlight = true;
    m_verifiedSince = verifiedSince;
    if (!m_hasUncertainOrder)
        m_corrupt.clear();
}

void LoadConfirmation::onOrderUncertain()
{
    m_isOrderInFlight = false;
    m_hasUncertainOrder = true;
}

bool LoadConfirmation::onOrderAccepted(TimePoint now)
{
    m_isOrderInFlight = false;
    // After an order without a response, the engine may have accepted that one in place of this.
    if (m_hasUncertainOrder || now - m_verifiedSince > ToleratedCorruption)
        return false;
    m_sound = m_ordered;
    return true;
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
    // Some order has been accepted since, so that one without a response cannot be accepted any
    // more: it states the number of orders that were accepted before it.
    m_hasUncertainOrder = false;
    if (!mayHoldCorrupt(held))
        m_sound = held;
}

bool LoadConfirmation::isIntact(std::uint32_t layer) const
{
    if (contains(m_sound, {layer, layer + 1, m_sound.version}))
        return true;
    const auto it = m_corrupt.lower_bound(m_layout.firstChunk(layer));
    return it == m_corrupt.end() || *it >= m_layout.endChunk(layer + 1);
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
