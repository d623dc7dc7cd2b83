#pragma once

#include <cstdint>

namespace godwit {

/// Link rates in bits per second that a dry run uses for its estimate; 0 means unlimited.
struct LinkRates
{
    std::uint64_t origin = 0;      ///< Total of all transfers from the origin.
    std::uint64_t download = 0;    ///< Into one host.
    std::uint64_t interRegion = 0; ///< Between two regions, per direction.

    friend bool operator==(const LinkRates &, const LinkRates &) = default;
};

} // namespace godwit
