#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/ports/modelpin.h>

#include <compare>
#include <cstdint>
#include <string>

namespace godwit {

/// One token of a response. Carries its origin, so that tokens of another request, model or engine
/// are detected.
struct EngineEvent
{
    BackendId engine;
    ModelPin pin;
    RequestId request;
    std::uint64_t position = 0; ///< Index of the token in the whole response, from 0.
    std::string text;
    std::string finishReason; ///< Empty except in the last event.
    std::string data;         ///< The event as sent by the engine, JSON.

    friend auto operator<=>(const EngineEvent &, const EngineEvent &) = default;
};

} // namespace godwit
