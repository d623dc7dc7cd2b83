#include "deadlinetimer.h"
#include "httpparser.h"

#include <godwit/ports/httpclient.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <vector>

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
/// Memory for a collected body of up to this many bytes is taken at once, as its header states.
constexpr std::size_t LargestReservedBody = 256UL * 1024;

std::size_t statedLength(const HttpHeaders &headers)
{
    const std::string_view text = headers.value("Content-Length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
}

class Connection;

/// One call in progress.
struct Call
{
    HttpCall request;
    HttpStreamHandlers handlers;
    std::weak_ptr<Connection> connection;
    bool retried = false;
    bool paused = false;
    bool ended = false;

    void end(Outcome<std::monostate> outcome)
    {
        if (ended)
            return;
        ended = true;
        const HttpStreamHandlers last = std::exchange(handlers, {});
        if (last.onEnd)
            last.onEnd(std::move(outcome));
    }

    void fail(ResultCode code, const std::string &detail)
    {
        end(Error{code, request.method + ' ' + toString(request.endpoint) + ": " + detail});
    }
};

using CallPointer = std::shared_ptr<Call>;

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

class HttpClient::Private : public std::enable_shared_from_this<HttpClient::Private>
{
public:
    Private(asio::io_context &io, HttpClientOptions options)
        : m_io(io)
        , m_options(options)
    {}

    asio::io_context &context() { return m_io; }
    const HttpClientOptions &options() const { return m_options; }
    std::size_t idleCount() const { return m_idleCount.load(std::memory_order_relaxed); }

    void start(const CallPointer &call);
    void startFresh(const CallPointer &call);
    void putBack(const std::shared_ptr<Connection> &connection);
    void forget(const std::shared_ptr<Connection> &connection);
    void dropIdle(const HttpEndpoint &endpoint);
    void shutDown();

private:
    asio::io_context &m_io;
    HttpClientOptions m_options;
    bool m_closed = false;
    std::map<HttpEndpoint, std::vector<std::shared_ptr<Connection>>> m_idle;
    std::set<std::shared_ptr<Connection>> m_busy;
    std::atomic<std::size_t> m_idleCount = 0;
};

namespace {

/// One connection, idle in the pool or owned by one call.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    /// What the connection asks of the pool.
    struct Owner
    {
        std::function<void(const std::shared_ptr<Connection> &)> putBack;
        std::function<void(const std::shared_ptr<Connection> &)> forget;
        std::function<void(const HttpEndpoint &)> dropIdle;
        std::function<void(const CallPointer &)> startFresh;
    };

    Connection(asio::io_context &io, HttpEndpoint endpoint, Owner owner)
        : m_io(io)
        , m_socket(io)
        , m_timer(io, [this] { onDeadline(); })
        , m_endpoint(std::move(endpoint))
        , m_owner(std::move(owner))
    {}

    const HttpEndpoint &endpoint() const { return m_endpoint; }

    /// How long the connection may be kept idle, at most \a limit.
    Duration idleLimit(Duration limit) const
    {
        return m_keepAlive ? std::min(limit, *m_keepAlive - KeepAliveMargin) : limit;
    }

    void connect(const CallPointer &call)
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

    void run(const CallPointer &call)
    {
        m_call = call;
        begin();
    }

    /// Ends the call with CallCancelled.
    void cancel()
    {
        const CallPointer call = release();
        if (call)
            call->fail(ResultCode::CallCancelled, "cancelled by the caller");
    }

    void resume()
    {
        if (!m_call || m_connecting || m_closed)
            return;
        m_timer.set(silenceLimit());
        if (m_buffer.size() > 0 && !m_readPending)
            parse();
        else
            read();
    }

    void setIdle(Duration timeout)
    {
        m_idle = true;
        m_timer.set(timeout);
    }

    /// Closes without callbacks.
    void drop()
    {
        if (m_call) {
            m_call->ended = true;
            // One of the handlers may be the caller of this function.
            asio::post(m_io, [last = std::exchange(m_call->handlers, {})] {});
        }
        release();
    }

private:
    void failLater(const std::string &detail)
    {
        asio::post(m_io, [self = shared_from_this(), detail] {
            const CallPointer call = self->release();
            if (call)
                call->fail(ResultCode::PlatformUnreachable, detail);
        });
    }

    void onConnected(const ErrorCode &ec)
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

    void begin()
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

    Duration silenceLimit() const
    {
        const HttpCall &request = m_call->request;
        const bool isStallLimited = m_gotBody && request.stallTimeout > Duration::zero();
        return isStallLimited ? request.stallTimeout : request.idleTimeout;
    }

    void resetParser()
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

    void onHeader()
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

    void onWritten(const CallPointer &call, const ErrorCode &ec, std::size_t n)
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

    void retry()
    {
        const CallPointer call = release();
        call->retried = true;
        m_owner.startFresh(call);
    }

    void read()
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

    void onRead(const ErrorCode &ec, std::size_t n)
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

    void onReadFailed(const ErrorCode &ec)
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

    void parse()
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

    void complete()
    {
        const bool reusable = m_parser->keep_alive() && !m_writing && m_buffer.size() == 0
                              && !m_parser->need_eof();
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

    void onDeadline()
    {
        if (m_idle)
            release();
        else if (m_connecting)
            endWith(ResultCode::PlatformUnreachable, "connection attempt timed out");
        else if (m_call && !m_call->paused)
            onSilence();
    }

    void onSilence()
    {
        // Kept connections to a peer go silent together, when something between the ends has lost
        // track of them; the next call gets a new one.
        if (m_reused)
            m_owner.dropIdle(m_endpoint);
        endWith(ResultCode::PlatformTimeout, "no data within the idle timeout");
    }

    void endWith(ResultCode code, const std::string &detail)
    {
        const CallPointer call = release();
        if (call)
            call->fail(code, detail);
    }

    /// Closes the connection and returns its call.
    CallPointer release()
    {
        const auto self = shared_from_this();
        m_closed = true;
        m_timer.clear();
        ErrorCode ec;
        m_socket.close(ec);
        m_owner.forget(self);
        return std::exchange(m_call, nullptr);
    }

    asio::io_context &m_io;
    tcp::socket m_socket;
    DeadlineTimer m_timer;
    HttpEndpoint m_endpoint;
    Owner m_owner;
    CallPointer m_call;
    std::string m_headerText;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_readSize = SmallestRead;
    std::optional<HttpParser<false>> m_parser;
    std::optional<Duration> m_keepAlive; ///< Idle time that the server grants.
    int m_strayResponses = 0;
    bool m_stray = false; ///< The present response belongs to an earlier call.
    bool m_idle = false;
    bool m_connecting = false;
    bool m_reused = false; ///< Has completed a call before.
    bool m_gotBody = false;
    bool m_gotBytes = false;
    bool m_writing = false;
    bool m_readPending = false;
    bool m_closed = false;
};

/// Does not own its call: the callbacks of a call often hold the object that keeps the handle.
class Handle : public CallHandle
{
public:
    Handle(asio::io_context &io, const CallPointer &call)
        : m_io(io)
        , m_call(call)
    {}

    void cancel() override
    {
        asio::post(m_io, [weak = m_call] {
            const CallPointer call = weak.lock();
            const auto connection = call ? call->connection.lock() : nullptr;
            if (connection && !call->ended)
                connection->cancel();
        });
    }

    void pause() override
    {
        asio::dispatch(m_io, [weak = m_call] {
            if (const CallPointer call = weak.lock())
                call->paused = true;
        });
    }

    void resume() override
    {
        asio::post(m_io, [weak = m_call] {
            const CallPointer call = weak.lock();
            if (!call || !std::exchange(call->paused, false) || call->ended)
                return;
            if (const auto connection = call->connection.lock())
                connection->resume();
        });
    }

private:
    asio::io_context &m_io;
    std::weak_ptr<Call> m_call;
};

} // namespace

void HttpClient::Private::start(const CallPointer &call)
{
    if (m_closed || call->ended)
        return;
    const auto it = m_idle.find(call->request.endpoint);
    if (it == m_idle.end() || it->second.empty()) {
        startFresh(call);
        return;
    }
    // The connection used last is the least likely to be closed by the peer.
    const auto connection = std::move(it->second.back());
    it->second.pop_back();
    --m_idleCount;
    m_busy.insert(connection);
    call->connection = connection;
    connection->run(call);
}

void HttpClient::Private::startFresh(const CallPointer &call)
{
    if (m_closed)
        return;
    const std::weak_ptr<Private> weak = weak_from_this();
    Connection::Owner owner;
    owner.putBack = [weak](const std::shared_ptr<Connection> &connection) {
        if (const auto self = weak.lock())
            self->putBack(connection);
    };
    owner.forget = [weak](const std::shared_ptr<Connection> &connection) {
        if (const auto self = weak.lock())
            self->forget(connection);
    };
    owner.dropIdle = [weak](const HttpEndpoint &endpoint) {
        if (const auto self = weak.lock())
            self->dropIdle(endpoint);
    };
    owner.startFresh = [weak](const CallPointer &again) {
        if (const auto self = weak.lock())
            self->startFresh(again);
    };
    const auto connection =
            std::make_shared<Connection>(m_io, call->request.endpoint, std::move(owner));
    m_busy.insert(connection);
    call->connection = connection;
    connection->connect(call);
}

void HttpClient::Private::putBack(const std::shared_ptr<Connection> &connection)
{
    m_busy.erase(connection);
    auto &idle = m_idle[connection->endpoint()];
    const Duration limit = connection->idleLimit(m_options.poolTimeout);
    if (idle.size() >= m_options.idlePerEndpoint || limit <= Duration::zero()) {
        connection->drop();
        return;
    }
    idle.push_back(connection);
    ++m_idleCount;
    connection->setIdle(limit);
}

void HttpClient::Private::forget(const std::shared_ptr<Connection> &connection)
{
    m_busy.erase(connection);
    const auto it = m_idle.find(connection->endpoint());
    if (it == m_idle.end())
        return;
    m_idleCount -= std::erase(it->second, connection);
    if (it->second.empty())
        m_idle.erase(it);
}

void HttpClient::Private::dropIdle(const HttpEndpoint &endpoint)
{
    const auto it = m_idle.find(endpoint);
    if (it == m_idle.end())
        return;
    const auto connections = it->second;
    for (const auto &connection : connections)
        connection->drop();
}

void HttpClient::Private::shutDown()
{
    m_closed = true;
    const auto busy = m_busy;
    for (const auto &connection : busy)
        connection->drop();
    const auto idle = m_idle;
    for (const auto &[endpoint, connections] : idle) {
        for (const auto &connection : connections)
            connection->drop();
    }
}

HttpClient::HttpClient(asio::io_context &io, HttpClientOptions options)
    : m_private(std::make_shared<Private>(io, options))
{}

HttpClient::~HttpClient()
{
    m_private->shutDown();
}

std::shared_ptr<CallHandle> HttpClient::stream(HttpCall request, HttpStreamHandlers handlers)
{
    const auto call = std::make_shared<Call>();
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    asio::post(m_private->context(), [weak = std::weak_ptr(m_private), call] {
        if (const auto self = weak.lock())
            self->start(call);
    });
    return std::make_shared<Handle>(m_private->context(), call);
}

std::shared_ptr<CallHandle> HttpClient::call(HttpCall request,
                                             std::function<void(Outcome<HttpResponse>)> onEnd)
{
    const auto response = std::make_shared<HttpResponse>();
    HttpStreamHandlers handlers;
    handlers.onHeader = [response](int status, const HttpHeaders &headers) {
        response->status = status;
        response->headers = headers;
        response->body.reserve(std::min(statedLength(headers), LargestReservedBody));
    };
    handlers.onData = [response](std::string_view data) { response->body.append(data); };
    handlers.onEnd = [response, onEnd = std::move(onEnd)](const Outcome<std::monostate> &outcome) {
        if (const auto *error = std::get_if<Error>(&outcome))
            onEnd(*error);
        else
            onEnd(std::move(*response));
    };
    return stream(std::move(request), std::move(handlers));
}

std::size_t HttpClient::idleConnections() const
{
    return m_private->idleCount();
}

asio::io_context &HttpClient::context() const
{
    return m_private->context();
}

} // namespace godwit
