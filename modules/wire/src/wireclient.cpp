#include <godwit/wire/wireclient.h>

#include "http2connection.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <utility>
#include <vector>

namespace godwit {

using boost::asio::ip::tcp;

struct WireClient::Private : std::enable_shared_from_this<Private>
{
    Private(boost::asio::io_context &context, std::string peerAddress, std::uint16_t peerPort,
            WireOptions wireOptions)
        : io(context)
        , address(std::move(peerAddress))
        , port(peerPort)
        , options(wireOptions)
        , socket(context)
        , connectTimer(context)
    {}

    void connect();
    void startConnectTimer();
    void onConnected(boost::system::error_code ec);
    void abandonAttempt();
    void failPendingStreams(const std::string &reason);

    boost::asio::io_context &io;
    std::string address;
    std::uint16_t port;
    WireOptions options;
    tcp::socket socket;
    boost::asio::steady_timer connectTimer;
    std::shared_ptr<Http2Connection> connection;
    std::vector<std::shared_ptr<WireStream>>
            pendingStreams;    ///< Opened before the connection is established.
    std::uint64_t attempt = 0; ///< To connect; the callbacks of previous attempts do nothing.
    bool connecting = false;
};

namespace {

struct PendingCall
{
    explicit PendingCall(boost::asio::io_context &io)
        : timer(io)
    {}

    boost::asio::steady_timer timer;
    std::shared_ptr<WireStream> stream;
    std::string body;
    int status = 0;
    WireClient::CallCallback done;

    void complete(Outcome<std::string> outcome)
    {
        timer.cancel();
        stream.reset();
        if (const auto callback = std::move(done))
            callback(std::move(outcome));
        done = nullptr;
    }
};

Outcome<std::string> callOutcome(PendingCall &call)
{
    if (call.status >= 200 && call.status < 300)
        return std::move(call.body);
    return Error{ResultCode::MessageMalformed, "peer replied with status "
                                                       + std::to_string(call.status) + ": "
                                                       + call.body.substr(0, 200)};
}

} // namespace

void WireClient::Private::connect()
{
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (ec) {
        failPendingStreams("cannot connect to " + address + ", which is not an IP address");
        return;
    }
    connecting = true;
    ++attempt;
    socket = tcp::socket(io);
    startConnectTimer();
    socket.async_connect(tcp::endpoint(ip, port), [weak = weak_from_this(), started = attempt](
                                                          boost::system::error_code ec) {
        const auto self = weak.lock();
        if (self && self->attempt == started)
            self->onConnected(ec);
    });
}

void WireClient::Private::startConnectTimer()
{
    connectTimer.expires_after(options.connectTimeout);
    connectTimer.async_wait(
            [weak = weak_from_this(), started = attempt](boost::system::error_code ec) {
                const auto self = weak.lock();
                if (!ec && self && self->connecting && self->attempt == started) {
                    boost::system::error_code ignored;
                    self->socket.close(ignored);
                }
            });
}

void WireClient::Private::onConnected(boost::system::error_code ec)
{
    connecting = false;
    connectTimer.cancel();
    if (ec) {
        failPendingStreams("cannot connect to " + address + ':' + std::to_string(port) + ": "
                           + ec.message());
        return;
    }
    connection = std::make_shared<Http2Connection>(std::move(socket), Http2Connection::Side::Client,
                                                   options);
    connection->setClosedHandler([weak = weak_from_this()](const Error &) {
        if (const auto self = weak.lock())
            self->connection.reset();
    });
    connection->start();
    for (const auto &stream : std::exchange(pendingStreams, {})) {
        stream->m_connection = connection;
        if (!stream->ended())
            connection->submitRequest(stream);
    }
}

void WireClient::Private::abandonAttempt()
{
    ++attempt;
    connectTimer.cancel();
    if (!std::exchange(connecting, false))
        return;
    boost::system::error_code ec;
    socket.close(ec);
}

void WireClient::Private::failPendingStreams(const std::string &reason)
{
    for (const auto &stream : std::exchange(pendingStreams, {}))
        stream->deliverError({ResultCode::NotSent, reason});
}

WireClient::WireClient(boost::asio::io_context &io, std::string address, std::uint16_t port,
                       WireOptions options)
    : m_d(std::make_shared<Private>(io, std::move(address), port, options))
{}

WireClient::~WireClient()
{
    close();
}

std::shared_ptr<WireStream> WireClient::open(const std::string &path, WireFields fields,
                                             StreamEvents events)
{
    auto stream = std::make_shared<WireStream>(WireStream::Side::Client, m_d->connection,
                                               WireHeaders{"POST", path, 0, std::move(fields)});
    stream->setEvents(std::move(events));
    if (m_d->connection) {
        m_d->connection->submitRequest(stream);
        return stream;
    }
    m_d->pendingStreams.push_back(stream);
    if (!m_d->connecting)
        boost::asio::post(m_d->io, [weak = std::weak_ptr(m_d)] {
            const auto self = weak.lock();
            if (self && !self->connecting && !self->connection && !self->pendingStreams.empty())
                self->connect();
        });
    return stream;
}

void WireClient::call(const std::string &path, std::string body, Duration timeout,
                      CallCallback done, WireFields fields)
{
    const auto call = std::make_shared<PendingCall>(m_d->io);
    call->done = std::move(done);
    StreamEvents events;
    events.onHeaders = [call](const WireHeaders &headers) { call->status = headers.status; };
    events.onData = [call, limit = m_d->options.maxReplyBytes](std::string_view data) {
        if (call->body.size() + data.size() <= limit) {
            call->body += data;
            return;
        }
        call->stream->cancel();
        call->complete(Error{ResultCode::MessageTooLarge,
                             "reply exceeds " + std::to_string(limit) + " bytes"});
    };
    events.onEnd = [call](const WireFields &) { call->complete(callOutcome(*call)); };
    events.onError = [call](const Error &error) { call->complete(error); };
    const auto stream = open(path, std::move(fields), std::move(events));
    call->stream = stream;
    stream->write(body);
    stream->finish();
    call->timer.expires_after(timeout);
    call->timer.async_wait([call](boost::system::error_code ec) {
        if (ec || !call->stream)
            return;
        call->stream->cancel();
        call->complete(
                Error{ResultCode::PlatformTimeout, "peer did not reply before the call timeout"});
    });
}

void WireClient::close()
{
    const auto d = m_d;
    d->abandonAttempt();
    d->failPendingStreams("client closed the connection before the stream was sent");
    if (const auto connection = d->connection)
        connection->close({ResultCode::ConnectionLost, "client closed the connection"});
}

std::size_t WireClient::openStreams() const
{
    return m_d->pendingStreams.size() + (m_d->connection ? m_d->connection->streamCount() : 0);
}

bool WireClient::connected() const
{
    return m_d->connection != nullptr;
}

} // namespace godwit
