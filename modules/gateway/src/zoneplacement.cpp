#include <godwit/gateway/zoneplacement.h>

#include <algorithm>

namespace godwit {

AllowedRegions commonRegions(const std::vector<RegionId> &route,
                             const std::vector<RegionId> &customer)
{
    if (route.empty() && customer.empty())
        return std::nullopt;
    const auto &first = route.empty() ? customer : route;
    const auto &second = customer.empty() ? route : customer;
    std::set<RegionId> common;
    for (const RegionId &it : first) {
        if (std::ranges::find(second, it) != second.end())
            common.insert(it);
    }
    return common;
}

bool ZonePlacement::setEvacuated(const ZoneId &zone, bool evacuated)
{
    return evacuated ? m_evacuated.insert(zone).second : m_evacuated.erase(zone) > 0;
}

ZonePlacement::Verdict ZonePlacement::judge(const ZoneId &zone, const AllowedRegions &regions) const
{
    if (regions) {
        const auto region = m_regions.find(zone);
        if (region == m_regions.end() || !regions->contains(region->second))
            return Verdict::OtherRegion;
    }
    return m_evacuated.contains(zone) ? Verdict::Evacuated : Verdict::Allowed;
}

} // namespace godwit
