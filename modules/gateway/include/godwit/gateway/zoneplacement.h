#pragma once

#include <godwit/base/ids.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Regions in which a request may run; without a value, any.
using AllowedRegions = std::optional<std::set<RegionId>>;

/// Regions that both lists allow. An empty list allows any region, so that the result may be an
/// empty set only if both lists name regions.
AllowedRegions commonRegions(const std::vector<RegionId> &route,
                             const std::vector<RegionId> &customer);

/// Decides in which availability zones a request may run: zones that are being evacuated get no
/// requests, and a request with allowed regions gets no zone outside them. Has no clock.
class ZonePlacement
{
public:
    enum class Verdict {
        Allowed,
        Evacuated,
        OtherRegion, ///< Outside the allowed regions, or its region is not known.
    };

    ZonePlacement() = default;
    explicit ZonePlacement(std::map<ZoneId, RegionId> regions)
        : m_regions(std::move(regions))
    {}

    /// Starts or ends the evacuation of \a zone. Returns whether this changes anything.
    bool setEvacuated(const ZoneId &zone, bool evacuated);

    bool isEvacuated(const ZoneId &zone) const { return m_evacuated.contains(zone); }

    Verdict judge(const ZoneId &zone, const AllowedRegions &regions) const;

private:
    std::map<ZoneId, RegionId> m_regions;
    std::set<ZoneId> m_evacuated;
};

} // namespace godwit
