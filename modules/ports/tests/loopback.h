#pragma once

#include <godwit/ports/httpendpoint.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <chrono>
#include <string>

namespace godwit {

/// Runs \a io until \a done returns true. Fails the test if no handler runs for 20 s. The total
/// time is not limited here, because a busy machine can slow a test down by any factor; the timeout
/// of CTest ends tests that never finish.
template <typename Predicate>
void runUntil(boost::asio::io_context &io, Predicate done)
{
    constexpr std::chrono::seconds inactivityLimit(20);
    auto lastHandler = std::chrono::steady_clock::now();
    io.restart();
    while (!done()) {
        REQUIRE(std::chrono::steady_clock::now() < lastHandler + inactivityLimit);
        if (io.run_one_for(std::chrono::milliseconds(100)) > 0)
            lastHandler = std::chrono::steady_clock::now();
        io.restart();
    }
}

/// Server that answers one request with given bytes and then closes the connection.
class ClosingServer
{
public:
    enum class Close { Fin, Reset };

    ClosingServer(boost::asio::io_context &io, std::string bytes, Close close)
        : m_acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(io)
        , m_bytes(std::move(bytes))
    {
        m_acceptor.async_accept(m_socket, [this, close](auto) {
            m_socket.async_read_some(boost::asio::buffer(m_request),
                                     [this, close](auto, std::size_t) { respond(close); });
        });
    }

    HttpEndpoint endpoint() const { return {"127.0.0.1", m_acceptor.local_endpoint().port()}; }

private:
    void respond(Close close)
    {
        boost::asio::write(m_socket, boost::asio::buffer(m_bytes));
        if (close == Close::Reset)
            m_socket.set_option(boost::asio::socket_base::linger(true, 0));
        m_socket.close();
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_bytes;
    std::array<char, 4096> m_request{};
};

} // namespace godwit
