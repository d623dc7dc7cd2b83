#include "clientconnection.h"

#include <godwit/ports/asioscheduler.h>

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace godwit {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Each read may take twice as many bytes as the previous one, within these limits. Bulk transfers
/// thus use large reads, and slow streams hold only a small buffer.
constexpr std::size_t MinReadSize = 1024;
constexpr std::size_t MaxReadSize = 64UL * 1024;
/// Maximum number of responses to earlier calls that a connection may deliver. Beyond it the
/// responses no longer match the requests, and the connection is closed.
constexpr int MaxStaleResponses = 4;
/// Maximum number of interim (1xx) responses before the final one.
constexpr int MaxInterimResponses = 8;
/// Maximum number of received bytes that the parser has not consumed: an incomplete header, chunk
/// header or trailer. The body is consumed as it arrives.
constexpr std::size_t MaxUnparsedBytes = 64UL * 1024;
/// An idle connection is closed this long before the keep-alive timeout that its server announced,
/// so that no request is sent while the server closes the connection.
constexpr Duration KeepAliveSafetyMargin = std::chrono::milliseconds(500);

std::string formatRequestHeader(const HttpCall &call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\n";
    text += "Host: " + (call.host.empty() ? toString(call.endpoint) : call.host) + "\r\n";
    for (const auto &[name, value] : call.headers)
        text += name + ": " + value + "\r\n";
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n";
}

/// Returns the time N of "timeout=N" in a Keep-Alive header, in whole seconds, if present.
std::optional<Duration> parseKeepAliveTimeout(std::string_view value)
{
    constexpr std::string_view Key = "timeout=";
    const auto at = value.find(Key);
    if (at == std::string_view::npos)
        return std::nullopt;
    value.remove_prefix(at + Key.size());
    unsigned seconds = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

} // namespace

ClientConnection::ClientConnection(asio::io_context &io, HttpEndpoint endpoint, PoolCallbacks pool)
    : m_io(io)
    , m_socket(io)
    , m_timer(io, [this] { onDeadline(); })
    , m_endpoint(std::move(endpoint))
    , m_pool(std::move(pool))
    , m_readSize(MinReadSize)
{}

Duration ClientConnection::idleTimeoutFor(Duration limit) const
{
    return m_keepAliveTimeout ? std::min(limit, *m_keepAliveTimeout - KeepAliveSafetyMargin)
                              : limit;
}

void ClientConnection::connect(const CallPointer &call)
{
    m_call = call;
    ErrorCode ec;
    const auto address = asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        postFailure("not an IP address");
        return;
    }
    m_connecting = true;
    m_timer.set(call->request.connectTimeout);
    m_socket.async_connect(
            tcp::endpoint(address, m_endpoint.port),
            [self = shared_from_this()](const ErrorCode &error) { self->onConnected(error); });
}

bool ClientConnection::isQuiet()
{
    char byte = 0;
    ErrorCode ec;
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec == asio::error::would_block;
}

void ClientConnection::run(const CallPointer &call)
{
    m_call = call;
    begin();
}

void ClientConnection::cancel()
{
    const CallPointer call = closeConnection();
    if (call)
        call->fail(ResultCode::CallCancelled, "cancelled by the caller");
}

void ClientConnection::distrustIdleConnections()
{
    if (isReused())
        m_pool.closeIdle(m_endpoint);
}

void ClientConnection::resume()
{
    if (!m_call || m_connecting || m_closed)
        return;
    setCallTimer(receiveTimeout());
    if (m_buffer.size() > 0 && !m_readPending)
        parse();
    else
        read();
}

void ClientConnection::setIdle(Duration timeout)
{
    m_idle = true;
    m_timer.set(timeout);
}

void ClientConnection::drop()
{
    if (m_call) {
        m_call->ended = true;
        // Destroys the handlers later, because this function may have been called by one of them.
        asio::post(m_io, [endedHandlers = std::exchange(m_call->handlers, {})] {});
    }
    closeConnection();
}

void ClientConnection::postFailure(const std::string &detail)
{
    asio::post(m_io, [self = shared_from_this(), detail] {
        const CallPointer call = self->closeConnection();
        if (call)
            call->fail(ResultCode::PlatformUnreachable, detail);
    });
}

void ClientConnection::onConnected(const ErrorCode &ec)
{
    m_connecting = false;
    if (m_closed)
        return;
    if (ec) {
        failCall(ResultCode::PlatformUnreachable, ec.message());
        return;
    }
    ErrorCode ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored); // For isQuiet().
    begin();
}

void ClientConnection::begin()
{
    const auto &sendBefore = m_call->request.sendBefore;
    if (sendBefore && AsioScheduler(m_io).now() > *sendBefore) {
        failCall(ResultCode::NotSent, "too late to be sent");
        return;
    }
    if (!m_call->beginSending()) {
        cancel();
        return;
    }
    if (m_call->handlers.onSending)
        m_call->handlers.onSending(m_completedCalls);
    m_idle = false;
    m_receivedBytes = false;
    m_bodyStarted = false;
    m_interimResponses = 0;
    m_requestHeader = formatRequestHeader(m_call->request);
    resetParser();
    const Duration totalTimeout = m_call->request.totalTimeout;
    m_callEndsAt.reset();
    if (totalTimeout > Duration::zero())
        m_callEndsAt = MonotonicClock::now() + totalTimeout;
    setCallTimer(m_call->request.idleTimeout);
    m_writing = true;
    const std::array buffers{asio::const_buffer(asio::buffer(m_requestHeader)),
                             asio::const_buffer(asio::buffer(m_call->request.body))};
    // The lambda keeps the call alive, because the buffers refer to its body.
    asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), call = m_call](const ErrorCode &ec, std::size_t n) {
                self->onWritten(call, ec, n);
            });
    read();
}

Duration ClientConnection::receiveTimeout() const
{
    const HttpCall &request = m_call->request;
    const bool useStallTimeout = m_bodyStarted && request.stallTimeout > Duration::zero();
    return useStallTimeout ? request.stallTimeout : request.idleTimeout;
}

void ClientConnection::setCallTimer(Duration timeout)
{
    if (m_callEndsAt)
        timeout = std::clamp(*m_callEndsAt - MonotonicClock::now(), Duration::zero(), timeout);
    m_timer.set(timeout);
}

void ClientConnection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_call->request.bodyLimit);
    m_parser->skip(m_call->request.method == "HEAD");
    m_isStaleResponse = false;
    m_parser->onHeader = [this] { onHeader(); };
    m_parser->onBody = [this](std::string_view data) {
        if (m_isStaleResponse)
            return;
        m_bodyStarted = true;
        restartReceiveTimer();
        if (m_call && m_call->handlers.onData)
            m_call->handlers.onData(data);
    };
}

void ClientConnection::onHeader()
{
    if (!m_call)
        return;
    const auto &expected = m_call->request.correlation;
    const std::string *found = expected ? m_parser->headers.find(expected->header) : nullptr;
    const bool isInterim = m_parser->status < 200;
    m_isStaleResponse = !isInterim && found && *found != expected->value;
    if (isInterim || m_isStaleResponse) {
        if (m_call->handlers.onOtherHeader)
            m_call->handlers.onOtherHeader(m_parser->status, m_parser->headers);
        return;
    }
    restartReceiveTimer();
    m_keepAliveTimeout = parseKeepAliveTimeout(m_parser->headers.value("Keep-Alive"));
    if (m_call->handlers.onHeader)
        m_call->handlers.onHeader(m_parser->status, m_parser->headers);
}

void ClientConnection::onWritten(const CallPointer &call, const ErrorCode &ec, std::size_t n)
{
    m_writing = false;
    if (m_closed || m_call != call)
        return;
    if (!ec) {
        setCallTimer(receiveTimeout());
        return;
    }
    if (n > 0 || m_receivedBytes) {
        // The server may already have replied; onRead() determines the outcome. A reset is reported
        // once, here or there, see wasReset().
        return;
    }
    if (isReused() && !call->retried) {
        call->sendState = ClientCall::SendState::Unsent;
        retry();
    } else {
        failCall(ResultCode::PlatformUnreachable, ec.message());
    }
}

void ClientConnection::retry()
{
    const CallPointer call = closeConnection();
    call->retried = true;
    m_pool.startOnNewConnection(call);
}

void ClientConnection::read()
{
    if (m_readPending || m_closed)
        return;
    m_readPending = true;
    if (m_buffer.size() == 0 && m_buffer.capacity() > 2 * m_readSize)
        m_buffer.shrink_to_fit();
    m_socket.async_read_some(m_buffer.prepare(m_readSize),
                             [self = shared_from_this()](const ErrorCode &ec, std::size_t n) {
                                 self->onRead(ec, n);
                             });
}

void ClientConnection::onRead(const ErrorCode &ec, std::size_t n)
{
    m_readPending = false;
    if (m_closed)
        return;
    if (!m_call) {
        // The server closed the idle connection, or sent data that belongs to no call.
        closeConnection();
        return;
    }
    if (ec) {
        onReadFailed(ec);
        return;
    }
    m_receivedBytes = true;
    m_buffer.commit(n);
    m_readSize = std::clamp(2 * n, MinReadSize, MaxReadSize);
    if (m_call->paused)
        m_timer.clear();
    parse();
}

void ClientConnection::restartReceiveTimer()
{
    // Only a complete header and bytes of the body count as progress. A server that sends other
    // bytes now and then, or responses to earlier calls, would otherwise never time out.
    if (m_call && !m_call->paused)
        setCallTimer(receiveTimeout());
}

void ClientConnection::onReadFailed(const ErrorCode &ec)
{
    ErrorCode parseError;
    if (ec == asio::error::eof && m_parser->got_some() && !wasReset()) {
        m_parser->put_eof(parseError);
        if (!parseError && m_parser->is_done() && !m_isStaleResponse) {
            complete();
            return;
        }
    }
    if (!m_receivedBytes && isReused() && m_call->request.retryable && !m_call->retried)
        retry();
    else
        failCall(ResultCode::PlatformReplyLost, ec.message());
}

bool ClientConnection::wasReset() const
{
    ErrorCode ec;
    m_socket.remote_endpoint(ec);
    return ec == asio::error::not_connected;
}

void ClientConnection::parse()
{
    const auto self = shared_from_this();
    while (m_call && !m_call->paused && m_buffer.size() > 0 && !m_parser->is_done()) {
        ErrorCode ec;
        const std::size_t n = m_parser->put(m_buffer.data(), ec);
        if (!m_call || m_closed)
            return;
        m_buffer.consume(n);
        if (ec == http::error::need_more) {
            if (m_buffer.size() > MaxUnparsedBytes) {
                failCall(ResultCode::PlatformBadReply, "header or chunk header without an end");
                return;
            }
            break;
        }
        if (ec) {
            failCall(ResultCode::PlatformBadReply, ec.message());
            return;
        }
        if (m_parser->is_done() && m_isStaleResponse && ++m_staleResponses > MaxStaleResponses) {
            failCall(ResultCode::PlatformBadReply,
                     "too many responses that belong to earlier calls");
            return;
        }
        if (m_parser->is_done() && m_parser->status < 200
            && ++m_interimResponses > MaxInterimResponses) {
            failCall(ResultCode::PlatformBadReply, "too many interim responses");
            return;
        }
        if (m_parser->is_done() && (m_parser->status < 200 || m_isStaleResponse))
            resetParser();
    }
    if (!m_call || m_closed)
        return;
    if (m_parser->is_done())
        complete();
    else if (!m_call->paused)
        read();
    else
        m_timer.clear();
}

void ClientConnection::complete()
{
    const bool reusable =
            m_parser->keep_alive() && !m_writing && m_buffer.size() == 0 && !m_parser->need_eof();
    const CallPointer call = m_call;
    if (reusable) {
        m_call = nullptr;
        ++m_completedCalls;
        m_timer.clear();
        m_pool.returnToPool(shared_from_this());
        read();
    } else {
        closeConnection();
    }
    call->end(std::monostate());
}

void ClientConnection::onDeadline()
{
    if (m_idle)
        closeConnection();
    else if (m_connecting)
        failCall(ResultCode::PlatformUnreachable, "connection attempt timed out");
    else if (m_call && !m_call->paused)
        onReceiveTimeout();
}

void ClientConnection::onReceiveTimeout()
{
    distrustIdleConnections();
    failCall(ResultCode::PlatformTimeout,
             "no data received within the idle or stall timeout, or no end within the total one");
}

void ClientConnection::failCall(ResultCode code, const std::string &detail)
{
    const CallPointer call = closeConnection();
    if (call)
        call->fail(code, detail);
}

CallPointer ClientConnection::closeConnection()
{
    const auto self = shared_from_this();
    m_closed = true;
    m_timer.clear();
    ErrorCode ec;
    m_socket.close(ec);
    m_pool.removeConnection(self);
    return std::exchange(m_call, nullptr);
}

} // namespace godwit
