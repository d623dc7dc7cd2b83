#pragma once

#include <godwit/base/ids.h>

namespace godwit {

/// Query: progress of one load order on each of its hosts.
struct ShowOrder
{
    OperationId order;
    bool follow = false; ///< The client polls until the order is done.

    friend bool operator==(const ShowOrder &, const ShowOrder &) = default;
};

} // namespace godwit
