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
    /// Maximum number of connections. A new one beyond it takes the place of the one that has been
    /// idle for the longest time, or else has gone longest without progress in an incomplete
    /// request. It is closed at once if all others are busy.
    std::size_t connectionLimit = 10'000;
    /// Maximum bytes of all requests that the server holds, with the capacity of their buffers; 0
    /// means unlimited. Counts incomplete requests, and complete ones until their handler releases
    /// the reply.
    std::size_t requestMemoryLimit = 0;
    std::size_t outputMemoryLimit = 0; ///< Maximum queued bytes of all replies; 0 means unlimited.
    /// Number of copies that the handler makes of a request at most, including the one it receives.
    std::size_t handlerCopies = 1;
    Duration requestTimeout = std::chrono::seconds(10); ///< From first to last byte of a request.
    Duration idleTimeout = std::chrono::seconds(60);    ///< Longest time between two requests.
    Duration writeTimeout = std::chrono::seconds(30);   ///< Longest time to write queued bytes.
};

} // namespace godwit
