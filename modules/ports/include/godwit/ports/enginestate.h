#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/ports/modelpin.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

/// State that an engine reports about itself.
struct EngineState
{
    BackendId engine;
    /// Increases with each start; a new value means that all work was lost.
    std::uint64_t boots = 0;
    std::vector<ModelPin> loaded; ///< Weights that the engine can serve.
    std::string role = "mixed";
    FencingNumber fencing;              ///< Highest fencing number that the engine has accepted.
    std::string author;                 ///< Author of the last order that the engine accepted.
    std::string loading;                ///< Id of the load in progress, or empty.
    ModelPin loadingPin;                ///< Weights of the load in progress.
    std::uint64_t loadedBytes = 0;      ///< Bytes that the load in progress has received.
    std::uint64_t running = 0;          ///< Running requests, excluding queued ones.
    std::uint64_t blockCharacters = 64; ///< Block size of the prefix cache, see cacheblocks.h.

    friend auto operator<=>(const EngineState &, const EngineState &) = default;
};

template <>
struct JsonFields<EngineState>
{
    static constexpr auto table =
            std::tuple{field("engine", &EngineState::engine),
                       field("boots", &EngineState::boots),
                       field("loaded", &EngineState::loaded),
                       field("role", &EngineState::role),
                       field("fencing", &EngineState::fencing),
                       field("author", &EngineState::author),
                       field("loading", &EngineState::loading),
                       field("loading_pin", &EngineState::loadingPin),
                       field("loaded_bytes", &EngineState::loadedBytes),
                       field("running", &EngineState::running),
                       field("block_characters", &EngineState::blockCharacters)};
};

} // namespace godwit
