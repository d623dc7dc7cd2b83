#pragma once

#include <cstdint>
#include <optional>

namespace godwit {

/// Load that a backend server reports in a response header.
struct BackendLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes at this moment, in percent of the usual; none if it is not reported.
    std::optional<std::uint32_t> workTimePercent = {};

    friend auto operator<=>(const BackendLoad &, const BackendLoad &) = default;
};

} // namespace godwit
