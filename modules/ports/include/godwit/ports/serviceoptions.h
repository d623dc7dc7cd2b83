#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

namespace godwit {

/// Endpoint and timeouts of a platform service.
struct ServiceOptions
{
    HttpEndpoint endpoint;
    Duration connectTimeout = std::chrono::seconds(1);
    /// Longest time without a byte from the service.
    Duration replyTimeout = std::chrono::seconds(5);
};

} // namespace godwit
