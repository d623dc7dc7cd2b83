#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

namespace godwit {

/// Where a platform service is and how long to wait for it.
struct ServiceOptions
{
    HttpEndpoint endpoint;
    Duration connectTimeout = std::chrono::seconds(1);
    Duration replyTimeout = std::chrono::seconds(5); ///< Without a byte from the service.
};

} // namespace godwit
