#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <cstddef>
#include <cstdint>

namespace godwit {

/// Address and limits of an HttpServer.
struct HttpServerOptions
{
    HttpEndpoint listen;    ///< With port 0 the kernel chooses one.
    bool reusePort = false; ///< Lets several servers, one per thread, share the port.
    /// Maximum bytes of request line and headers, of one chunk header, and of the trailers.
    std::uint32_t headerLimit = 16UL * 1024;
    std::uint64_t bodyLimit = 8UL * 1024 * 1024; ///< Maximum bytes of a request body.
    std::size_t queueLimit = 1024UL * 1024;      ///< Maximum queued bytes of a streamed reply.
    std::size_t connectionLimit = 10'000;        ///< Connections beyond it are closed at once.
    Duration requestTimeout = std::chrono::seconds(10); ///< From first to last byte of a request.
    Duration idleTimeout = std::chrono::seconds(60);    ///< Longest time between two requests.
    Duration writeTimeout = std::chrono::seconds(30);   ///< Longest time to write queued bytes.
};

} // namespace godwit
