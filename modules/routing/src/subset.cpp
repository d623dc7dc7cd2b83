#include <godwit/routing/subset.h>

#include <godwit/base/rendezvous.h>

#include <algorithm>
#include <cmath>

namespace godwit {

Subset::Subset(HostId self, std::size_t size)
    : m_self(std::move(self))
    , m_size(std::clamp<std::size_t>(size, 1, MaxSize))
    , m_entries{m_self}
{}

void Subset::setEntries(std::vector<HostId> entries)
{
    entries.push_back(m_self);
    std::ranges::sort(entries);
    entries.erase(std::unique(entries.begin(), entries.end()), entries.end());
    if (entries == m_entries)
        return;
    m_entries = std::move(entries);
    m_entriesPerServer = entriesPerServer();
    refreshSelections();
}

void Subset::add(const BackendId &backend)
{
    Server server;
    server.rank = rendezvousWeight(m_self.value(), backend.value());
    server.selectsSelf = backendSelectsSelf(backend);
    m_servers[backend] = server;
    const std::size_t previous = std::exchange(m_entriesPerServer, entriesPerServer());
    if (previous != m_entriesPerServer)
        refreshSelections();
}

void Subset::remove(const BackendId &backend)
{
    m_servers.erase(backend);
    const std::size_t previous = std::exchange(m_entriesPerServer, entriesPerServer());
    if (previous != m_entriesPerServer)
        refreshSelections();
}

std::size_t Subset::senderCount() const
{
    return m_servers.size() <= m_size ? m_entries.size() : m_entriesPerServer;
}

std::vector<BackendId> Subset::members() const
{
    std::vector<std::pair<const BackendId *, Server>> ranked;
    ranked.reserve(m_servers.size());
    std::size_t selectingSelf = 0;
    for (const auto &[id, server] : m_servers) {
        ranked.emplace_back(&id, server);
        selectingSelf += server.selectsSelf ? 1 : 0;
    }
    const auto ranksHigher = [](const auto &a, const auto &b) {
        if (a.second.selectsSelf != b.second.selectsSelf)
            return a.second.selectsSelf;
        return a.second.rank != b.second.rank ? a.second.rank > b.second.rank : *a.first < *b.first;
    };
    const std::size_t n = std::min({std::max(m_size, selectingSelf), MaxSize, ranked.size()});
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                      ranksHigher);
    std::vector<BackendId> members;
    members.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        members.push_back(*ranked[i].first);
    return members;
}

std::size_t Subset::entriesPerServer() const
{
    if (m_servers.empty())
        return 1;
    const double ideal =
            static_cast<double>(m_size * m_entries.size()) / static_cast<double>(m_servers.size());
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(ideal)), 1,
                                   m_entries.size());
}

bool Subset::backendSelectsSelf(const BackendId &backend) const
{
    // The server selects the m_entriesPerServer entry processes with the highest weight.
    const std::uint64_t own = rendezvousWeight(backend.value(), m_self.value());
    std::size_t higher = 0;
    for (const HostId &entry : m_entries) {
        const std::uint64_t weight = rendezvousWeight(backend.value(), entry.value());
        higher += weight > own || (weight == own && entry < m_self) ? 1 : 0;
    }
    return higher < m_entriesPerServer;
}

void Subset::refreshSelections()
{
    for (auto &[id, server] : m_servers)
        server.selectsSelf = backendSelectsSelf(id);
}

} // namespace godwit
