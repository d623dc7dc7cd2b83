#pragma once

#include <godwit/base/time.h>

#include <cstddef>
#include <cstdint>

namespace godwit {

/// Limits and timeouts of a connection between two processes.
struct WireOptions
{
    Duration heartbeatInterval = std::chrono::milliseconds(500);

    /// A connection that has received no data for this long is closed. Three heartbeat intervals
    /// tolerate one lost packet and detect a failed peer within 2 s.
    Duration heartbeatTimeout = std::chrono::milliseconds(1500);

    Duration connectTimeout = std::chrono::milliseconds(1000);

    /// Flow control window of a stream in bytes. Sustains 400 Mbit/s at a round-trip time of 5 ms.
    std::int32_t streamWindow = 256 * 1024;

    std::int32_t connectionWindow = 8 * 1024 * 1024;
    std::uint32_t maxStreams = 100'000;
    std::size_t maxHeaderBytes = 16UL * 1024;

    /// Maximum size of the reply to WireClient::call(). Above the largest manifest.
    std::size_t maxReplyBytes = 8UL * 1024 * 1024;

    friend bool operator==(const WireOptions &, const WireOptions &) = default;
};

} // namespace godwit
