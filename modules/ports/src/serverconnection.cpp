#include "serverconnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>

namespace godwit {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Read size while a request is being handled. Such a read only detects that the caller closes the
/// connection, or receives the start of the next request. It is small so that a long streamed reply
/// does not hold a full read buffer.
constexpr std::size_t HandlingReadSize = 256;
/// How long the server discards input after its last reply before it closes the connection. Closing
/// a socket with unread input resets the connection, and the caller could lose the reply.
constexpr Duration LingerTimeout = std::chrono::seconds(1);

/// Number of bytes after which the server discards no more. A caller that sends on after its
/// rejection would occupy the thread.
constexpr std::size_t LingerBytes = 4UL * 1024 * 1024;

/// A body of unknown length grows by one of this number of parts of its size, and at least by
/// MinBodyGrowth. Doubling would hold up to twice the length.
constexpr std::size_t BodyGrowthParts = 4;
constexpr std::size_t MinBodyGrowth = 1024;

/// Unused bytes of the receive buffer above which it is reallocated.
constexpr std::size_t UnusedBufferBytes = 1024;

constexpr std::string_view TimeoutReply =
        "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
constexpr const char *MemoryRetryAfter = "1"; ///< In seconds, for requests without memory.

/// Time for the next request of a connection that is open when the server stops and on which a
/// request may be in transit: the first one, or one after a reply that left the connection open.
constexpr Duration LastRequestTimeout = std::chrono::milliseconds(500);

/// Returns the HTTP status of the reply to a request that the parser rejected with \a ec.
int parseErrorStatus(const ErrorCode &ec)
{
    if (ec == http::error::header_limit)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    return 400;
}

ServerRejection rejectionFor(int status)
{
    switch (status) {
    case 413:
        return ServerRejection::BodyLimit;
    case 431:
        return ServerRejection::HeaderLimit;
    default:
        return ServerRejection::Malformed;
    }
}

/// Returns the memory that \a text has allocated.
std::size_t allocatedBytes(const std::string &text)
{
    static const std::size_t inlineCapacity = std::string().capacity();
    return text.capacity() > inlineCapacity ? text.capacity() : 0;
}

/// Returns the memory of \a headers. Short fields take far more of it than bytes of the message.
std::size_t memoryOf(const HttpHeaders &headers)
{
    std::size_t bytes = 0;
    // The vector of the fields may have twice the capacity that it needs.
    for (const auto &[name, value] : headers)
        bytes += 2 * sizeof(HttpHeaders::Field) + allocatedBytes(name) + allocatedBytes(value);
    return bytes;
}

/// Reply to one request of a connection.
class ServerReply : public HttpReply
{
public:
    ServerReply(std::shared_ptr<ServerConnection> connection, std::uint64_t serial,
                std::size_t requestBytes)
        : m_connection(std::move(connection))
        , m_serial(serial)
        , m_requestBytes(requestBytes)
    {}

    ~ServerReply() override
    {
        run([serial = m_serial, bytes = m_requestBytes](ServerConnection &c) {
            c.onReplyDropped(serial, bytes);
        });
    }

    void send(HttpResponse response) override
    {
        run([serial = m_serial, response = std::move(response)](ServerConnection &c) mutable {
            c.send(serial, std::move(response));
        });
    }

    void start(int status, HttpHeaders headers) override
    {
        run([serial = m_serial, status, headers = std::move(headers)](ServerConnection &c) {
            c.startStream(serial, status, headers);
        });
    }

    std::size_t write(std::string data) override
    {
        m_connection->addQueuedBytes(data.size());
        run([serial = m_serial, data = std::move(data)](ServerConnection &c) mutable {
            c.writeStream(serial, std::move(data));
        });
        return m_connection->queuedBytes();
    }

    void finish() override
    {
        run([serial = m_serial](ServerConnection &c) { c.finishStream(serial); });
    }

    void abort() override
    {
        run([serial = m_serial](ServerConnection &c) { c.abort(serial); });
    }

    std::size_t queuedBytes() const override { return m_connection->queuedBytes(); }

    void onDrained(std::function<void()> callback) override
    {
        run([serial = m_serial, callback = std::move(callback)](ServerConnection &c) mutable {
            c.setOnDrained(serial, std::move(callback));
        });
    }

    void onClosed(std::function<void()> callback) override
    {
        run([serial = m_serial, callback = std::move(callback)](ServerConnection &c) mutable {
            c.setOnClosed(serial, std::move(callback));
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

    std::shared_ptr<ServerConnection> m_connection;
    std::uint64_t m_serial;
    std::size_t m_requestBytes;
};

} // namespace

ServerConnection::ServerConnection(asio::io_context &io, tcp::socket socket,
                                   std::shared_ptr<ServerState> shared)
    : m_io(io)
    , m_socket(std::move(socket))
    , m_shared(std::move(shared))
    , m_timer(io, [this] { onDeadline(); })
{}

void ServerConnection::open()
{
    ErrorCode ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    m_queue = &m_shared->busy;
    m_position = m_queue->insert(m_queue->end(), this);
    m_peer = m_socket.remote_endpoint(ec).address().to_string();
    nextRequest();
}

void ServerConnection::abort(std::uint64_t serial)
{
    if (isCurrent(serial))
        close();
}

void ServerConnection::onReplyDropped(std::uint64_t serial, std::size_t requestBytes)
{
    m_shared->requestBytes -= requestBytes;
    if (!isCurrent(serial))
        return;
    if (m_streaming)
        close();
    else
        send(serial, HttpResponse{500, {}, {}});
}

void ServerConnection::setOnDrained(std::uint64_t serial, std::function<void()> callback)
{
    if (isCurrent(serial))
        m_onDrained = std::move(callback);
}

void ServerConnection::setOnClosed(std::uint64_t serial, std::function<void()> callback)
{
    if (serial == m_serial && m_closed && m_phase == Phase::Handling)
        callback();
    else if (isCurrent(serial))
        m_onClosed = std::move(callback);
}

void ServerConnection::closeAfterReply()
{
    // A reply of which the header has been sent leaves the connection open for one more request.
    if (m_phase == Phase::Handling && !m_streaming)
        m_keepAlive = false;
    if (m_phase != Phase::Idle)
        return;
    if (m_serial == 0)
        m_timer.set(LastRequestTimeout); // The first request may be on its way.
    else
        closeIdle();
}

void ServerConnection::rejectIncomplete(ServerRejection reason)
{
    if (m_phase != Phase::Receiving || m_closed)
        return;
    m_shared->recordRejection(reason);
    rejectRequest(408);
}

void ServerConnection::rejectAndClose(ServerRejection reason)
{
    m_shared->recordRejection(reason);
    ErrorCode ec;
    m_socket.write_some(asio::buffer(TimeoutReply), ec);
    close();
}

void ServerConnection::closeIdle()
{
    // A read that has received bytes passes them on after this. Only one that has not is aborted,
    // which closes the connection.
    if (hasUnreadBytes())
        return;
    ErrorCode ec;
    m_socket.cancel(ec);
}

bool ServerConnection::hasUnreadBytes() const
{
    ErrorCode ec;
    return m_socket.available(ec) > 0;
}

void ServerConnection::close()
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
    if (m_queue)
        std::exchange(m_queue, nullptr)->erase(m_position);
    endWriting();
    m_shared->outputBytes -= std::exchange(m_outputBytes, 0);
    m_pending.clear();
    releaseRequest();
    if (m_onClosed) {
        const auto callback = std::exchange(m_onClosed, nullptr);
        callback();
    }
}

void ServerConnection::drop()
{
    m_onClosed = nullptr;
    close();
}

bool ServerConnection::isCurrent(std::uint64_t serial) const
{
    return serial == m_serial && m_phase == Phase::Handling && !m_closed;
}

void ServerConnection::setPhase(Phase phase)
{
    m_phase = phase;
    if (!m_queue)
        return;
    ConnectionQueue *queue = phase == Phase::Idle        ? &m_shared->idle
                             : phase == Phase::Receiving ? &m_shared->receiving
                             : phase == Phase::Lingering ? &m_shared->lingering
                                                         : &m_shared->busy;
    queue->splice(queue->end(), *m_queue, m_position);
    m_queue = queue;
}

void ServerConnection::endWriting()
{
    if (m_writingPosition)
        m_shared->writing.erase(*m_writingPosition);
    m_writingPosition.reset();
}

void ServerConnection::countRequest()
{
    if (m_buffer.size() == 0 || m_buffer.capacity() > m_buffer.size() + UnusedBufferBytes)
        m_buffer.shrink_to_fit();
    const std::size_t held =
            m_closed ? 0 : m_buffer.capacity() + allocatedBytes(m_body) + m_headBytes;
    m_shared->requestBytes = m_shared->requestBytes - m_heldBytes + held;
    m_heldBytes = held;
}

void ServerConnection::releaseBody()
{
    // An assignment of an empty string would keep the memory.
    std::string().swap(m_body);
}

void ServerConnection::releaseRequest()
{
    releaseBody();
    m_buffer.clear();
    m_headBytes = 0;
    if (m_parser)
        m_parser->headers = HttpHeaders();
    countRequest();
}

void ServerConnection::nextRequest()
{
    setPhase(Phase::Idle);
    m_streaming = false;
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(m_shared->options.headerLimit);
    m_parser->body_limit(m_shared->options.bodyLimit);
    releaseBody();
    m_headBytes = 0;
    m_parser->onBody = [this](std::string_view data) { appendBody(data); };
    m_parser->onHeader = [this] { onHeader(); };
    m_timer.set(m_shared->accepting ? m_shared->options.idleTimeout : LastRequestTimeout);
    countRequest();
    if (m_buffer.size() > 0)
        parse();
    else
        read();
}

void ServerConnection::onHeader()
{
    m_headBytes = memoryOf(m_parser->headers) + allocatedBytes(m_parser->target);
    if (m_parser->headers.value("Expect") == "100-continue")
        enqueue("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::appendBody(std::string_view data)
{
    const std::size_t needed = m_body.size() + data.size();
    if (needed > m_body.capacity()) {
        std::size_t capacity = needed + std::max(needed / BodyGrowthParts, MinBodyGrowth);
        if (const auto rest = m_parser->content_length_remaining())
            capacity = std::min<std::size_t>(capacity, m_body.size() + *rest);
        // Reserving in place would at least double the capacity.
        std::string grown;
        grown.reserve(std::max(capacity, needed));
        grown.append(m_body);
        m_body.swap(grown);
    }
    m_body.append(data);
}

void ServerConnection::read()
{
    if (m_readPending || m_closed)
        return;
    m_readPending = true;
    // A connection that waits for bytes holds no buffer for them.
    m_socket.async_wait(tcp::socket::wait_read,
                        [self = shared_from_this()](ErrorCode ec) { self->onReadable(ec); });
}

void ServerConnection::onReadable(const ErrorCode &waitError)
{
    m_readPending = false;
    if (m_closed)
        return;
    if (waitError == asio::error::operation_aborted && m_phase == Phase::Idle && hasUnreadBytes()) {
        read();
        return;
    }
    ErrorCode ec = waitError;
    std::size_t n = 0;
    if (!ec) {
        const bool isReading = m_phase != Phase::Handling && m_phase != Phase::Draining;
        n = m_socket.read_some(
                asio::buffer(m_shared->readBuffer.data(),
                             isReading ? m_shared->readBuffer.size() : HandlingReadSize),
                ec);
    }
    if (ec == asio::error::would_block) {
        read();
        return;
    }
    if (ec) {
        close();
        return;
    }
    if (m_phase == Phase::Lingering) {
        linger(n);
        return;
    }
    asio::buffer_copy(m_buffer.prepare(n), asio::buffer(m_shared->readBuffer.data(), n));
    m_buffer.commit(n);
    onRead();
}

void ServerConnection::onRead()
{
    if (m_phase == Phase::Idle || m_phase == Phase::Receiving)
        parse();
    else
        countRequest();
    // A pipelined request stays in the buffer until the current reply has ended. Reading on would
    // use unbounded memory.
}

void ServerConnection::parse()
{
    if (m_phase == Phase::Idle)
        m_timer.set(m_shared->options.requestTimeout);
    setPhase(Phase::Receiving);
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        ErrorCode ec;
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        // An incomplete header, chunk header or trailer. The body is consumed as it arrives.
        if (ec == http::error::need_more && m_buffer.size() > m_shared->options.headerLimit)
            ec = http::error::header_limit;
        if (ec == http::error::need_more)
            break;
        if (ec) {
            const int status = parseErrorStatus(ec);
            m_shared->recordRejection(rejectionFor(status));
            rejectRequest(status);
            return;
        }
    }
    countRequest();
    if (m_parser->is_done()) {
        handle();
        return;
    }
    m_shared->makeRequestRoom(0, m_heldBytes);
    // Otherwise this request itself has been rejected.
    if (m_phase == Phase::Receiving)
        read();
}

void ServerConnection::rejectRequest(int status)
{
    m_keepAlive = false;
    setPhase(Phase::Handling);
    ++m_serial;
    releaseRequest();
    send(m_serial, HttpResponse{status, {}, {}});
}

void ServerConnection::refuseRequest()
{
    m_shared->recordRejection(ServerRejection::CompleteForMemory);
    releaseBody();
    m_headBytes = 0;
    m_parser->headers = HttpHeaders();
    countRequest();
    send(m_serial, HttpResponse{503, {{"Retry-After", MemoryRetryAfter}}, {}});
}

void ServerConnection::handle()
{
    setPhase(Phase::Handling);
    m_timer.clear();
    ++m_serial;
    m_keepAlive = m_parser->keep_alive() && m_shared->accepting && m_shared->keepAlive;
    m_headRequest = m_parser->method == "HEAD";
    const std::size_t size = allocatedBytes(m_body) + m_headBytes;
    const std::size_t copies = std::max<std::size_t>(m_shared->options.handlerCopies, 1);
    if (!m_shared->makeRequestRoom((copies - 1) * size, copies * size)) {
        refuseRequest();
        return;
    }
    HttpRequest request{std::move(m_parser->method), std::move(m_parser->target),
                        std::move(m_parser->headers), std::move(m_body), m_peer};
    releaseBody();
    m_headBytes = 0;
    countRequest();
    m_shared->requestBytes += copies * size;
    // Detects that the caller closes the connection while its request is being handled.
    if (m_buffer.size() == 0)
        read();
    m_shared->handler(std::move(request),
                      std::make_shared<ServerReply>(shared_from_this(), m_serial, copies * size));
}

void ServerConnection::afterReply()
{
    if (!m_keepAlive) {
        ErrorCode ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        setPhase(Phase::Lingering);
        m_timer.set(LingerTimeout);
        releaseRequest();
        read();
        return;
    }
    nextRequest();
}

void ServerConnection::linger(std::size_t n)
{
    m_lingeredBytes += n;
    if (m_lingeredBytes > LingerBytes)
        close();
    else
        read();
}

void ServerConnection::onDeadline()
{
    if (m_phase == Phase::Receiving)
        rejectIncomplete(ServerRejection::Timeout);
    else if (m_phase == Phase::Idle)
        closeIdle();
    else
        close();
}

} // namespace godwit
