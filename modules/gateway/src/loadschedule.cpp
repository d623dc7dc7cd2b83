#include <godwit/gateway/loadschedule.h>

#include <godwit/base/rendezvous.h>

#include <algorithm>
#include <set>

namespace godwit {

namespace {

/// Fraction of the grace period after which the first engine loads. Before that, few hosts have the
/// weights.
constexpr double FirstLoadShare = 0.425;
/// Between the last load and the end of the grace period: engines with an older version get no new
/// requests from StartMargin before the end.
constexpr Duration LastLoadMargin = VersionWindow::StartMargin + std::chrono::milliseconds(500);

} // namespace

void LoadSchedule::announceVersion(std::uint64_t version, const VersionWindow &window)
{
    if (!m_announcedVersions.empty() && m_announcedVersions.back().version >= version)
        return;
    m_announcedVersions.push_back({version, window});
    updateRanks();
}

void LoadSchedule::setEngines(const std::vector<std::string> &addresses)
{
    m_addresses = addresses;
    updateRanks();
}

void LoadSchedule::updateRanks()
{
    m_ranks.clear();
    if (m_announcedVersions.empty())
        return;
    const std::string key = std::to_string(m_announcedVersions.back().version);
    // Ordered by hash, so that the order differs between versions.
    std::set<std::pair<std::uint64_t, std::string>> ordered;
    for (const std::string &it : m_addresses)
        ordered.emplace(rendezvousWeight(key, it), it);
    double position = 0;
    for (const auto &[weight, address] : ordered)
        m_ranks[address] = position++ / static_cast<double>(ordered.size());
}

std::optional<TimePoint> LoadSchedule::loadTime(const std::string &address,
                                                std::uint64_t served) const
{
    const auto rank = m_ranks.find(address);
    if (rank == m_ranks.end() || m_announcedVersions.back().version <= served)
        return std::nullopt;
    const VersionWindow &newest = m_announcedVersions.back().window;
    const TimePoint first =
            newest.announcedAt
            + std::chrono::duration_cast<Duration>(FirstLoadShare * newest.gracePeriod);
    const auto firstMissed =
            std::ranges::upper_bound(m_announcedVersions, served, {}, &AnnouncedVersion::version);
    const TimePoint last = std::max(first, firstMissed->window.end() - LastLoadMargin);
    return first + std::chrono::duration_cast<Duration>(rank->second * (last - first));
}

} // namespace godwit
