#pragma once

#include <godwit/base/result.h>
#include <godwit/ports/httpreply.h>
#include <godwit/ports/httprequest.h>
#include <godwit/ports/httpserveroptions.h>
#include <godwit/ports/serverrejection.h>

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace godwit {

/// HTTP/1.1 server on one io_context, which is run by one thread. Supports
/// persistent connections and serves the requests of a connection one after the other.
///
/// Rejects without calling the handler: malformed requests (400), requests that are not received in
/// time (408), oversized bodies (413) and oversized headers (431). An announced length over the
/// limit is rejected before the body is read.
///
/// If the requests together exceed HttpServerOptions::requestMemoryLimit, rejects the incomplete
/// ones that have gone longest without progress (408), and complete ones for which that leaves no
/// memory (503). An eighth of the limit is kept for small requests.
///
/// The server must be created and destroyed on the thread of the io_context or while the io_context
/// does not run. The same holds for all functions except boundPort() and endpoint(). Destruction
/// closes all connections without running their callbacks.
class HttpServer
{
public:
    /// Called for each request on the thread of the io_context. Must not block.
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

    /// Bytes of requests that count towards HttpServerOptions::requestMemoryLimit.
    std::size_t requestBytes() const;

    /// Calls \a callback for each request that is rejected without the handler and each connection
    /// that is closed because of a limit. It must not use the server.
    void setOnRejected(std::function<void(ServerRejection)> callback);

    /// Replaces the limits and timeouts for requests that begin from now on. The address and the
    /// limits of connections and memory are not changed.
    void setOptions(const HttpServerOptions &options);

    /// Closes each connection, including new ones, after its next reply. Idle connections stay
    /// open.
    void closeAfterReplies();

    /// Closes the listening socket and idle connections. Other connections close after their
    /// current reply.
    void stopAccepting();

    /// Replies to requests of which a part has arrived with 408 and closes their connections. Used
    /// shortly before the process ends.
    void rejectIncomplete();

    /// Closes all connections immediately. The onClosed() callbacks of their replies run.
    void closeConnections();

private:
    class Private;
    explicit HttpServer(std::shared_ptr<Private> p);
    std::shared_ptr<Private> m_private;
    std::uint16_t m_port = 0; ///< Stays available after the listening socket is closed.
};

} // namespace godwit
