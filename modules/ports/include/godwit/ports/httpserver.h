#pragma once

#include <godwit/base/result.h>
#include <godwit/ports/httpreply.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpserveroptions.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace godwit {

/// HTTP/1.1 server on one io_context, which is run by one thread. Keeps connections alive and
/// serves the requests of a connection one after the other.
///
/// Refuses by itself: malformed requests (400), late ones (408), oversized bodies (413) and headers
/// (431).
///
/// The server is created and destroyed on the thread of the io_context or while the io_context does
/// not run; the functions but boundPort() and endpoint() are called likewise. Destruction closes
/// all connections without further callbacks.
class HttpServer
{
public:
    /// Runs on the thread of the io_context; must not block.
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpReply>)>;

    /// Binds and listens. Fails with ListenFailed.
    static Result<std::unique_ptr<HttpServer>> listen(boost::asio::io_context &io,
                                                      HttpServerOptions options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::uint16_t boundPort() const;
    HttpEndpoint endpoint() const;
    std::size_t openConnections() const;

    /// Replaces the limits and timers for requests that begin from now on. The address and the
    /// number of connections stay as they are.
    void setOptions(const HttpServerOptions &options);

    /// Connections, new ones included, close after their next reply. Idle ones stay open.
    void closeAfterReplies();

    /// Closes the listening socket and idle connections; others close after their current reply.
    void stopAccepting();

    /// Closes all connections now; their replies see onClosed().
    void closeConnections();

private:
    class Private;
    explicit HttpServer(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
    std::uint16_t m_port = 0; ///< Outlives the listening socket.
};

} // namespace godwit
