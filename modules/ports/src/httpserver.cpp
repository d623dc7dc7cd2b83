#include "deadlinetimer.h"
#include "httpparser.h"

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

constexpr std::size_t ReadSize = 16UL * 1024;
/// While a request is being served, a read only notices that the caller closes the connection, or
/// takes the start of the next request. A long streamed reply must not hold a whole read buffer.
constexpr std::size_t WatchSize = 256;
/// Chunks of a streamed reply are joined up to about this size. One system call takes 64 pieces,
/// and a chunk in pieces of its own would need three of them.
constexpr std::size_t JoinedBytes = 16UL * 1024;
/// How long the server discards input after its last reply. Closing a socket with unread input
/// resets the connection, and the caller could lose the reply.
constexpr Duration LingerTime = std::chrono::seconds(1);
constexpr int ListenBacklog = 1024;

class Connection;

/// What the connections of one server share.
struct Shared
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::set<std::shared_ptr<Connection>> connections;
    bool accepting = true;
    bool keepingAlive = true;
};

std::string headerText(int status, const HttpHeaders &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += httpReason(status);
    text += "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text;
}

std::string chunkPrefix(std::size_t size)
{
    char digits[2 * sizeof size];
    const auto [end, ec] = std::to_chars(std::begin(digits), std::end(digits), size, 16);
    return std::string(std::begin(digits), end) + "\r\n";
}

/// Status of the answer to a request that the parser refused, 0 if none can be given.
int refusalStatus(const ErrorCode &ec)
{
    if (ec == http::error::header_limit)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    return 400;
}

class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(asio::io_context &io, tcp::socket socket, std::shared_ptr<Shared> shared)
        : m_io(io)
        , m_socket(std::move(socket))
        , m_shared(std::move(shared))
        , m_timer(io, [this] { onDeadline(); })
    {}

    asio::io_context &context() { return m_io; }
    std::size_t queuedBytes() const { return m_queued.load(std::memory_order_relaxed); }

    void addQueued(std::size_t n) { m_queued.fetch_add(n, std::memory_order_relaxed); }

    void open()
    {
        ErrorCode ec;
        m_socket.set_option(tcp::no_delay(true), ec);
        m_peer = m_socket.remote_endpoint(ec).address().to_string();
        nextRequest();
    }

    bool handling() const { return m_phase == Phase::Handling; }

    void send(std::uint64_t serial, HttpResponse response)
    {
        if (!current(serial) || m_streaming)
            return;
        std::string text = headerText(response.status, response.headers);
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
        text += closingHeader();
        if (m_headRequest)
            response.body.clear();
        push(std::move(text));
        if (!response.body.empty())
            push(std::move(response.body));
        endReply();
    }

    void startStream(std::uint64_t serial, int status, const HttpHeaders &headers)
    {
        if (!current(serial) || m_streaming)
            return;
        m_streaming = true;
        push(headerText(status, headers) + "Transfer-Encoding: chunked\r\n" + closingHeader());
    }

    void writeStream(std::uint64_t serial, std::string data)
    {
        if (!current(serial) || !m_streaming || data.empty() || m_headRequest) {
            m_queued.fetch_sub(data.size(), std::memory_order_relaxed);
            return;
        }
        pushChunk(data);
        if (queuedBytes() > m_shared->options.queueLimit)
            close();
    }

    void finishStream(std::uint64_t serial)
    {
        if (!current(serial) || !m_streaming)
            return;
        if (!m_headRequest)
            push("0\r\n\r\n");
        endReply();
    }

    void abort(std::uint64_t serial)
    {
        if (current(serial))
            close();
    }

    /// The handler dropped the reply.
    void abandon(std::uint64_t serial)
    {
        if (!current(serial))
            return;
        if (m_streaming)
            close();
        else
            send(serial, HttpResponse{500, {}, {}});
    }

    void setDrained(std::uint64_t serial, std::function<void()> callback)
    {
        if (current(serial))
            m_onDrained = std::move(callback);
    }

    void setClosed(std::uint64_t serial, std::function<void()> callback)
    {
        if (serial == m_serial && m_closed && m_phase == Phase::Handling)
            callback();
        else if (current(serial))
            m_onClosed = std::move(callback);
    }

    void closeAfterReply()
    {
        m_keepAlive = false;
        if (m_phase == Phase::Idle)
            close();
    }

    void close()
    {
        if (m_closed)
            return;
        m_closed = true;
        m_timer.clear();
        ErrorCode ec;
        m_socket.close(ec);
        m_onDrained = nullptr;
        const auto self = shared_from_this();
        m_shared->connections.erase(self);
        if (m_onClosed) {
            const auto callback = std::exchange(m_onClosed, nullptr);
            callback();
        }
    }

    /// Closes without callbacks.
    void drop()
    {
        m_onClosed = nullptr;
        close();
    }

private:
    enum class Phase {
        Idle,      ///< Waits for the first byte of a request.
        Receiving, ///< Has a part of a request.
        Handling,  ///< The handler owns the current request.
        Draining,  ///< The reply is complete but not yet written.
        Lingering, ///< The reply is written; input is discarded until the caller closes.
    };

    struct Piece
    {
        std::string bytes;
        std::size_t counted = 0; ///< Bytes that count as queued.
    };

    bool current(std::uint64_t serial) const
    {
        return serial == m_serial && m_phase == Phase::Handling && !m_closed;
    }

    std::string closingHeader() const { return m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n"; }

    void nextRequest()
    {
        m_phase = Phase::Idle;
        m_streaming = false;
        m_parser.emplace();
        m_parser->eager(true);
        m_parser->header_limit(m_shared->options.headerLimit);
        m_parser->body_limit(m_shared->options.bodyLimit);
        m_body.clear();
        m_parser->onBody = [this](std::string_view data) { m_body.append(data); };
        m_parser->onHeader = [this] { onHeader(); };
        m_timer.set(m_shared->options.idleTimeout);
        if (m_buffer.size() > 0)
            parse();
        else
            read();
    }

    void onHeader()
    {
        if (m_parser->headers.value("Expect") == "100-continue")
            push("HTTP/1.1 100 Continue\r\n\r\n");
    }

    void read()
    {
        if (m_readPending || m_closed)
            return;
        m_readPending = true;
        m_socket.async_read_some(
                m_buffer.prepare(m_phase == Phase::Handling ? WatchSize : ReadSize),
                [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->onRead(ec, n); });
    }

    void onRead(const ErrorCode &ec, std::size_t n)
    {
        m_readPending = false;
        if (m_closed)
            return;
        if (ec) {
            close();
            return;
        }
        m_buffer.commit(n);
        if (m_phase == Phase::Idle || m_phase == Phase::Receiving)
            parse();
        else if (m_phase == Phase::Lingering)
            linger();
        // A request that was sent ahead stays in the buffer; reading on would be unbounded.
    }

    void parse()
    {
        if (m_phase == Phase::Idle) {
            m_phase = Phase::Receiving;
            m_timer.set(m_shared->options.requestTimeout);
        }
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            ErrorCode ec;
            m_buffer.consume(m_parser->put(m_buffer.data(), ec));
            if (ec == http::error::need_more)
                break;
            if (ec) {
                refuse(refusalStatus(ec));
                return;
            }
        }
        if (m_parser->is_done())
            handle();
        else
            read();
    }

    void refuse(int status)
    {
        m_keepAlive = false;
        m_phase = Phase::Handling;
        ++m_serial;
        send(m_serial, HttpResponse{status, {}, {}});
    }

    void handle();

    void push(std::string bytes, std::size_t counted = 0)
    {
        m_pieces.push_back({std::move(bytes), counted});
        if (m_inFlight.empty())
            flush();
    }

    void pushChunk(std::string_view data)
    {
        if (m_pieces.empty() || m_pieces.back().bytes.size() > JoinedBytes)
            m_pieces.emplace_back();
        Piece &piece = m_pieces.back();
        piece.bytes += chunkPrefix(data.size());
        piece.bytes += data;
        piece.bytes += "\r\n";
        piece.counted += data.size();
        if (m_inFlight.empty())
            flush();
    }

    void flush()
    {
        // Pieces that are queued within one turn of the event loop go out in one system call.
        if (m_flushPosted || m_closed)
            return;
        m_flushPosted = true;
        asio::post(m_io, [self = shared_from_this()] {
            self->m_flushPosted = false;
            self->writePieces();
        });
    }

    void writePieces()
    {
        if (m_closed || m_pieces.empty() || !m_inFlight.empty())
            return;
        m_inFlight.swap(m_pieces);
        std::vector<asio::const_buffer> buffers;
        buffers.reserve(m_inFlight.size());
        for (const Piece &piece : m_inFlight)
            buffers.emplace_back(piece.bytes.data(), piece.bytes.size());
        m_timer.set(m_shared->options.writeTimeout);
        asio::async_write(
                m_socket, buffers,
                [self = shared_from_this()](ErrorCode ec, std::size_t) { self->onWritten(ec); });
    }

    void onWritten(const ErrorCode &ec)
    {
        for (const Piece &piece : m_inFlight)
            m_queued.fetch_sub(piece.counted, std::memory_order_relaxed);
        m_inFlight.clear();
        if (m_closed)
            return;
        if (ec) {
            close();
            return;
        }
        if (!m_pieces.empty()) {
            writePieces();
            return;
        }
        if (m_phase == Phase::Draining) {
            afterReply();
            return;
        }
        if (m_phase == Phase::Handling)
            m_timer.clear();
        if (m_onDrained) {
            const auto callback = m_onDrained;
            callback();
        }
    }

    void endReply()
    {
        m_phase = Phase::Draining;
        m_onDrained = nullptr;
        m_onClosed = nullptr;
        if (m_inFlight.empty() && m_pieces.empty())
            afterReply();
    }

    void afterReply()
    {
        if (!m_keepAlive || !m_shared->accepting) {
            ErrorCode ec;
            m_socket.shutdown(tcp::socket::shutdown_send, ec);
            m_phase = Phase::Lingering;
            m_timer.set(LingerTime);
            linger();
            return;
        }
        nextRequest();
    }

    void linger()
    {
        if (m_readPending)
            return;
        m_buffer.clear();
        read();
    }

    void onDeadline()
    {
        if (m_phase == Phase::Receiving)
            refuse(408);
        else
            close();
    }

    asio::io_context &m_io;
    tcp::socket m_socket;
    std::shared_ptr<Shared> m_shared;
    DeadlineTimer m_timer;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpParser<true>> m_parser;
    std::string m_body;
    Phase m_phase = Phase::Idle;
    std::uint64_t m_serial = 0; ///< Of the current request, so that late replies hit no other.
    bool m_readPending = false;
    bool m_flushPosted = false;
    bool m_keepAlive = true;
    bool m_headRequest = false;
    bool m_streaming = false;
    bool m_closed = false;
    std::vector<Piece> m_pieces;
    std::vector<Piece> m_inFlight;
    std::atomic<std::size_t> m_queued = 0;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
};

class Reply : public HttpReply
{
public:
    Reply(std::shared_ptr<Connection> connection, std::uint64_t serial)
        : m_connection(std::move(connection))
        , m_serial(serial)
    {}

    ~Reply() override
    {
        run([serial = m_serial](Connection &c) { c.abandon(serial); });
    }

    void send(HttpResponse response) override
    {
        run([serial = m_serial, response = std::move(response)](Connection &c) mutable {
            c.send(serial, std::move(response));
        });
    }

    void start(int status, HttpHeaders headers) override
    {
        run([serial = m_serial, status, headers = std::move(headers)](Connection &c) {
            c.startStream(serial, status, headers);
        });
    }

    std::size_t write(std::string data) override
    {
        m_connection->addQueued(data.size());
        run([serial = m_serial, data = std::move(data)](Connection &c) mutable {
            c.writeStream(serial, std::move(data));
        });
        return m_connection->queuedBytes();
    }

    void finish() override
    {
        run([serial = m_serial](Connection &c) { c.finishStream(serial); });
    }

    void abort() override
    {
        run([serial = m_serial](Connection &c) { c.abort(serial); });
    }

    std::size_t queuedBytes() const override { return m_connection->queuedBytes(); }

    void onDrained(std::function<void()> callback) override
    {
        run([serial = m_serial, callback = std::move(callback)](Connection &c) mutable {
            c.setDrained(serial, std::move(callback));
        });
    }

    void onClosed(std::function<void()> callback) override
    {
        run([serial = m_serial, callback = std::move(callback)](Connection &c) mutable {
            c.setClosed(serial, std::move(callback));
        });
    }

private:
    template <typename Function>
    void run(Function function)
    {
        asio::dispatch(m_connection->context(),
                       [connection = m_connection, function = std::move(function)]() mutable {
                           function(*connection);
                       });
    }

    std::shared_ptr<Connection> m_connection;
    std::uint64_t m_serial;
};

void Connection::handle()
{
    m_phase = Phase::Handling;
    m_timer.clear();
    ++m_serial;
    m_keepAlive = m_parser->keep_alive() && m_shared->accepting && m_shared->keepingAlive;
    m_headRequest = m_parser->method == "HEAD";
    HttpRequest request{std::move(m_parser->method), std::move(m_parser->target),
                        std::move(m_parser->headers), std::move(m_body), m_peer};
    m_body = std::string();
    // Notices that the caller closes the connection while its request is being served.
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
        read();
    }
    m_shared->handler(std::move(request), std::make_shared<Reply>(shared_from_this(), m_serial));
}

/// Binds \a acceptor; the result is empty on success.
std::string bindTo(tcp::acceptor &acceptor, const HttpServerOptions &options)
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
            return "SO_REUSEPORT is not available";
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
        , m_shared(std::make_shared<Shared>())
    {
        m_shared->options = std::move(options);
        m_shared->handler = std::move(handler);
    }

    std::string bind() { return bindTo(m_acceptor, m_shared->options); }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    const Shared &shared() const { return *m_shared; }

    void accept()
    {
        m_acceptor.async_accept([weak = weak_from_this()](ErrorCode ec, tcp::socket socket) {
            const auto self = weak.lock();
            if (!self || ec == asio::error::operation_aborted || !self->m_shared->accepting)
                return;
            if (!ec && self->m_shared->connections.size() < self->m_shared->options.connectionLimit)
                self->add(std::move(socket));
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
    }

    void closeAfterReplies() { m_shared->keepingAlive = false; }

    void stop()
    {
        m_shared->accepting = false;
        ErrorCode ec;
        m_acceptor.close(ec);
        for (const auto &connection :
             std::vector(m_shared->connections.begin(), m_shared->connections.end()))
            connection->closeAfterReply();
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
        ErrorCode ec;
        m_acceptor.close(ec);
        closeAll(false);
        m_shared->handler = nullptr;
    }

private:
    void add(tcp::socket socket)
    {
        const auto connection = std::make_shared<Connection>(m_io, std::move(socket), m_shared);
        m_shared->connections.insert(connection);
        connection->open();
    }

    asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    std::shared_ptr<Shared> m_shared;
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

void HttpServer::closeConnections()
{
    m_private->closeAll(true);
}

} // namespace godwit
