#pragma once

#include <godwit/base/ids.h>

#include <compare>
#include <cstdint>

namespace godwit {

/// One process of a backend server. Neither its id nor its address identifies it for good: both may
/// be used again by a process that starts later.
struct BackendInstance
{
    BackendId id;
    std::uint64_t startTimeMs = 0; ///< Unix time.

    friend auto operator<=>(const BackendInstance &, const BackendInstance &) = default;
};

} // namespace godwit
