#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <cstdint>

namespace godwit {

/// Reports the outcome of the current step of a version change and starts the next step. Sent by
/// the entry process that is responsible for the order, see PlacementRepair.
struct StepOrder
{
    OperationId order;
    /// Value that the sender saw; refused if the order has another.
    std::uint32_t steppedHosts = 0;
    std::uint32_t errors = 0; ///< Failed loads that are not yet reported.

    friend bool operator==(const StepOrder &, const StepOrder &) = default;
};

template <>
struct JsonFields<StepOrder>
{
    static constexpr auto table = std::tuple{field("order", &StepOrder::order),
                                             field("stepped_hosts", &StepOrder::steppedHosts),
                                             field("errors", &StepOrder::errors)};
};

} // namespace godwit
