#pragma once

#include <godwit/ports/keyvalueentry.h>
#include <godwit/ports/storeposition.h>

#include <compare>
#include <vector>

namespace godwit {

/// All keys with a common prefix at one position of the store, in ascending order.
struct KeyValueList
{
    StorePosition position; ///< A watch from the next revision on reports all later writes.
    std::vector<KeyValueEntry> entries;

    friend auto operator<=>(const KeyValueList &, const KeyValueList &) = default;
};

} // namespace godwit
