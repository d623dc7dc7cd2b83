#pragma once

#include "deadlinetimer.h"
#include "httpparser.h"

#include <godwit/ports/httpserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

class ServerConnection;

/// What the connections of one server share.
struct ServerState
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::set<std::shared_ptr<ServerConnection>> connections;
    bool accepting = true;
    bool keepingAlive = true;
};

/// One connection of an HttpServer: reads a request, lets the handler answer it and reads the next.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::io_context &io, boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<ServerState> shared);

    boost::asio::io_context &context() { return m_io; }
    std::size_t queuedBytes() const { return m_queued.load(std::memory_order_relaxed); }

    void addQueued(std::size_t n) { m_queued.fetch_add(n, std::memory_order_relaxed); }

    /// Reads the first request.
    void open();

    /// The functions with a serial number are those of a reply; they do nothing if the number is
    /// not that of the present request.
    void send(std::uint64_t serial, HttpResponse response);
    void startStream(std::uint64_t serial, int status, const HttpHeaders &headers);
    void writeStream(std::uint64_t serial, std::string data);
    void finishStream(std::uint64_t serial);
    void abort(std::uint64_t serial);

    /// The handler dropped the reply.
    void abandon(std::uint64_t serial);
    void setDrained(std::uint64_t serial, std::function<void()> callback);
    void setClosed(std::uint64_t serial, std::function<void()> callback);
    void closeAfterReply();
    void close();

    /// Closes without callbacks.
    void drop();

private:
    enum class Phase {
        Idle,      ///< Waits for the first byte of a request.
        Receiving, ///< Has a part of a request.
        Handling,  ///< The handler owns the current request.
        Draining,  ///< The reply is complete but not yet written.
        Lingering, ///< The reply is written; input is discarded until the caller closes.
    };

    struct Piece
    {
        std::string bytes;
        std::size_t counted = 0; ///< Bytes that count as queued.
    };

    /// Whether the handler still owns the request with this number.
    bool current(std::uint64_t serial) const;
    std::string closingHeader() const { return m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n"; }

    void nextRequest();
    void onHeader();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parse();
    void refuse(int status);
    void handle();
    void push(std::string bytes, std::size_t counted = 0);
    void pushChunk(std::string_view data);
    void flush();
    void writePieces();
    void onWritten(const boost::system::error_code &ec);
    void endReply();
    void afterReply();
    void linger();
    void onDeadline();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<ServerState> m_shared;
    DeadlineTimer m_timer;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpParser<true>> m_parser;
    std::string m_body;
    Phase m_phase = Phase::Idle;
    std::uint64_t m_serial = 0; ///< Of the current request, so that late replies hit no other.
    bool m_readPending = false;
    bool m_flushPosted = false;
    bool m_keepAlive = true;
    bool m_headRequest = false;
    bool m_streaming = false;
    bool m_closed = false;
    std::vector<Piece> m_pieces;
    std::vector<Piece> m_inFlight;
    std::atomic<std::size_t> m_queued = 0;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
};

} // namespace godwit
