#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/ports/modelpin.h>

#include <cstdint>
#include <string>

namespace godwit {

/// A request to an engine.
struct EngineCall
{
    RequestId request;
    AttemptId attempt;
    ModelPin pin; ///< The engine refuses the request if it has not loaded exactly this.
    std::string path = "/v1/chat/completions"; ///< Or "/v1/completions".
    std::string body;                          ///< JSON as defined by the API of the path.
    int priority = 0;                          ///< Higher runs first.
    std::uint64_t resumePosition = 0;          ///< Tokens that the caller already has.
    std::string traceparent;                   ///< W3C trace context, may be empty.
    /// Without any byte before the first token, which may wait in the engine's queue.
    Duration silenceTimeout = std::chrono::seconds(30);
    /// Without any byte after the first token. Far above the usual 77 ms between tokens, and short
    /// enough to continue on another engine before the caller's deadline.
    Duration stallTimeout = std::chrono::seconds(5);
};

} // namespace godwit
