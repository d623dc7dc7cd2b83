#include "clientconnection.h"

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

/// Maximum memory that is reserved in advance for a collected body, based on Content-Length.
constexpr std::size_t MaxReservedBody = 256UL * 1024;

std::size_t contentLength(const HttpHeaders &headers)
{
    const std::string_view text = headers.value("Content-Length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
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
    void startOnNewConnection(const CallPointer &call);
    void returnToPool(const std::shared_ptr<ClientConnection> &connection);
    void removeConnection(const std::shared_ptr<ClientConnection> &connection);
    void closeIdle(const HttpEndpoint &endpoint);
    void shutDown();

private:
    /// Takes a usable connection out of the pool. Returns null if there is none.
    std::shared_ptr<ClientConnection> takeIdle(const HttpEndpoint &endpoint);

    asio::io_context &m_io;
    HttpClientOptions m_options;
    bool m_closed = false;
    std::map<HttpEndpoint, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
    std::set<std::shared_ptr<ClientConnection>> m_busy;
    std::atomic<std::size_t> m_idleCount = 0;
};

namespace {

/// Holds the call weakly: the callbacks of a call often own the object that stores the handle, and
/// an owning handle would create a reference cycle.
class ClientCallHandle : public CallHandle
{
public:
    ClientCallHandle(asio::io_context &io, const CallPointer &call)
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

    bool cancelUnsent() override
    {
        const CallPointer call = m_call.lock();
        if (!call || !call->withdraw())
            return false;
        cancel();
        return true;
    }

    void reportSilence() override
    {
        asio::dispatch(m_io, [weak = m_call] {
            const CallPointer call = weak.lock();
            const auto connection = call ? call->connection.lock() : nullptr;
            if (connection && !call->ended)
                connection->distrustIdleConnections();
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
    std::weak_ptr<ClientCall> m_call;
};

} // namespace

void HttpClient::Private::start(const CallPointer &call)
{
    if (m_closed || call->ended)
        return;
    if (call->sendState == ClientCall::SendState::Withdrawn) {
        call->fail(ResultCode::CallCancelled, "cancelled before it was sent");
        return;
    }
    const auto connection =
            call->request.needsNewConnection ? nullptr : takeIdle(call->request.endpoint);
    if (!connection) {
        startOnNewConnection(call);
        return;
    }
    m_busy.insert(connection);
    call->connection = connection;
    connection->run(call);
}

std::shared_ptr<ClientConnection> HttpClient::Private::takeIdle(const HttpEndpoint &endpoint)
{
    for (auto it = m_idle.find(endpoint); it != m_idle.end() && !it->second.empty();
         it = m_idle.find(endpoint)) {
        // The most recently used connection is the least likely to have been closed by the peer.
        const auto connection = std::move(it->second.back());
        it->second.pop_back();
        --m_idleCount;
        if (connection->isQuiet())
            return connection;
        connection->drop();
    }
    return nullptr;
}

void HttpClient::Private::startOnNewConnection(const CallPointer &call)
{
    if (m_closed)
        return;
    const std::weak_ptr<Private> weak = weak_from_this();
    ClientConnection::PoolCallbacks pool;
    pool.returnToPool = [weak](const std::shared_ptr<ClientConnection> &connection) {
        if (const auto self = weak.lock())
            self->returnToPool(connection);
    };
    pool.removeConnection = [weak](const std::shared_ptr<ClientConnection> &connection) {
        if (const auto self = weak.lock())
            self->removeConnection(connection);
    };
    pool.closeIdle = [weak](const HttpEndpoint &endpoint) {
        if (const auto self = weak.lock())
            self->closeIdle(endpoint);
    };
    pool.startOnNewConnection = [weak](const CallPointer &retriedCall) {
        if (const auto self = weak.lock())
            self->startOnNewConnection(retriedCall);
    };
    const auto connection =
            std::make_shared<ClientConnection>(m_io, call->request.endpoint, std::move(pool));
    m_busy.insert(connection);
    call->connection = connection;
    connection->connect(call);
}

void HttpClient::Private::returnToPool(const std::shared_ptr<ClientConnection> &connection)
{
    m_busy.erase(connection);
    auto &idle = m_idle[connection->endpoint()];
    const Duration limit = connection->idleTimeoutFor(m_options.poolTimeout);
    if (idle.size() >= m_options.idlePerEndpoint || limit <= Duration::zero()) {
        connection->drop();
        return;
    }
    idle.push_back(connection);
    ++m_idleCount;
    connection->setIdle(limit);
}

void HttpClient::Private::removeConnection(const std::shared_ptr<ClientConnection> &connection)
{
    m_busy.erase(connection);
    const auto it = m_idle.find(connection->endpoint());
    if (it == m_idle.end())
        return;
    m_idleCount -= std::erase(it->second, connection);
    if (it->second.empty())
        m_idle.erase(it);
}

void HttpClient::Private::closeIdle(const HttpEndpoint &endpoint)
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
    const auto call = std::make_shared<ClientCall>();
    call->request = std::move(request);
    call->handlers = std::move(handlers);
    asio::post(m_private->context(), [weak = std::weak_ptr(m_private), call] {
        if (const auto self = weak.lock())
            self->start(call);
    });
    return std::make_shared<ClientCallHandle>(m_private->context(), call);
}

std::shared_ptr<CallHandle> HttpClient::call(HttpCall request,
                                             std::function<void(Outcome<HttpResponse>)> onEnd)
{
    const auto response = std::make_shared<HttpResponse>();
    HttpStreamHandlers handlers;
    handlers.onHeader = [response](int status, const HttpHeaders &headers) {
        response->status = status;
        response->headers = headers;
        response->body.reserve(std::min(contentLength(headers), MaxReservedBody));
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
