#include "clientconnection.h"

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

/// A read may take twice as many bytes as the last one, within these limits: bulk transfers get
/// large reads, and a slow stream holds a small buffer.
constexpr std::size_t SmallestRead = 1024;
constexpr std::size_t LargestRead = 64UL * 1024;
/// A connection that delivers more responses of earlier calls is out of step and closed.
constexpr int MostStrayResponses = 4;
/// A connection is given up this long before the time at which its server says it will close it,
/// so that a request does not cross the close.
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(500);

std::string requestText(const HttpCall &call)
{
    std::string text = call.method + ' ' + call.target + " HTTP/1.1\r\n";
    text += "Host: " + (call.host.empty() ? toString(call.endpoint) : call.host) + "\r\n";
    for (const auto &[name, value] : call.headers)
        text += name + ": " + value + "\r\n";
    if (!call.body.empty() || call.method == "POST" || call.method == "PUT")
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n";
}

/// Time in "timeout=N" of a Keep-Alive header, in whole seconds; none if there is none.
std::optional<Duration> keepAliveTime(std::string_view value)
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

ClientConnection::ClientConnection(asio::io_context &io, HttpEndpoint endpoint, Owner owner)
    : m_io(io)
    , m_socket(io)
    , m_timer(io, [this] { onDeadline(); })
    , m_endpoint(std::move(endpoint))
    , m_owner(std::move(owner))
    , m_readSize(SmallestRead)
{}

Duration ClientConnection::idleLimit(Duration limit) const
{
    return m_keepAlive ? std::min(limit, *m_keepAlive - KeepAliveMargin) : limit;
}

void ClientConnection::connect(const CallPointer &call)
{
    m_call = call;
    ErrorCode ec;
    const auto address = asio::ip::make_address(m_endpoint.address, ec);
    if (ec) {
        failLater("not an IP address");
        return;
    }
    m_connecting = true;
    m_timer.set(call->request.connectTimeout);
    m_socket.async_connect(
            tcp::endpoint(address, m_endpoint.port),
            [self = shared_from_this()](const ErrorCode &error) { self->onConnected(error); });
}

void ClientConnection::run(const CallPointer &call)
{
    m_call = call;
    begin();
}

void ClientConnection::cancel()
{
    const CallPointer call = release();
    if (call)
        call->fail(ResultCode::CallCancelled, "cancelled by the caller");
}

void ClientConnection::resume()
{
    if (!m_call || m_connecting || m_closed)
        return;
    m_timer.set(silenceLimit());
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
        // One of the handlers may be the caller of this function.
        asio::post(m_io, [last = std::exchange(m_call->handlers, {})] {});
    }
    release();
}

void ClientConnection::failLater(const std::string &detail)
{
    asio::post(m_io, [self = shared_from_this(), detail] {
        const CallPointer call = self->release();
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
        endWith(ResultCode::PlatformUnreachable, ec.message());
        return;
    }
    ErrorCode ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    begin();
}

void ClientConnection::begin()
{
    m_idle = false;
    m_gotBytes = false;
    m_gotBody = false;
    m_headerText = requestText(m_call->request);
    resetParser();
    m_timer.set(m_call->request.idleTimeout);
    m_writing = true;
    const std::array buffers{asio::const_buffer(asio::buffer(m_headerText)),
                             asio::const_buffer(asio::buffer(m_call->request.body))};
    // Holds the call, because the buffers refer to its body.
    asio::async_write(
            m_socket, buffers,
            [self = shared_from_this(), call = m_call](const ErrorCode &ec, std::size_t n) {
                self->onWritten(call, ec, n);
            });
    read();
}

Duration ClientConnection::silenceLimit() const
{
    const HttpCall &request = m_call->request;
    const bool isStallLimited = m_gotBody && request.stallTimeout > Duration::zero();
    return isStallLimited ? request.stallTimeout : request.idleTimeout;
}

void ClientConnection::resetParser()
{
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->body_limit(m_call->request.bodyLimit);
    m_parser->skip(m_call->request.method == "HEAD");
    m_stray = false;
    m_parser->onHeader = [this] { onHeader(); };
    m_parser->onBody = [this](std::string_view data) {
        if (m_stray)
            return;
        if (!std::exchange(m_gotBody, true) && m_call && !m_call->paused)
            m_timer.set(silenceLimit());
        if (m_call && m_call->handlers.onData)
            m_call->handlers.onData(data);
    };
}

void ClientConnection::onHeader()
{
    if (m_parser->status < 200 || !m_call)
        return;
    const auto &expected = m_call->request.correlation;
    const std::string *found = expected ? m_parser->headers.find(expected->header) : nullptr;
    m_stray = found && *found != expected->value;
    if (m_stray)
        return;
    m_keepAlive = keepAliveTime(m_parser->headers.value("Keep-Alive"));
    if (m_call->handlers.onHeader)
        m_call->handlers.onHeader(m_parser->status, m_parser->headers);
}

void ClientConnection::onWritten(const CallPointer &call, const ErrorCode &ec, std::size_t n)
{
    m_writing = false;
    if (m_closed || m_call != call)
        return;
    if (!ec) {
        m_timer.set(silenceLimit());
        return;
    }
    if (n > 0 || m_gotBytes) {
        // The reply may already be under way; the reader decides.
        return;
    }
    if (m_reused && !call->retried)
        retry();
    else
        endWith(ResultCode::PlatformUnreachable, ec.message());
}

void ClientConnection::retry()
{
    const CallPointer call = release();
    call->retried = true;
    m_owner.startFresh(call);
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
        // An idle connection must not receive anything.
        release();
        return;
    }
    if (ec) {
        onReadFailed(ec);
        return;
    }
    m_gotBytes = true;
    m_buffer.commit(n);
    m_readSize = std::clamp(2 * n, SmallestRead, LargestRead);
    if (m_call->paused)
        m_timer.clear();
    else
        m_timer.set(silenceLimit());
    parse();
}

void ClientConnection::onReadFailed(const ErrorCode &ec)
{
    ErrorCode parseError;
    if (ec == asio::error::eof && m_parser->got_some()) {
        m_parser->put_eof(parseError);
        if (!parseError && m_parser->is_done() && !m_stray) {
            complete();
            return;
        }
    }
    if (!m_gotBytes && m_reused && m_call->request.repeatable && !m_call->retried)
        retry();
    else
        endWith(ResultCode::PlatformReplyLost, ec.message());
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
        if (ec == http::error::need_more)
            break;
        if (ec) {
            endWith(ResultCode::PlatformBadReply, ec.message());
            return;
        }
        if (m_parser->is_done() && m_stray && ++m_strayResponses > MostStrayResponses) {
            endWith(ResultCode::PlatformBadReply, "responses belong to other calls");
            return;
        }
        if (m_parser->is_done() && (m_parser->status < 200 || m_stray))
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
        m_reused = true;
        m_timer.clear();
        m_owner.putBack(shared_from_this());
        read();
    } else {
        release();
    }
    call->end(std::monostate());
}

void ClientConnection::onDeadline()
{
    if (m_idle)
        release();
    else if (m_connecting)
        endWith(ResultCode::PlatformUnreachable, "connection attempt timed out");
    else if (m_call && !m_call->paused)
        onSilence();
}

void ClientConnection::onSilence()
{
    // Kept connections to a peer go silent together, when something between the ends has lost
    // track of them; the next call gets a new one.
    if (m_reused)
        m_owner.dropIdle(m_endpoint);
    endWith(ResultCode::PlatformTimeout, "no data within the idle timeout");
}

void ClientConnection::endWith(ResultCode code, const std::string &detail)
{
    const CallPointer call = release();
    if (call)
        call->fail(code, detail);
}

CallPointer ClientConnection::release()
{
    const auto self = shared_from_this();
    m_closed = true;
    m_timer.clear();
    ErrorCode ec;
    m_socket.close(ec);
    m_owner.forget(self);
    return std::exchange(m_call, nullptr);
}

} // namespace godwit
