#include "tcpproxy.h"

#include <godwit/standin/fleetwire.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>
#include <string>
#include <string_view>

namespace godwit {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Interval at which a held direction checks whether the hold has ended.
constexpr Duration HoldPollInterval = std::chrono::milliseconds(20);
constexpr std::size_t MaxCopyDelayMs = 12;
constexpr double FaultyResponseShare = 0.5;
constexpr std::string_view HeadEnd = "\r\n\r\n";

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

/// Returns the size of the head of \a bytes if they are one response with a declared length, and 0
/// otherwise.
std::size_t headSize(std::string_view bytes)
{
    constexpr std::string_view LengthHeader = "Content-Length: ";
    const auto end = bytes.find(HeadEnd);
    const auto length = bytes.find(LengthHeader);
    if (!bytes.starts_with("HTTP/1.1 ") || end == std::string_view::npos || length > end)
        return 0;
    const std::size_t size = end + HeadEnd.size();
    const std::string_view digits = bytes.substr(length + LengthHeader.size());
    std::size_t body = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), body);
    return size + body == bytes.size() ? size : 0;
}

/// Returns \a response without its first header named \a name, if it has one.
std::string withoutHeader(std::string response, std::string_view name)
{
    const auto at = response.find("\r\n" + std::string(name) + ": ");
    if (at != std::string::npos)
        response.erase(at, response.find("\r\n", at + 2) - at);
    return response;
}

} // namespace

/// A client and a target socket, with a forwarding loop in each direction.
class TcpProxy::Connection : public std::enable_shared_from_this<TcpProxy::Connection>
{
public:
    Connection(asio::io_context &io, tcp::socket clientSocket, const LinkFault &fault,
               Random random)
        : m_clientSocket(std::move(clientSocket))
        , m_targetSocket(io)
        , m_fault(fault)
        , m_random(random)
        , m_copyTimer(io)
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
        bool isWriting = false;
    };

    void read(Direction &direction)
    {
        direction.source.async_read_some(
                asio::buffer(direction.bytes),
                [this, self = shared_from_this(), &direction](const boost::system::error_code &ec,
                                                              std::size_t n) {
                    if (ec)
                        end(direction, ec);
                    else if (applyFaults(direction, n))
                        abort();
                    else
                        forward(direction, n, m_fault.delay);
                });
    }

    /// Applies the faults to the \a n bytes that have been read. Returns whether they reset the
    /// connection.
    bool applyFaults(Direction &direction, std::size_t n)
    {
        if (&direction == &m_requests)
            return m_fault.resetReused && m_responses > 0;
        ++m_responses;
        const std::string_view bytes(direction.bytes.data(), n);
        const std::size_t head = headSize(bytes);
        const ResponseFault fault = m_fault.responses;
        if (fault == ResponseFault::None || head == 0 || !m_random.chance(FaultyResponseShare))
            return false;
        if (fault == ResponseFault::Loss)
            return true;
        std::string copy(bytes);
        if (fault == ResponseFault::CopyWithoutId)
            copy = withoutHeader(std::move(copy), standin::AttemptIdHeader);
        else if (fault == ResponseFault::CutCopy)
            copy.resize(1 + m_random.below(head - 1));
        scheduleCopy(std::move(copy));
        return false;
    }

    void scheduleCopy(std::string copy)
    {
        m_copyTimer.expires_after(std::chrono::milliseconds(m_random.below(MaxCopyDelayMs + 1)));
        m_copyTimer.async_wait([self = shared_from_this(), copy = std::move(copy),
                                n = m_responses](const boost::system::error_code &ec) {
            // Only where the next response is expected, and not within one.
            if (ec || self->m_responses != n || self->m_replies.isWriting)
                return;
            boost::system::error_code unused;
            asio::write(self->m_clientSocket, asio::buffer(copy), unused);
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
        direction.isWriting = true;
        asio::async_write(direction.sink, asio::buffer(direction.bytes.data(), n),
                          [this, self = shared_from_this(),
                           &direction](const boost::system::error_code &ec, std::size_t) {
                              direction.isWriting = false;
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
    Random m_random;
    asio::steady_timer m_copyTimer;
    std::size_t m_responses = 0; ///< Reads from the target.
    Direction m_requests;
    Direction m_replies;
};

TcpProxy::TcpProxy(asio::io_context &io, HttpEndpoint target, std::uint64_t seed)
    : m_io(io)
    , m_acceptor(io)
    , m_target(std::move(target))
    , m_random(seed)
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
            const auto connection = std::make_shared<Connection>(m_io, std::move(socket), m_fault,
                                                                 Random(m_random()));
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
