#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <map>
#include <utility>

namespace godwit {

/// Cost of sending a request from one availability zone to another.
struct ZoneCost
{
    Duration delay{0};       ///< One way.
    double monetaryCost = 0; ///< Per request, in a unit that the operator defines.

    friend bool operator==(const ZoneCost &, const ZoneCost &) = default;
};

/// Availability zone and region of a process or server.
struct Location
{
    ZoneId zone;
    RegionId region;

    friend auto operator<=>(const Location &, const Location &) = default;
};

/// Network delay and monetary cost of traffic between zones and regions.
class ZoneCosts
{
public:
    /// \a betweenZones applies to two zones of the same region and \a betweenRegions to zones of
    /// different regions, unless setPairCost() sets the cost of the pair. \a delayPerCostUnit is
    /// the additional delay that is acceptable to save one unit of monetary cost.
    ZoneCosts(ZoneCost betweenZones, ZoneCost betweenRegions, Duration delayPerCostUnit);
    ZoneCosts() = default;

    /// Sets the cost between two zones, for both directions.
    void setPairCost(const ZoneId &a, const ZoneId &b, ZoneCost cost);

    ZoneCost costBetween(const Location &from, const Location &to) const;

    /// Round-trip delay plus the monetary cost converted to delay.
    Duration penalty(const Location &from, const Location &to) const;

private:
    ZoneCost m_betweenZones;
    ZoneCost m_betweenRegions;
    Duration m_delayPerCostUnit{0};
    std::map<std::pair<ZoneId, ZoneId>, ZoneCost> m_pairCosts;
};

} // namespace godwit
