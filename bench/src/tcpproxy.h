#pragma once

#include <godwit/base/random.h>
#include <godwit/base/result.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <list>
#include <memory>

namespace godwit {

/// Fault that a TcpProxy injects into half of the responses that it reads whole, which streams are
/// not.
enum class ResponseFault {
    None,
    Copy,          ///< Sent again a few milliseconds later, unless more has arrived by then.
    CopyWithoutId, ///< The same without the header that identifies the request.
    CutCopy,       ///< The same, but the copy ends within its head.
    Loss,          ///< The connection is reset in place of the response.
};

/// Faults that a TcpProxy injects into its connections.
struct LinkFault
{
    Duration delay{0};         ///< Added to each read, in both directions.
    bool holdRequests = false; ///< Bytes to the target are held until cleared, as on a cut link.
    bool holdReplies = false;  ///< Bytes from the target are held until cleared.
    bool refuse = false;       ///< New connections are reset.
    bool resetReused = false;  ///< A request resets the connection if it has carried a response.
    ResponseFault responses = ResponseFault::None;

    friend bool operator==(const LinkFault &, const LinkFault &) = default;
};

/// Forwards TCP connections to one target and injects faults. The io_context must be run by a
/// single thread.
class TcpProxy
{
public:
    /// \a seed determines which responses a ResponseFault affects.
    TcpProxy(boost::asio::io_context &io, HttpEndpoint target, std::uint64_t seed = 0);
    ~TcpProxy();

    /// Starts to accept connections on \a address. Fails with ListenFailed.
    Result<void> listen(const HttpEndpoint &address);

    HttpEndpoint endpoint() const { return m_endpoint; }

    /// Directs new connections to \a target; open ones are not affected.
    void setTarget(HttpEndpoint target) { m_target = std::move(target); }
    void setFault(const LinkFault &fault);

    /// Resets all open connections.
    void resetConnections();

private:
    class Connection;

    void accept();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    HttpEndpoint m_target;
    HttpEndpoint m_endpoint;
    LinkFault m_fault;
    Random m_random;
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace godwit
