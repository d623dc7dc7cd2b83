#include <godwit/gateway/loadschedule.h>

#include <godwit/base/rendezvous.h>

#include <algorithm>
#include <set>

namespace godwit {

namespace {

/// Part of the time of a version after which the first engine loads; few hosts have the weights
/// before.
constexpr double FirstTurnShare = 0.425;
/// Between the last turn and the end of the time: entry processes stop half a second before the end
/// to use an engine with an older version.
constexpr Duration LastTurnMargin = std::chrono::milliseconds(1000);

} // namespace

void LoadSchedule::named(std::uint64_t version, const VersionTerms &terms)
{
    if (!m_namings.empty() && m_namings.back().version >= version)
        return;
    m_namings.push_back({version, terms});
    rank();
}

void LoadSchedule::setEngines(const std::vector<std::string> &addresses)
{
    m_addresses = addresses;
    rank();
}

void LoadSchedule::rank()
{
    m_ranks.clear();
    if (m_namings.empty())
        return;
    const std::string key = std::to_string(m_namings.back().version);
    // Ordered by hash, so that the order changes with each version.
    std::set<std::pair<std::uint64_t, std::string>> ordered;
    for (const std::string &it : m_addresses)
        ordered.emplace(rendezvousWeight(key, it), it);
    double position = 0;
    for (const auto &[weight, address] : ordered)
        m_ranks[address] = position++ / static_cast<double>(ordered.size());
}

std::optional<TimePoint> LoadSchedule::turn(const std::string &address, std::uint64_t served) const
{
    const auto rank = m_ranks.find(address);
    if (rank == m_ranks.end() || m_namings.back().version <= served)
        return std::nullopt;
    const VersionTerms &newest = m_namings.back().terms;
    const TimePoint first =
            newest.namedAt + std::chrono::duration_cast<Duration>(FirstTurnShare * newest.time);
    const auto missed = std::ranges::upper_bound(m_namings, served, {}, &Naming::version);
    const TimePoint last =
            std::max(first, missed->terms.namedAt + missed->terms.time - LastTurnMargin);
    return first + std::chrono::duration_cast<Duration>(rank->second * (last - first));
}

} // namespace godwit
