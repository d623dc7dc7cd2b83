#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <cstdint>
#include <vector>

namespace godwit {

/// Entry processes that an OperatorClient uses, and its retry and timeout limits.
struct ClientOptions
{
    std::vector<HttpEndpoint> entries; ///< In order of preference.
    /// Maximum number of passes over all entries while it is unknown whether a command took effect.
    /// With the default delay they take longer than the 10 s within which a change takes effect
    /// everywhere.
    std::uint32_t passes = 8;
    Duration passDelay = std::chrono::milliseconds(1500);
    Duration connectTimeout = std::chrono::seconds(1);
    Duration replyTimeout = std::chrono::seconds(10);
};

} // namespace godwit
