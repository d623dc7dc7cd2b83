#pragma once

#include <cstdint>

namespace godwit {

/// Load that a backend server reports in a response header.
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;

    friend auto operator<=>(const BackendLoad &, const BackendLoad &) = default;
};

} // namespace godwit
