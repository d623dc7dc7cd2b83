#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <compare>
#include <tuple>

namespace godwit {

/// Host that takes part in a transfer, with its location.
struct Participant
{
    HostId host;
    ZoneId zone;
    RegionId region;

    friend auto operator<=>(const Participant &, const Participant &) = default;
};

template <>
struct JsonFields<Participant>
{
    static constexpr auto table =
            std::tuple{field("host", &Participant::host), field("zone", &Participant::zone),
                       field("region", &Participant::region)};
};

} // namespace godwit
