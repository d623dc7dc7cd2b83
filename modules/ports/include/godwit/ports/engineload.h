#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/time.h>

#include <compare>
#include <cstdint>

namespace godwit {

/// Load report of an engine. It describes the state of the engine \a age before the reply.
struct EngineLoad
{
    BackendId engine;
    std::uint64_t boots = 0;
    Duration age{0};
    std::uint64_t slots = 0;
    std::uint64_t running = 0;
    std::uint64_t queued = 0;
    std::uint64_t queuedPromptTokens = 0;
    double tokensPerSecond = 0; ///< Generation rate of one request.
    double prefillTokensPerSecond = 0;
    std::uint64_t cacheBlocks = 0; ///< Capacity of the prefix cache in blocks.
    std::uint64_t cacheUsed = 0;   ///< Blocks of the prefix cache in use.

    friend auto operator<=>(const EngineLoad &, const EngineLoad &) = default;
};

template <>
struct JsonFields<EngineLoad>
{
    static constexpr auto table =
            std::tuple{field("engine", &EngineLoad::engine),
                       field("boots", &EngineLoad::boots),
                       field("age_us", &EngineLoad::age),
                       field("slots", &EngineLoad::slots),
                       field("running", &EngineLoad::running),
                       field("queued", &EngineLoad::queued),
                       field("queued_prompt_tokens", &EngineLoad::queuedPromptTokens),
                       field("tokens_per_second", &EngineLoad::tokensPerSecond),
                       field("prefill_tokens_per_second", &EngineLoad::prefillTokensPerSecond),
                       field("cache_blocks", &EngineLoad::cacheBlocks),
                       field("cache_used", &EngineLoad::cacheUsed)};
};

} // namespace godwit
