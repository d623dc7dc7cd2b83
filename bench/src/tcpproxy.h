#pragma once

#include <godwit/base/result.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace godwit {

/// Faults that a TcpProxy injects into its connections.
struct LinkFault
{
    Duration delay{0};         ///< Added to each read, in both directions.
    bool holdRequests = false; ///< Bytes to the target are held until cleared, as on a cut link.
    bool holdReplies = false;  ///< Bytes from the target are held until cleared.
    bool refuse = false;       ///< New connections are reset.
};

/// Forwards TCP connections to one target and injects faults. The io_context must be run by a
/// single thread.
class TcpProxy
{
public:
    TcpProxy(boost::asio::io_context &io, HttpEndpoint target);
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
    std::list<std::weak_ptr<Connection>> m_connections;
};

} // namespace godwit
