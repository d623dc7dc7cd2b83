#pragma once

#include <godwit/language/replytable.h>

#include <cstddef>
#include <string>

namespace godwit {

/// Progress of a load order, from the result of `show order`.
struct OrderProgress
{
    std::size_t engines = 0; ///< Rows of the result; a host without a known engine counts as one.
    std::size_t ready = 0;
    std::string orderState; ///< Empty if the order has no hosts.

    /// True if no further progress is expected without an operator.
    bool isDone() const;

    /// True if the order was stopped or cancelled.
    bool hasFailed() const;

    friend bool operator==(const OrderProgress &, const OrderProgress &) = default;
};

OrderProgress parseOrderProgress(const ReplyTable &table);

} // namespace godwit
