#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// When a version was named, and for how long older ones may serve from then on.
struct VersionWindow
{
    TimePoint announcedAt;
    Duration gracePeriod{0};

    friend bool operator==(const VersionWindow &, const VersionWindow &) = default;
};

/// When the engines of a service load the newest version of a model. An engine that loads lets its
/// requests come to an end and accepts nothing new, so the engines take turns. Entry and host
/// processes derive the same turns from the same records, without messages between them: the hosts
/// order the loads, and the entries prefer engines that do not load soon.
///
/// Breaking the requests off instead, for others to go on with, would make most of them late: busy
/// engines have no room for them.
///
/// The turns fill the time in which older versions may still serve. An engine that has missed
/// several versions has its turn before it may serve no longer, because it would be idle then.
class LoadSchedule
{
public:
    void announceVersion(std::uint64_t version, const VersionWindow &window);

    /// The engines that take turns, by address.
    void setEngines(const std::vector<std::string> &addresses);

    /// When the engine at \a address, which serves \a served, loads the newest version. Nothing if
    /// it has that version, or if the engine is not known.
    std::optional<TimePoint> loadTime(const std::string &address, std::uint64_t served) const;

private:
    struct AnnouncedVersion
    {
        std::uint64_t version = 0;
        VersionWindow window;
    };

    void updateRanks();

    std::vector<AnnouncedVersion> m_announcedVersions; ///< By rising version.
    std::vector<std::string> m_addresses;
    std::map<std::string, double> m_ranks; ///< Position in the order of turns, from 0 to below 1.
};

} // namespace godwit
