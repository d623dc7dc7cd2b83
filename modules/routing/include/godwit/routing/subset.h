#pragma once

#include <godwit/base/ids.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace godwit {

/// Subset of the servers of one deployment that an entry process uses.
///
/// Each server selects entry processes by rendezvous hashing, so that every server is used by at
/// least one entry process. An entry process that fewer servers select than its subset size adds
/// the servers that rank highest in its own rendezvous hashing. Adding or removing one server or
/// entry process changes few assignments. All entry processes compute the same assignments if they
/// have the same lists. If more than MaxSize servers select an entry process, it uses only the
/// highest-ranked ones, and some servers may be used by no entry process.
class Subset
{
public:
    static constexpr std::size_t DefaultSize = 32;

    /// Upper limit, which bounds the cost of a selection and the number of load reports that an
    /// entry process receives.
    static constexpr std::size_t MaxSize = 64;

    Subset(HostId self, std::size_t size = DefaultSize);

    /// Sets the entry processes that are alive. This process is included even if it is not listed.
    void setEntries(std::vector<HostId> entries);

    void add(const BackendId &backend);
    void remove(const BackendId &backend);

    std::size_t serverCount() const { return m_servers.size(); }

    /// Average number of entry processes, including this one, that use the same server.
    std::size_t senderCount() const;

    /// Servers of the subset, highest rank first.
    std::vector<BackendId> members() const;

private:
    struct Server
    {
        std::uint64_t rank = 0;
        bool selectsSelf = false;
    };

    std::size_t entriesPerServer() const;
    bool backendSelectsSelf(const BackendId &backend) const;
    void refreshSelections();

    HostId m_self;
    std::size_t m_size;
    std::vector<HostId> m_entries;
    std::map<BackendId, Server> m_servers;
    std::size_t m_entriesPerServer = 1;
};

} // namespace godwit
