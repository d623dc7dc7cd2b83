#include "manifestsource.h"

#include <godwit/base/rendezvous.h>

#include <algorithm>

namespace godwit {

std::optional<HostId> manifestSource(const std::vector<Participant> &participants,
                                     const Participant &self, std::string_view key,
                                     std::uint32_t attempt)
{
    std::vector<std::string> hosts;
    for (const Participant &it : participants) {
        if (it.region == self.region)
            hosts.push_back(it.host.value());
    }
    const std::vector<std::string> ranked = rendezvousTop(key, hosts, hosts.size());
    const auto own = std::ranges::find(ranked, self.host.value());
    const auto rank = static_cast<std::size_t>(own - ranked.begin());
    if (own == ranked.end() || rank < OriginReadersPerRegion || attempt > OriginReadersPerRegion)
        return std::nullopt;
    const std::size_t parent = (rank - OriginReadersPerRegion) / ManifestFanOut;
    return HostId(ranked[attempt == 0 ? parent : attempt - 1]);
}

} // namespace godwit
