#pragma once

#include <godwit/base/ids.h>

namespace godwit {

/// Live host and its zone. Receives placements if its process has the role host.
struct HostLocation
{
    HostId host;
    ZoneId zone;

    friend bool operator==(const HostLocation &, const HostLocation &) = default;
};

} // namespace godwit
