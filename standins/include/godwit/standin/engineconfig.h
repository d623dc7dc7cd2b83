#pragma once

#include <godwit/ports/modelpin.h>
#include <godwit/standin/standinconfig.h>

namespace godwit::standin {

/// Configuration of a simulated model engine.
struct EngineConfig : StandinConfig
{
    ModelPin pin;            ///< Weights loaded at start; none if the model is empty.
    std::uint64_t slots = 8; ///< Maximum number of concurrent requests.
    std::uint64_t queueLimit = 1000;
    double tokensPerSecond = 50; ///< Per running request.
    double prefillTokensPerSecond = 5000;
    std::uint64_t defaultTokens = 16; ///< Used if the request has no max_tokens.
    std::uint64_t charactersPerToken = 4;
    std::uint64_t cacheBlocks = 1000;
    std::uint64_t blockCharacters = 64;
    std::uint64_t cacheBytesPerBlock = 1024; ///< Size of an exported cache block.
    Duration loadLag{0};
    Duration cacheEventDelay{0};
    bool checkFencing = true;
    bool reportsLoad = true;
    std::string poison; ///< A request whose body contains this text crashes the engine.
    Duration restartDelay = std::chrono::seconds(1);
    bool restartLoaded = false; ///< Whether the weights are still loaded after a crash.

    friend bool operator==(const EngineConfig &, const EngineConfig &) = default;
};

} // namespace godwit::standin

template <>
struct godwit::JsonFields<godwit::standin::EngineConfig>
{
    using Config = godwit::standin::EngineConfig;
    static constexpr auto table = std::tuple_cat(
            JsonFields<godwit::standin::StandinConfig>::table,
            std::tuple{field("pin", &Config::pin), field("slots", &Config::slots),
                       field("queue_limit", &Config::queueLimit),
                       field("tokens_per_second", &Config::tokensPerSecond),
                       field("prefill_tokens_per_second", &Config::prefillTokensPerSecond),
                       field("default_tokens", &Config::defaultTokens),
                       field("characters_per_token", &Config::charactersPerToken),
                       field("cache_blocks", &Config::cacheBlocks),
                       field("block_characters", &Config::blockCharacters),
                       field("cache_bytes_per_block", &Config::cacheBytesPerBlock),
                       field("load_lag_us", &Config::loadLag),
                       field("cache_event_delay_us", &Config::cacheEventDelay),
                       field("check_fencing", &Config::checkFencing),
                       field("reports_load", &Config::reportsLoad),
                       field("poison", &Config::poison),
                       field("restart_delay_us", &Config::restartDelay),
                       field("restart_loaded", &Config::restartLoaded)});
};
