#pragma once

#include "deadlinetimer.h"
#include "httpparser.h"

#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpstreamhandlers.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

class ClientConnection;

/// A call in progress. All members but the send state are used on the thread of the io_context
/// only.
struct ClientCall
{
    enum class SendState {
        Unsent,
        Sent,      ///< Bytes of the request may have been passed to a connection.
        Withdrawn, ///< Cancelled before any byte was.
    };

    HttpCall request;
    HttpStreamHandlers handlers;
    std::weak_ptr<ClientConnection> connection;
    bool retried = false;
    bool paused = false;
    bool ended = false;
    /// Decides between a connection that begins to send and a thread that cancels the unsent call.
    std::atomic<SendState> sendState = SendState::Unsent;

    /// Must be called before a byte of the request is passed to a connection. Returns false if that
    /// is no longer allowed.
    bool beginSending()
    {
        SendState expected = SendState::Unsent;
        return sendState.compare_exchange_strong(expected, SendState::Sent)
               || expected == SendState::Sent;
    }

    /// Returns whether no byte of the request has been passed to a connection. None is from then
    /// on.
    bool withdraw()
    {
        SendState expected = SendState::Unsent;
        return sendState.compare_exchange_strong(expected, SendState::Withdrawn)
               || expected == SendState::Withdrawn;
    }

    void end(Outcome<std::monostate> outcome)
    {
        if (ended)
            return;
        ended = true;
        const HttpStreamHandlers endedHandlers = std::exchange(handlers, {});
        if (endedHandlers.onEnd)
            endedHandlers.onEnd(std::move(outcome));
    }

    void fail(ResultCode code, const std::string &detail)
    {
        end(Error{code, request.method + ' ' + toString(request.endpoint) + ": " + detail});
    }
};

using CallPointer = std::shared_ptr<ClientCall>;

/// One connection of an HttpClient, idle in the pool or owned by one call.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /// Functions of the connection pool that the connection calls.
    struct PoolCallbacks
    {
        std::function<void(const std::shared_ptr<ClientConnection> &)> returnToPool;
        std::function<void(const std::shared_ptr<ClientConnection> &)> removeConnection;
        std::function<void(const HttpEndpoint &)> closeIdle;
        std::function<void(const CallPointer &)> startOnNewConnection;
    };

    ClientConnection(boost::asio::io_context &io, HttpEndpoint endpoint, PoolCallbacks pool);

    const HttpEndpoint &endpoint() const { return m_endpoint; }

    /// Returns how long the connection may be kept idle, at most \a limit.
    Duration idleTimeoutFor(Duration limit) const;

    /// Opens the connection and begins \a call on it.
    void connect(const CallPointer &call);

    /// Whether the server has neither closed the idle connection nor sent bytes on it. Such bytes
    /// belong to no call.
    bool isQuiet();

    /// Begins \a call on an idle connection.
    void run(const CallPointer &call);

    /// Ends the call with CallCancelled.
    void cancel();

    /// Closes the idle connections to the same server if this one has been idle before: if a device
    /// on the network path has dropped its connection state, all of them are dead.
    void distrustIdleConnections();

    /// Continues a paused call.
    void resume();

    /// Marks the connection as idle. It closes after \a timeout unless a call begins.
    void setIdle(Duration timeout);

    /// Closes without running callbacks.
    void drop();

private:
    void postFailure(const std::string &detail);
    void onConnected(const boost::system::error_code &ec);
    void begin();
    Duration receiveTimeout() const;
    /// Sets the timer to \a timeout or to the end of the total timeout, whichever is earlier.
    void setCallTimer(Duration timeout);
    void resetParser();
    void onHeader();
    void onWritten(const CallPointer &call, const boost::system::error_code &ec, std::size_t n);
    void retry();
    void restartReceiveTimer();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void onReadFailed(const boost::system::error_code &ec);
    /// Whether the connection has ended by a reset. If the write of the request has got that error,
    /// the read ends like after an orderly close, but the socket has no peer any more; after an
    /// orderly close by the server it has.
    bool wasReset() const;
    void parse();
    void complete();
    void onDeadline();
    void onReceiveTimeout();
    void failCall(ResultCode code, const std::string &detail);

    /// Closes the connection and returns its call.
    CallPointer closeConnection();
    bool isReused() const { return m_completedCalls > 0; }

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::socket m_socket;
    DeadlineTimer m_timer;
    HttpEndpoint m_endpoint;
    PoolCallbacks m_pool;
    CallPointer m_call;
    std::string m_requestHeader;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_readSize;
    std::optional<HttpParser<false>> m_parser;
    std::optional<TimePoint> m_callEndsAt;      ///< End of the total timeout.
    std::optional<Duration> m_keepAliveTimeout; ///< Idle timeout announced by the server.
    int m_staleResponses = 0;
    int m_interimResponses = 0;     ///< To the current call.
    bool m_isStaleResponse = false; ///< The current response belongs to an earlier call.
    bool m_idle = false;
    bool m_connecting = false;
    std::size_t m_completedCalls = 0;
    bool m_bodyStarted = false;
    bool m_receivedBytes = false;
    bool m_writing = false;
    bool m_readPending = false;
    bool m_closed = false;
};

} // namespace godwit
