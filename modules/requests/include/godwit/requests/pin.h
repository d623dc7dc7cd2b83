#pragma once

#include <godwit/base/ids.h>

#include <compare>

namespace godwit {

/// Model, adapter and version that a request was admitted for. Every hop checks the pin, and a
/// response never combines output of two different pins.
struct Pin
{
    ModelId model;
    AdapterId adapter;
    VersionId version;

    friend auto operator<=>(const Pin &, const Pin &) = default;
};

} // namespace godwit
