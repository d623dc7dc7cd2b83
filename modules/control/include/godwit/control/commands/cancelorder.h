#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Cancels a load order; its hosts unload the model or adapter.
struct CancelOrder
{
    OperationId order;

    friend bool operator==(const CancelOrder &, const CancelOrder &) = default;
};

template <>
struct JsonFields<CancelOrder>
{
    static constexpr auto table = std::tuple{field("order", &CancelOrder::order)};
};

} // namespace godwit
