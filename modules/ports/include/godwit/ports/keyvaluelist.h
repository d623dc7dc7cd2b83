#pragma once

#include <godwit/ports/keyvalueentry.h>

#include <compare>
#include <vector>

namespace godwit {

/// All keys with one prefix at one store revision, ascending by key.
struct KeyValueList
{
    StoreRevision revision; ///< A watch from the next revision misses nothing.
    std::vector<KeyValueEntry> entries;

    friend auto operator<=>(const KeyValueList &, const KeyValueList &) = default;
};

} // namespace godwit
