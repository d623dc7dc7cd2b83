#pragma once

#include <compare>
#include <cstdint>

namespace godwit {

/// Token counts of a finished response.
struct EngineUsage
{
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0; ///< Prompt tokens found in the prefix cache.
    std::uint64_t completionTokens = 0;

    friend auto operator<=>(const EngineUsage &, const EngineUsage &) = default;
};

} // namespace godwit
