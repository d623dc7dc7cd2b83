#include "serverconnection.h"

#include <godwit/ports/httpserver.h>

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <atomic>
#include <charconv>
#include <set>
#include <vector>

#include <sys/socket.h>

namespace godwit {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int ListenBacklog = 1024;
/// Pause after a connection could not be accepted.
constexpr Duration AcceptRetryInterval = std::chrono::milliseconds(100);

/// Returns whether a connection could not be accepted for lack of descriptors or memory.
bool isExhausted(const ErrorCode &ec)
{
    return ec == asio::error::no_descriptors || ec == asio::error::no_memory
           || ec == asio::error::no_buffer_space
           || ec == boost::system::errc::too_many_files_open_in_system;
}

/// Binds \a acceptor and starts to listen. Returns an error message, empty on success.
std::string bindAndListen(tcp::acceptor &acceptor, const HttpServerOptions &options)
{
    ErrorCode ec;
    const auto address = asio::ip::make_address(options.listen.address, ec);
    if (ec)
        return "not an IP address";
    const tcp::endpoint endpoint(address, options.listen.port);
    acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec && options.reusePort) {
        const int on = 1;
        if (::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on) != 0)
            return "cannot set SO_REUSEPORT";
    }
    if (!ec)
        acceptor.bind(endpoint, ec);
    if (!ec)
        acceptor.listen(ListenBacklog, ec);
    return ec ? ec.message() : std::string();
}

} // namespace

class HttpServer::Private : public std::enable_shared_from_this<HttpServer::Private>
{
public:
    Private(asio::io_context &io, HttpServerOptions options, Handler handler)
        : m_io(io)
        , m_acceptor(io)
        , m_acceptTimer(io,
                        [this] {
                            if (m_shared->accepting)
                                accept();
                        })
        , m_shared(std::make_shared<ServerState>())
    {
        m_shared->options = std::move(options);
        m_shared->handler = std::move(handler);
    }

    std::string bind() { return bindAndListen(m_acceptor, m_shared->options); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    ServerState &shared() const { return *m_shared; }

    void accept()
    {
        m_acceptor.async_accept([weak = weak_from_this()](ErrorCode ec, tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || ec == asio::error::operation_aborted || self->m_isShutDown)
                return;
            // A connection that was accepted just before stop() is served like those before it.
            if (!ec)
                self->add(std::move(socket));
            if (!self->m_shared->accepting)
                return;
            // The connection stays in the queue of the system if no descriptor is left. Accepting
            // it again at once would occupy the thread.
            if (isExhausted(ec) && !self->m_shared->closeOneConnection())
                self->m_acceptTimer.set(AcceptRetryInterval);
            else
                self->accept();
        });
    }

    void setOptions(const HttpServerOptions &options)
    {
        const HttpServerOptions previous = m_shared->options;
        m_shared->options = options;
        m_shared->options.listen = previous.listen;
        m_shared->options.reusePort = previous.reusePort;
        m_shared->options.connectionLimit = previous.connectionLimit;
        m_shared->options.requestMemoryLimit = previous.requestMemoryLimit;
        m_shared->options.outputMemoryLimit = previous.outputMemoryLimit;
        m_shared->options.handlerCopies = previous.handlerCopies;
    }

    void closeAfterReplies() { m_shared->keepAlive = false; }

    void stop()
    {
        m_shared->accepting = false;
        acceptQueued();
        ErrorCode ec;
        m_acceptor.close(ec);
        for (const auto &connection :
             std::vector(m_shared->connections.begin(), m_shared->connections.end()))
            connection->closeAfterReply();
    }

    void rejectIncomplete()
    {
        // The end of a connection changes the set.
        const auto connections = m_shared->connections;
        for (const auto &connection : connections)
            connection->rejectIncomplete(ServerRejection::Timeout);
    }

    void closeAll(bool withCallbacks)
    {
        const auto connections = m_shared->connections;
        for (const auto &connection : connections)
            withCallbacks ? connection->close() : connection->drop();
    }

    void shutDown()
    {
        m_shared->accepting = false;
        m_isShutDown = true;
        ErrorCode ec;
        m_acceptor.close(ec);
        closeAll(false);
        m_shared->handler = nullptr;
        m_shared->onRejected = nullptr;
    }

private:
    /// Accepts the connections in the listen queue. The system would reset them when the acceptor
    /// is closed, although their callers may have sent requests.
    void acceptQueued()
    {
        ErrorCode ec;
        m_acceptor.non_blocking(true, ec);
        while (!ec) {
            tcp::socket socket(m_io);
            m_acceptor.accept(socket, ec);
            if (!ec)
                add(std::move(socket));
        }
    }

    void add(tcp::socket socket)
    {
        if (m_shared->connections.size() >= m_shared->options.connectionLimit
            && !m_shared->closeOneConnection()) {
            m_shared->recordRejection(ServerRejection::Connection);
            return;
        }
        const auto connection =
                std::make_shared<ServerConnection>(m_io, std::move(socket), m_shared);
        m_shared->connections.insert(connection);
        connection->open();
    }

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    DeadlineTimer m_acceptTimer;
    std::shared_ptr<ServerState> m_shared;
    bool m_isShutDown = false;
};

Result<std::unique_ptr<HttpServer>> HttpServer::listen(asio::io_context &io,
                                                       HttpServerOptions options, Handler handler)
{
    const std::string address = toString(options.listen);
    auto p = std::make_shared<Private>(io, std::move(options), std::move(handler));
    const std::string problem = p->bind();
    if (!problem.empty())
        return fail(ResultCode::ListenFailed, address + ": " + problem);
    p->accept();
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(p)));
}

HttpServer::HttpServer(std::shared_ptr<Private> p)
    : m_private(std::move(p))
    , m_port(m_private->port())
{}

HttpServer::~HttpServer()
{
    m_private->shutDown();
}

std::uint16_t HttpServer::boundPort() const
{
    return m_port;
}

HttpEndpoint HttpServer::endpoint() const
{
    return {m_private->shared().options.listen.address, m_port};
}

std::size_t HttpServer::openConnections() const
{
    return m_private->shared().connections.size();
}

std::size_t HttpServer::requestBytes() const
{
    return m_private->shared().requestBytes;
}

void HttpServer::setOnRejected(std::function<void(ServerRejection)> callback)
{
    m_private->shared().onRejected = std::move(callback);
}

void HttpServer::setOptions(const HttpServerOptions &options)
{
    m_private->setOptions(options);
}

void HttpServer::closeAfterReplies()
{
    m_private->closeAfterReplies();
}

void HttpServer::stopAccepting()
{
    m_private->stop();
}

void HttpServer::rejectIncomplete()
{
    m_private->rejectIncomplete();
}

void HttpServer::closeConnections()
{
    m_private->closeAll(true);
}

} // namespace godwit
