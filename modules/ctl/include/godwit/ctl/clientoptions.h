#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <cstdint>
#include <vector>

namespace godwit {

/// Entry processes that an OperatorClient asks, and how long it tries.
struct ClientOptions
{
    std::vector<HttpEndpoint> entries; ///< In order of preference.
    /// Passes over all entries for a command whose effect is unknown. With the default delay they
    /// outlast the 10 s within which a change takes effect everywhere.
    std::uint32_t passes = 8;
    Duration passDelay = std::chrono::milliseconds(1500);
    Duration connectTimeout = std::chrono::seconds(1);
    Duration replyTimeout = std::chrono::seconds(10);
};

} // namespace godwit
