#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Replaces a lost host of a load order by another host.
struct RepairPlacement
{
    OperationId order;
    HostId lost;

    friend bool operator==(const RepairPlacement &, const RepairPlacement &) = default;
};

template <>
struct JsonFields<RepairPlacement>
{
    static constexpr auto table = std::tuple{field("order", &RepairPlacement::order),
                                             field("lost", &RepairPlacement::lost)};
};

} // namespace godwit
