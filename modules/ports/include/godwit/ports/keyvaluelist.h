#pragma once

#include <godwit/ports/keyvalueentry.h>

#include <compare>
#include <vector>

namespace godwit {

/// All keys with a common prefix at one store revision, in ascending order.
struct KeyValueList
{
    StoreRevision revision; ///< A watch from the next revision on reports all later writes.
    std::vector<KeyValueEntry> entries;

    friend auto operator<=>(const KeyValueList &, const KeyValueList &) = default;
};

} // namespace godwit
