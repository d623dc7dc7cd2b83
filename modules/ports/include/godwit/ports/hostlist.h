#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <array>
#include <compare>
#include <string>
#include <vector>

namespace godwit {

/// What the platform plans for a host.
enum class HostState {
    Live,
    Leaving, ///< Will be stopped soon; must get no new work.
};

template <>
struct JsonNames<HostState>
{
    static constexpr std::array<std::pair<HostState, std::string_view>, 2> table{
            {{HostState::Live, "live"}, {HostState::Leaving, "leaving"}}};
};

/// One row of the host list.
struct ListedHost
{
    HostId host;
    ZoneId zone;
    std::string address; ///< IP address.
    HostState state = HostState::Live;

    friend auto operator<=>(const ListedHost &, const ListedHost &) = default;
};

template <>
struct JsonFields<ListedHost>
{
    static constexpr auto table =
            std::tuple{field("host", &ListedHost::host), field("zone", &ListedHost::zone),
                       field("address", &ListedHost::address), field("state", &ListedHost::state)};
};

/// The host list as of some time in the past.
struct HostList
{
    std::uint64_t version = 0; ///< Grows with each change.
    std::vector<ListedHost> hosts;

    friend auto operator<=>(const HostList &, const HostList &) = default;
};

template <>
struct JsonFields<HostList>
{
    static constexpr auto table =
            std::tuple{field("version", &HostList::version), field("hosts", &HostList::hosts)};
};

} // namespace godwit
