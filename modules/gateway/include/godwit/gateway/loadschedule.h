#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Period after the announcement of a version in which older versions may still serve.
struct VersionWindow
{
    /// A sound engine may fall silent for this long at any time. It goes on with the requests that
    /// it has read before it notices which of them were cancelled meanwhile.
    static constexpr Duration MaxSilence = std::chrono::milliseconds(1500);
    /// Time for requests that were sent to an engine with an older version to start there, or to be
    /// cancelled, even if it falls silent.
    static constexpr Duration StartMargin = MaxSilence + std::chrono::milliseconds(500);

    TimePoint announcedAt; ///< Estimate.
    Duration gracePeriod{0};
    /// The period may end this much earlier, because the announcement may be older than estimated.
    Duration uncertainty{0};

    TimePoint end() const { return announcedAt + gracePeriod; }
    /// Older versions may certainly serve until then.
    TimePoint earliestEnd() const { return end() - uncertainty; }
    /// Engines with older versions get no new requests from then on.
    TimePoint startDeadline() const { return earliestEnd() - StartMargin; }

    friend bool operator==(const VersionWindow &, const VersionWindow &) = default;
};

/// Time from which engines with versions older than one that was announced with \a window get no
/// new requests: at once, at \a now, without a window, because the version may have been announced
/// long ago.
inline TimePoint startDeadline(const std::optional<VersionWindow> &window, TimePoint now)
{
    return window ? window->startDeadline() : now;
}

/// Staggers the loading of the newest version of a model over the engines of a service. An engine
/// finishes its requests and accepts no new ones while it loads, so the engines must not all load
/// at once. Entry and host processes derive the same schedule from the same records without
/// exchanging messages: hosts start the loads, and entry processes prefer engines that do not load
/// soon.
///
/// Requests are not broken off and resumed elsewhere instead: busy engines have no room for them,
/// so most would be late.
///
/// The load times are spread over the period in which older versions may still serve. An engine
/// that has missed several versions loads before the oldest of those periods ends; after that it
/// would be idle.
class LoadSchedule
{
public:
    void announceVersion(std::uint64_t version, const VersionWindow &window);

    /// Sets the engines to be scheduled, by address.
    void setEngines(const std::vector<std::string> &addresses);

    /// When the engine at \a address, which serves \a served, loads the newest version. None if it
    /// already serves that version or is unknown.
    std::optional<TimePoint> loadTime(const std::string &address, std::uint64_t served) const;

private:
    struct AnnouncedVersion
    {
        std::uint64_t version = 0;
        VersionWindow window;
    };

    void updateRanks();

    std::vector<AnnouncedVersion> m_announcedVersions; ///< Sorted by version.
    std::vector<std::string> m_addresses;
    std::map<std::string, double> m_ranks; ///< Position in the load order, in [0, 1).
};

} // namespace godwit
