#include "tcpproxy.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace godwit {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval at which a held direction checks whether the hold has ended.
constexpr Duration HoldPollInterval = std::chrono::milliseconds(20);

tcp::endpoint toTcp(const HttpEndpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

void reset(tcp::socket &socket)
{
    boost::system::error_code ec;
    socket.set_option(asio::socket_base::linger(true, 0), ec);
    socket.close(ec);
}

} // namespace

/// A client and a target socket, with a forwarding loop in each direction.
class TcpProxy::Connection : public std::enable_shared_from_this<TcpProxy::Connection>
{
public:
    Connection(asio::io_context &io, tcp::socket clientSocket, const LinkFault &fault)
        : m_clientSocket(std::move(clientSocket))
        , m_targetSocket(io)
        , m_fault(fault)
        , m_requests(io, m_clientSocket, m_targetSocket, &LinkFault::holdRequests)
        , m_replies(io, m_targetSocket, m_clientSocket, &LinkFault::holdReplies)
    {}

    void start(const HttpEndpoint &target)
    {
        m_targetSocket.async_connect(
                toTcp(target), [self = shared_from_this()](const boost::system::error_code &ec) {
                    if (ec) {
                        self->abort();
                        return;
                    }
                    self->read(self->m_requests);
                    self->read(self->m_replies);
                });
    }

    void setFault(const LinkFault &fault) { m_fault = fault; }

    void abort()
    {
        reset(m_clientSocket);
        reset(m_targetSocket);
    }

private:
    struct Direction
    {
        Direction(asio::io_context &io, tcp::socket &from, tcp::socket &to, bool LinkFault::*hold)
            : source(from)
            , sink(to)
            , held(hold)
            , timer(io)
        {}

        tcp::socket &source;
        tcp::socket &sink;
        bool LinkFault::*held;
        asio::steady_timer timer;
        std::array<char, 16UL * 1024> bytes{};
    };

    void read(Direction &direction)
    {
        direction.source.async_read_some(
                asio::buffer(direction.bytes),
                [this, self = shared_from_this(), &direction](const boost::system::error_code &ec,
                                                              std::size_t n) {
                    if (ec)
                        end(direction, ec);
                    else
                        forward(direction, n, m_fault.delay);
                });
    }

    void forward(Direction &direction, std::size_t n, Duration delay)
    {
        if (delay <= Duration::zero() && !(m_fault.*direction.held)) {
            write(direction, n);
            return;
        }
        direction.timer.expires_after(m_fault.*direction.held ? HoldPollInterval : delay);
        direction.timer.async_wait([this, self = shared_from_this(), &direction,
                                    n](const boost::system::error_code &ec) {
            if (!ec)
                forward(direction, n, Duration::zero());
        });
    }

    void write(Direction &direction, std::size_t n)
    {
        asio::async_write(direction.sink, asio::buffer(direction.bytes.data(), n),
                          [this, self = shared_from_this(),
                           &direction](const boost::system::error_code &ec, std::size_t) {
                              if (ec)
                                  abort();
                              else
                                  read(direction);
                          });
    }

    void end(Direction &direction, const boost::system::error_code &ec)
    {
        boost::system::error_code unused;
        if (ec == asio::error::eof)
            direction.sink.shutdown(tcp::socket::shutdown_send, unused);
        else
            abort();
    }

    tcp::socket m_clientSocket;
    tcp::socket m_targetSocket;
    LinkFault m_fault;
    Direction m_requests;
    Direction m_replies;
};

TcpProxy::TcpProxy(asio::io_context &io, HttpEndpoint target)
    : m_io(io)
    , m_acceptor(io)
    , m_target(std::move(target))
{}

TcpProxy::~TcpProxy()
{
    resetConnections();
}

Result<void> TcpProxy::listen(const HttpEndpoint &address)
{
    boost::system::error_code ec;
    const tcp::endpoint endpoint = toTcp(address);
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return fail(ResultCode::ListenFailed, toString(address) + ": " + ec.message());
    m_endpoint = {address.address, m_acceptor.local_endpoint().port()};
    accept();
    return {};
}

void TcpProxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code &ec, tcp::socket socket) {
        if (ec)
            return;
        if (m_fault.refuse) {
            reset(socket);
        } else {
            const auto connection = std::make_shared<Connection>(m_io, std::move(socket), m_fault);
            std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
            m_connections.push_back(connection);
            connection->start(m_target);
        }
        accept();
    });
}

void TcpProxy::setFault(const LinkFault &fault)
{
    m_fault = fault;
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock())
            connection->setFault(fault);
    }
}

void TcpProxy::resetConnections()
{
    for (const auto &it : m_connections) {
        if (const auto connection = it.lock())
            connection->abort();
    }
    m_connections.clear();
}

} // namespace godwit
