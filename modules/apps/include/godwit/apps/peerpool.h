#pragma once

#include <godwit/settings/daemonsettings.h>
#include <godwit/wire/wireclient.h>

#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <set>

namespace godwit {

/// Connections to other processes, keyed by peer endpoint and opened on demand. Used only on the
/// thread of the io_context.
class PeerPool
{
public:
    explicit PeerPool(boost::asio::io_context &io, WireOptions options = {})
        : m_io(io)
        , m_options(options)
    {}

    WireClient &client(const Endpoint &endpoint);

    /// Closes connections that were idle at the previous call and have not been used since. Called
    /// periodically, so that heartbeats are sent only on connections that are in use.
    void closeIdle();

    /// Closes the connection to \a endpoint, if there is one.
    void disconnect(const Endpoint &endpoint) { m_clients.erase(endpoint); }

    std::size_t size() const { return m_clients.size(); }

private:
    boost::asio::io_context &m_io;
    WireOptions m_options;
    std::map<Endpoint, std::unique_ptr<WireClient>> m_clients;
    std::set<Endpoint> m_idle;
};

} // namespace godwit
