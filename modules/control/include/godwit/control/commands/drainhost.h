#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Takes a host out of service; it receives no new requests and no placements.
struct DrainHost
{
    HostId host;

    friend bool operator==(const DrainHost &, const DrainHost &) = default;
};

template <>
struct JsonFields<DrainHost>
{
    static constexpr auto table = std::tuple{field("host", &DrainHost::host)};
};

} // namespace godwit
