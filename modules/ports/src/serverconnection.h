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

/// State shared by the connections of one server.
struct ServerState
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::set<std::shared_ptr<ServerConnection>> connections;
    bool accepting = true;
    bool keepAlive = true;
};

/// One connection of an HttpServer. Reads a request, passes it to the handler and reads the next
/// one after the reply.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::io_context &io, boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<ServerState> shared);

    boost::asio::io_context &context() { return m_io; }
    std::size_t queuedBytes() const { return m_queuedBytes.load(std::memory_order_relaxed); }

    void addQueuedBytes(std::size_t n) { m_queuedBytes.fetch_add(n, std::memory_order_relaxed); }

    /// Starts to read the first request.
    void open();

    /// The functions with a serial number implement HttpReply. They do nothing if the number is not
    /// that of the current request.
    void send(std::uint64_t serial, HttpResponse response);
    void startStream(std::uint64_t serial, int status, const HttpHeaders &headers);
    void writeStream(std::uint64_t serial, std::string data);
    void finishStream(std::uint64_t serial);
    void abort(std::uint64_t serial);

    /// Called when the handler releases the reply, which may not have ended.
    void onReplyDropped(std::uint64_t serial);
    void setOnDrained(std::uint64_t serial, std::function<void()> callback);
    void setOnClosed(std::uint64_t serial, std::function<void()> callback);
    void closeAfterReply();
    /// Rejects the current request if only a part of it has arrived.
    void rejectIncomplete();
    void close();

    /// Closes without running callbacks.
    void drop();

private:
    enum class Phase {
        Idle,      ///< Waiting for the first byte of a request.
        Receiving, ///< A part of a request has arrived.
        Handling,  ///< The handler owns the current request.
        Draining,  ///< The reply is complete but not fully written.
        Lingering, ///< The reply is written; discards input until the caller closes.
    };

    struct OutputSegment
    {
        std::string bytes;
        std::size_t payloadBytes = 0; ///< Bytes included in m_queuedBytes.
    };

    /// Returns whether the handler still owns the request with number \a serial.
    bool isCurrent(std::uint64_t serial) const;
    std::string headerEnd() const { return m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n"; }

    void nextRequest();
    void onHeader();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void parse();
    void rejectRequest(int status);
    void handle();
    void enqueue(std::string bytes, std::size_t payloadBytes = 0);
    void enqueueChunk(std::string_view data);
    void flush();
    void writePending();
    void onWritten(const boost::system::error_code &ec);
    void endReply();
    void afterReply();
    void linger();
    /// Closes an idle connection unless a request has arrived.
    void closeIdle();
    bool hasUnreadBytes() const;
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
    std::uint64_t m_serial = 0; ///< Of the current request. Replies to earlier ones are ignored.
    bool m_readPending = false;
    bool m_flushPosted = false;
    bool m_keepAlive = true;
    bool m_headRequest = false;
    bool m_streaming = false;
    bool m_closed = false;
    std::vector<OutputSegment> m_pending;
    std::vector<OutputSegment> m_inFlight;
    std::atomic<std::size_t> m_queuedBytes = 0;
    std::function<void()> m_onDrained;
    std::function<void()> m_onClosed;
};

} // namespace godwit
