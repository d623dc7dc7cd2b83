#pragma once

#include <godwit/base/time.h>

#include <cstddef>

namespace godwit {

/// Limits of the connection pool of an HttpClient.
struct HttpClientOptions
{
    std::size_t idlePerEndpoint = 64; ///< Idle connections that are kept.
    /// Below the idle timeout of common servers, so that a call rarely meets a connection that its
    /// peer is just closing.
    Duration poolTimeout = std::chrono::seconds(15);
};

} // namespace godwit
