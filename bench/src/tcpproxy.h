#pragma once

#include <godwit/base/result.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpendpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>

namespace godwit {

/// What a TcpProxy does to the bytes of its connections.
struct LinkFault
{
    Duration delay{0};         ///< Of each batch of bytes, in both directions.
    bool holdRequests = false; ///< Bytes to the target wait until this ends, as on a cut link.
    bool holdReplies = false;  ///< Bytes from the target wait.
    bool refuse = false;       ///< New connections are reset.
};

/// Forwards TCP connections on the loopback to one target, with faults. One io_context, run by one
/// thread.
class TcpProxy
{
public:
    TcpProxy(boost::asio::io_context &io, HttpEndpoint target);
    ~TcpProxy();

    /// Fails with ListenFailed.
    Result<void> listen(const HttpEndpoint &address);

    HttpEndpoint endpoint() const { return m_endpoint; }

    /// New connections lead to \a target; those that are open stay.
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
