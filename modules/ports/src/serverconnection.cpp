#include "serverconnection.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <charconv>

namespace godwit {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t ReadSize = 16UL * 1024;
/// Read size while a request is being handled. Such a read only detects that the caller closes the
/// connection, or receives the start of the next request. It is small so that a long streamed reply
/// does not hold a full read buffer.
constexpr std::size_t HandlingReadSize = 256;
/// Chunks of a streamed reply are coalesced up to about this size. One system call writes up to 64
/// buffers, and a chunk that is not coalesced would need three of them.
constexpr std::size_t CoalescedBytes = 16UL * 1024;
/// How long the server discards input after its last reply before it closes the connection. Closing
/// a socket with unread input resets the connection, and the caller could lose the reply.
constexpr Duration LingerTimeout = std::chrono::seconds(1);

/// Time for the next request of a connection that is open when the server stops and on which a
/// request may be in transit: the first one, or one after a reply that left the connection open.
constexpr Duration LastRequestTimeout = std::chrono::milliseconds(500);

std::string formatHeader(int status, const HttpHeaders &headers)
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

/// Returns the HTTP status of the reply to a request that the parser rejected with \a ec.
int parseErrorStatus(const ErrorCode &ec)
{
    if (ec == http::error::header_limit)
        return 431;
    if (ec == http::error::body_limit)
        return 413;
    return 400;
}

/// Reply to one request of a connection.
class ServerReply : public HttpReply
{
public:
    ServerReply(std::shared_ptr<ServerConnection> connection, std::uint64_t serial)
        : m_connection(std::move(connection))
        , m_serial(serial)
    {}

    ~ServerReply() override
    {
        run([serial = m_serial](ServerConnection &c) { c.onReplyDropped(serial); });
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
    m_peer = m_socket.remote_endpoint(ec).address().to_string();
    nextRequest();
}

void ServerConnection::send(std::uint64_t serial, HttpResponse response)
{
    if (!isCurrent(serial) || m_streaming)
        return;
    std::string text = formatHeader(response.status, response.headers);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += headerEnd();
    if (m_headRequest)
        response.body.clear();
    enqueue(std::move(text));
    if (!response.body.empty())
        enqueue(std::move(response.body));
    endReply();
}

void ServerConnection::startStream(std::uint64_t serial, int status, const HttpHeaders &headers)
{
    if (!isCurrent(serial) || m_streaming)
        return;
    m_streaming = true;
    enqueue(formatHeader(status, headers) + "Transfer-Encoding: chunked\r\n" + headerEnd());
}

void ServerConnection::writeStream(std::uint64_t serial, std::string data)
{
    if (!isCurrent(serial) || !m_streaming || data.empty() || m_headRequest) {
        m_queuedBytes.fetch_sub(data.size(), std::memory_order_relaxed);
        return;
    }
    enqueueChunk(data);
    if (queuedBytes() > m_shared->options.queueLimit)
        close();
}

void ServerConnection::finishStream(std::uint64_t serial)
{
    if (!isCurrent(serial) || !m_streaming)
        return;
    if (!m_headRequest)
        enqueue("0\r\n\r\n");
    endReply();
}

void ServerConnection::abort(std::uint64_t serial)
{
    if (isCurrent(serial))
        close();
}

void ServerConnection::onReplyDropped(std::uint64_t serial)
{
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

void ServerConnection::rejectIncomplete()
{
    if (m_phase == Phase::Receiving && !m_closed)
        rejectRequest(408);
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

void ServerConnection::nextRequest()
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
    m_timer.set(m_shared->accepting ? m_shared->options.idleTimeout : LastRequestTimeout);
    if (m_buffer.size() > 0)
        parse();
    else
        read();
}

void ServerConnection::onHeader()
{
    if (m_parser->headers.value("Expect") == "100-continue")
        enqueue("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerConnection::read()
{
    if (m_readPending || m_closed)
        return;
    m_readPending = true;
    m_socket.async_read_some(
            m_buffer.prepare(m_phase == Phase::Handling ? HandlingReadSize : ReadSize),
            [self = shared_from_this()](ErrorCode ec, std::size_t n) { self->onRead(ec, n); });
}

void ServerConnection::onRead(const ErrorCode &ec, std::size_t n)
{
    m_readPending = false;
    if (m_closed)
        return;
    if (ec == asio::error::operation_aborted && m_phase == Phase::Idle && hasUnreadBytes()) {
        read();
        return;
    }
    if (ec) {
        close();
        return;
    }
    m_buffer.commit(n);
    if (m_phase == Phase::Idle || m_phase == Phase::Receiving)
        parse();
    else if (m_phase == Phase::Lingering)
        linger();
    // A pipelined request stays in the buffer until the current reply has ended. Reading on would
    // use unbounded memory.
}

void ServerConnection::parse()
{
    if (m_phase == Phase::Idle) {
        m_phase = Phase::Receiving;
        m_timer.set(m_shared->options.requestTimeout);
    }
    while (m_buffer.size() > 0 && !m_parser->is_done()) {
        ErrorCode ec;
        m_buffer.consume(m_parser->put(m_buffer.data(), ec));
        // An incomplete header, chunk header or trailer. The body is consumed as it arrives.
        if (ec == http::error::need_more && m_buffer.size() > m_shared->options.headerLimit)
            ec = http::error::header_limit;
        if (ec == http::error::need_more)
            break;
        if (ec) {
            rejectRequest(parseErrorStatus(ec));
            return;
        }
    }
    if (m_parser->is_done())
        handle();
    else
        read();
}

void ServerConnection::rejectRequest(int status)
{
    m_keepAlive = false;
    m_phase = Phase::Handling;
    ++m_serial;
    send(m_serial, HttpResponse{status, {}, {}});
}

void ServerConnection::handle()
{
    m_phase = Phase::Handling;
    m_timer.clear();
    ++m_serial;
    m_keepAlive = m_parser->keep_alive() && m_shared->accepting && m_shared->keepAlive;
    m_headRequest = m_parser->method == "HEAD";
    HttpRequest request{std::move(m_parser->method), std::move(m_parser->target),
                        std::move(m_parser->headers), std::move(m_body), m_peer};
    m_body = std::string();
    // Detects that the caller closes the connection while its request is being handled.
    if (m_buffer.size() == 0) {
        m_buffer.shrink_to_fit();
        read();
    }
    m_shared->handler(std::move(request),
                      std::make_shared<ServerReply>(shared_from_this(), m_serial));
}

void ServerConnection::enqueue(std::string bytes, std::size_t payloadBytes)
{
    m_pending.push_back({std::move(bytes), payloadBytes});
    if (m_inFlight.empty())
        flush();
}

void ServerConnection::enqueueChunk(std::string_view data)
{
    if (m_pending.empty() || m_pending.back().bytes.size() > CoalescedBytes)
        m_pending.emplace_back();
    OutputSegment &segment = m_pending.back();
    segment.bytes += chunkPrefix(data.size());
    segment.bytes += data;
    segment.bytes += "\r\n";
    segment.payloadBytes += data.size();
    if (m_inFlight.empty())
        flush();
}

void ServerConnection::flush()
{
    // Segments that are queued in one iteration of the event loop are written by one system call.
    if (m_flushPosted || m_closed)
        return;
    m_flushPosted = true;
    asio::post(m_io, [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->writePending();
    });
}

void ServerConnection::writePending()
{
    if (m_closed || m_pending.empty() || !m_inFlight.empty())
        return;
    m_inFlight.swap(m_pending);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_inFlight.size());
    for (const OutputSegment &segment : m_inFlight)
        buffers.emplace_back(segment.bytes.data(), segment.bytes.size());
    m_timer.set(m_shared->options.writeTimeout);
    asio::async_write(m_socket, buffers, [self = shared_from_this()](ErrorCode ec, std::size_t) {
        self->onWritten(ec);
    });
}

void ServerConnection::onWritten(const ErrorCode &ec)
{
    for (const OutputSegment &segment : m_inFlight)
        m_queuedBytes.fetch_sub(segment.payloadBytes, std::memory_order_relaxed);
    m_inFlight.clear();
    if (m_closed)
        return;
    if (ec) {
        close();
        return;
    }
    if (!m_pending.empty()) {
        writePending();
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

void ServerConnection::endReply()
{
    m_phase = Phase::Draining;
    m_onDrained = nullptr;
    m_onClosed = nullptr;
    if (m_inFlight.empty() && m_pending.empty())
        afterReply();
}

void ServerConnection::afterReply()
{
    if (!m_keepAlive) {
        ErrorCode ec;
        m_socket.shutdown(tcp::socket::shutdown_send, ec);
        m_phase = Phase::Lingering;
        m_timer.set(LingerTimeout);
        linger();
        return;
    }
    nextRequest();
}

void ServerConnection::linger()
{
    if (m_readPending)
        return;
    m_buffer.clear();
    read();
}

void ServerConnection::onDeadline()
{
    if (m_phase == Phase::Receiving)
        rejectIncomplete();
    else if (m_phase == Phase::Idle)
        closeIdle();
    else
        close();
}

} // namespace godwit
