#pragma once

#include "deadlinetimer.h"
#include "httpparser.h"

#include <godwit/ports/httpserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

class ServerConnection;

/// Connections in the order of their last progress, the earliest first.
using ConnectionQueue = std::list<ServerConnection *>;

/// State shared by the connections of one server.
struct ServerState
{
    HttpServerOptions options;
    HttpServer::Handler handler;
    std::function<void(ServerRejection)> onRejected;
    std::set<std::shared_ptr<ServerConnection>> connections;
    // Each connection is in one of these.
    ConnectionQueue busy;
    ConnectionQueue idle;
    ConnectionQueue receiving;
    ConnectionQueue lingering;
    ConnectionQueue writing;      ///< Also in one of the others.
    std::size_t requestBytes = 0; ///< Held for incomplete requests and by handlers.
    std::size_t outputBytes = 0;  ///< Queued for replies.
    std::array<char, 16UL * 1024> readBuffer{};
    bool accepting = true;
    bool keepAlive = true;

    void recordRejection(ServerRejection rejection) const;

    /// Rejects incomplete requests until \a more bytes can be held within the limit for a request
    /// of \a size bytes. Returns false if that is not possible.
    bool makeRequestRoom(std::size_t more, std::size_t size);

    /// Closes the connections that have gone longest without taking bytes of their replies, until
    /// the queued bytes are within the limit. Leaves one of them.
    void makeOutputRoom();

    /// Closes the connection that is needed least. Returns false if all are busy.
    bool closeOneConnection();
};

/// One connection of an HttpServer. Reads a request, passes it to the handler and reads the next
/// one after the reply.
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(boost::asio::io_context &io, boost::asio::ip::tcp::socket socket,
                     std::shared_ptr<ServerState> shared);

    boost::asio::io_context &context() { return m_io; }
    /// Bytes of the incomplete request.
    std::size_t heldBytes() const { return m_heldBytes; }
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

    /// Called when the handler releases the reply, which may not have ended, and with it the
    /// request of \a requestBytes.
    void onReplyDropped(std::uint64_t serial, std::size_t requestBytes);
    void setOnDrained(std::uint64_t serial, std::function<void()> callback);
    void setOnClosed(std::uint64_t serial, std::function<void()> callback);
    void closeAfterReply();
    /// Rejects the current request if only a part of it has arrived.
    void rejectIncomplete(ServerRejection reason);
    /// Like rejectIncomplete(), but closes the connection at once.
    void rejectAndClose(ServerRejection reason);
    bool hasUnreadBytes() const;
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
        std::size_t countedBytes = 0; ///< Bytes included in ServerState::outputBytes.
    };

    /// Returns whether the handler still owns the request with number \a serial.
    bool isCurrent(std::uint64_t serial) const;
    std::string headerEnd() const { return m_keepAlive ? "\r\n" : "Connection: close\r\n\r\n"; }

    void setPhase(Phase phase);
    /// Updates the bytes that count for the incomplete request.
    void countRequest();
    void releaseBody();
    void releaseRequest();
    void countOutput(OutputSegment &segment, std::size_t n);
    void nextRequest();
    void onHeader();
    void appendBody(std::string_view data);
    void read();
    void onReadable(const boost::system::error_code &ec);
    void onRead();
    void parse();
    void rejectRequest(int status);
    void handle();
    void refuseRequest();
    void enqueue(std::string bytes, std::size_t payloadBytes = 0);
    void enqueueChunk(std::string_view data);
    void flush();
    void writePending();
    void onWriting();
    void endWriting();
    void onWritten(const boost::system::error_code &ec);
    void endReply();
    void afterReply();
    void linger(std::size_t n);
    /// Closes an idle connection unless a request has arrived.
    void closeIdle();
    void onDeadline();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::socket m_socket;
    std::shared_ptr<ServerState> m_shared;
    DeadlineTimer m_timer;
    std::string m_peer;
    boost::beast::flat_buffer m_buffer;
    std::optional<HttpParser<true>> m_parser;
    std::string m_body;
    std::size_t m_headBytes = 0;     ///< Memory of the parsed headers.
    std::size_t m_heldBytes = 0;     ///< Bytes included in ServerState::requestBytes.
    std::size_t m_outputBytes = 0;   ///< Bytes included in ServerState::outputBytes.
    std::size_t m_lingeredBytes = 0; ///< Discarded since the last reply.
    ConnectionQueue *m_queue = nullptr;
    ConnectionQueue::iterator m_position;
    std::optional<ConnectionQueue::iterator> m_writingPosition;
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
