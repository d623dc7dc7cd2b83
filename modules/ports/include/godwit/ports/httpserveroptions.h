#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <cstddef>
#include <cstdint>

namespace godwit {

/// Address and limits of an HttpServer.
struct HttpServerOptions
{
    HttpEndpoint listen;    ///< Port 0 lets the kernel choose.
    bool reusePort = false; ///< Lets several servers, one per thread, share the port.
    std::uint32_t headerLimit = 16UL * 1024;            ///< Bytes of request line and headers.
    std::uint64_t bodyLimit = 8UL * 1024 * 1024;        ///< Bytes.
    std::size_t queueLimit = 1024UL * 1024;             ///< Bytes that a streamed reply may queue.
    std::size_t connectionLimit = 10'000;               ///< Further connections are closed at once.
    Duration requestTimeout = std::chrono::seconds(10); ///< From first to last byte of a request.
    Duration idleTimeout = std::chrono::seconds(60);    ///< Between requests.
    Duration writeTimeout = std::chrono::seconds(30);   ///< Until the caller takes queued bytes.
};

} // namespace godwit
