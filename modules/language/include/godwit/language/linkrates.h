#pragma once

#include <cstdint>

namespace godwit {

/// Link rates in bits per second that a dry run uses for its estimate; 0 means unlimited.
struct LinkRates
{
    std::uint64_t origin = 0;      ///< All transfers from the origin together.
    std::uint64_t download = 0;    ///< Into one host.
    std::uint64_t interRegion = 0; ///< Between two regions, each way.

    friend bool operator==(const LinkRates &, const LinkRates &) = default;
};

} // namespace godwit
