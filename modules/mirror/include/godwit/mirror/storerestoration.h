#pragma once

#include <godwit/ports/storeposition.h>

#include <compare>
#include <cstddef>

namespace godwit {

/// How the keys of a mirror differ in a service that has come back from a copy. What the copy lacks
/// may already have been written again.
struct StoreRestoration
{
    StorePosition previous;  ///< Up to which all writes had been reported.
    StorePosition current;   ///< Of the list of the copy.
    std::size_t missing = 0; ///< Known keys that are not in the list.
    std::size_t older = 0;   ///< Other value, lower revision.
    std::size_t newer = 0;   ///< Other value, other revision.
    std::size_t added = 0;   ///< Keys that were not known.
    std::size_t same = 0;    ///< Same value.

    friend bool operator==(const StoreRestoration &, const StoreRestoration &) = default;
};

} // namespace godwit
