#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <array>
#include <compare>
#include <string>
#include <vector>

namespace godwit {

/// State of a host as planned by the platform.
enum class HostState {
    Live,
    Leaving, ///< Will be stopped soon; must not get new work.
};

template <>
struct JsonNames<HostState>
{
    static constexpr std::array<std::pair<HostState, std::string_view>, 2> table{
            {{HostState::Live, "live"}, {HostState::Leaving, "leaving"}}};
};

/// One entry of the host list.
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

/// Snapshot of the host list, which may be outdated.
struct HostList
{
    std::uint64_t version = 0; ///< Increases with each change.
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
