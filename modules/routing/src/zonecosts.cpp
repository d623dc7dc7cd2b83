#include <godwit/routing/zonecosts.h>

namespace godwit {

ZoneCosts::ZoneCosts(ZoneCost betweenZones, ZoneCost betweenRegions, Duration delayPerCostUnit)
    : m_betweenZones(betweenZones)
    , m_betweenRegions(betweenRegions)
    , m_delayPerCostUnit(delayPerCostUnit)
{}

void ZoneCosts::setPairCost(const ZoneId &a, const ZoneId &b, ZoneCost cost)
{
    m_pairCosts[{a, b}] = cost;
    m_pairCosts[{b, a}] = cost;
}

ZoneCost ZoneCosts::costBetween(const Location &from, const Location &to) const
{
    if (from.zone == to.zone)
        return {};
    const auto it = m_pairCosts.find({from.zone, to.zone});
    if (it != m_pairCosts.end())
        return it->second;
    return from.region == to.region ? m_betweenZones : m_betweenRegions;
}

Duration ZoneCosts::penalty(const Location &from, const Location &to) const
{
    const ZoneCost cost = costBetween(from, to);
    return 2 * cost.delay + fromSeconds(cost.monetaryCost * toSeconds(m_delayPerCostUnit));
}

} // namespace godwit
