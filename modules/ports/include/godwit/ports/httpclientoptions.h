#pragma once

#include <godwit/base/time.h>

#include <cstddef>

namespace godwit {

/// Limits of the connection pool of an HttpClient.
struct HttpClientOptions
{
    std::size_t idlePerEndpoint = 64; ///< Maximum number of idle connections.
    /// How long an idle connection is kept. Below the idle timeout of common servers, so that a
    /// call rarely uses a connection that the server is just closing.
    Duration poolTimeout = std::chrono::seconds(15);
};

} // namespace godwit
