#include <godwit/wire/wireserver.h>

#include "http2connection.h"

#include <boost/asio/ip/tcp.hpp>

#include <unordered_set>

namespace godwit {

using boost::asio::ip::tcp;

struct WireServer::Private : std::enable_shared_from_this<Private>
{
    Private(boost::asio::io_context &io, Handler streamHandler, WireOptions wireOptions)
        : acceptor(io)
        , handler(std::move(streamHandler))
        , options(wireOptions)
    {}

    void accept();
    void addConnection(tcp::socket socket);

    tcp::acceptor acceptor;
    Handler handler;
    WireOptions options;
    std::unordered_set<std::shared_ptr<Http2Connection>> connections;
};

void WireServer::Private::accept()
{
    acceptor.async_accept(
            [self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
                if (ec == boost::asio::error::operation_aborted || !self->acceptor.is_open())
                    return;
                if (!ec)
                    self->addConnection(std::move(socket));
                self->accept();
            });
}

void WireServer::Private::addConnection(tcp::socket socket)
{
    const auto connection = std::make_shared<Http2Connection>(
            std::move(socket), Http2Connection::Side::Server, options);
    connection->setStreamHandler(handler);
    connection->setClosedHandler(
            [weak = weak_from_this(), raw = std::weak_ptr(connection)](const Error &) {
                const auto self = weak.lock();
                const auto closed = raw.lock();
                if (self && closed)
                    self->connections.erase(closed);
            });
    connections.insert(connection);
    connection->start();
}

Result<std::unique_ptr<WireServer>> WireServer::listen(boost::asio::io_context &io,
                                                       const std::string &address,
                                                       std::uint16_t port, Handler handler,
                                                       WireOptions options)
{
    auto d = std::make_shared<Private>(io, std::move(handler), options);
    boost::system::error_code ec;
    const auto ip = boost::asio::ip::make_address(address, ec);
    if (ec)
        return fail(ResultCode::PlatformUnreachable, address + " is not an IP address");
    const tcp::endpoint endpoint(ip, port);
    d->acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        d->acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        d->acceptor.bind(endpoint, ec);
    if (!ec)
        d->acceptor.listen(boost::asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ResultCode::PlatformUnreachable, "cannot listen on " + address + ':'
                                                             + std::to_string(port) + ": "
                                                             + ec.message());
    d->accept();
    return std::unique_ptr<WireServer>(new WireServer(std::move(d)));
}

WireServer::WireServer(std::shared_ptr<Private> data)
    : m_d(std::move(data))
{}

WireServer::~WireServer()
{
    close();
}

std::uint16_t WireServer::port() const
{
    boost::system::error_code ec;
    return m_d->acceptor.local_endpoint(ec).port();
}

void WireServer::stopAccepting()
{
    boost::system::error_code ec;
    m_d->acceptor.close(ec);
    for (const auto &connection : m_d->connections)
        connection->sendGoAway();
}

void WireServer::close()
{
    boost::system::error_code ec;
    m_d->acceptor.close(ec);
    const auto connections = std::move(m_d->connections);
    m_d->connections.clear();
    for (const auto &connection : connections)
        connection->close({ResultCode::ConnectionLost, "server closed the connection"});
}

std::size_t WireServer::connectionCount() const
{
    return m_d->connections.size();
}

} // namespace godwit
