#pragma once

#include <godwit/ports/keyvalueentry.h>

#include <compare>

namespace godwit {

/// A write or deletion of one key, reported by a watch.
struct WatchEvent
{
    KeyValueEntry entry; ///< Without value and lease for a deletion.
    bool deleted = false;

    friend auto operator<=>(const WatchEvent &, const WatchEvent &) = default;
};

} // namespace godwit
