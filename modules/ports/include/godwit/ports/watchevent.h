#pragma once

#include <godwit/ports/keyvalueentry.h>

#include <compare>

namespace godwit {

/// One write that a watch reports.
struct WatchEvent
{
    KeyValueEntry entry; ///< Without value and lease if the key was deleted.
    bool deleted = false;

    friend auto operator<=>(const WatchEvent &, const WatchEvent &) = default;
};

} // namespace godwit
