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
    ModelPin pin; ///< The engine rejects the request unless exactly these weights are loaded.
    std::string path = "/v1/chat/completions"; ///< Or "/v1/completions".
    std::string body;                          ///< JSON in the format of the API at `path`.
    int priority = 0;                          ///< Requests with a higher value run first.
    std::uint64_t resumePosition = 0;          ///< Number of tokens that the caller already has.
    std::string traceparent;                   ///< W3C trace context, may be empty.
    /// Longest time without a received byte before the first token. Includes the time that the
    /// request waits in the engine's queue.
    Duration firstTokenTimeout = std::chrono::seconds(30);
    /// Longest time without a received byte after the first token. Far above the usual 77 ms
    /// between tokens, and short enough to continue on another engine before the caller's deadline.
    Duration stallTimeout = std::chrono::seconds(5);
};

} // namespace godwit
