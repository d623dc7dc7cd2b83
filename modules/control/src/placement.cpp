#include <godwit/base/rendezvous.h>
#include <godwit/control/placement.h>

#include <algorithm>
#include <map>

namespace godwit {

namespace {

std::map<ZoneId, std::size_t> countByZone(const std::vector<HostLocation> &hosts,
                                          const std::set<HostId> &present)
{
    std::map<ZoneId, std::size_t> counts;
    for (const HostLocation &host : hosts)
        counts[host.zone] += present.contains(host.host) ? 1 : 0;
    return counts;
}

} // namespace

std::vector<HostId> choosePlacement(std::string_view key, const std::vector<HostLocation> &hosts,
                                    const std::set<HostId> &present, std::size_t count)
{
    auto zones = countByZone(hosts, present);
    struct Candidate
    {
        std::uint64_t weight;
        const HostLocation *host;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(hosts.size());
    for (const HostLocation &host : hosts) {
        if (!present.contains(host.host))
            candidates.push_back({rendezvousWeight(key, host.host.value()), &host});
    }
    std::ranges::sort(candidates, [](const Candidate &a, const Candidate &b) {
        return a.weight != b.weight ? a.weight > b.weight : a.host->host < b.host->host;
    });
    std::map<ZoneId, std::vector<const HostLocation *>> byZone; // Lowest rank first.
    for (auto it = candidates.rbegin(); it != candidates.rend(); ++it)
        byZone[it->host->zone].push_back(it->host);
    std::map<const HostLocation *, std::size_t> rank;
    for (std::size_t i = 0; i < candidates.size(); ++i)
        rank[candidates[i].host] = i;

    std::vector<HostId> chosen;
    while (chosen.size() < count && !byZone.empty()) {
        const auto best = std::ranges::min_element(byZone, {}, [&](const auto &entry) {
            return std::pair(zones[entry.first], rank[entry.second.back()]);
        });
        chosen.push_back(best->second.back()->host);
        ++zones[best->first];
        best->second.pop_back();
        if (best->second.empty())
            byZone.erase(best);
    }
    return chosen;
}

std::vector<HostLocation> eligibleHosts(const Configuration &configuration,
                                        const Deployment &deployment,
                                        const std::vector<HostLocation> &hosts)
{
    std::vector<HostLocation> eligible;
    for (const HostLocation &host : hosts) {
        if (isAllowed(deployment, host.host) && !configuration.drained.contains(host.host))
            eligible.push_back(host);
    }
    return eligible;
}

} // namespace godwit
