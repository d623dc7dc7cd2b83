#pragma once

#include "deadlinetimer.h"
#include "httpparser.h"

#include <godwit/ports/httpcall.h>
#include <godwit/ports/httpstreamhandlers.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace godwit {

class ClientConnection;

/// One call in progress.
struct ClientCall
{
    HttpCall request;
    HttpStreamHandlers handlers;
    std::weak_ptr<ClientConnection> connection;
    bool retried = false;
    bool paused = false;
    bool ended = false;

    void end(Outcome<std::monostate> outcome)
    {
        if (ended)
            return;
        ended = true;
        const HttpStreamHandlers last = std::exchange(handlers, {});
        if (last.onEnd)
            last.onEnd(std::move(outcome));
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
    /// What the connection asks of the pool.
    struct Owner
    {
        std::function<void(const std::shared_ptr<ClientConnection> &)> putBack;
        std::function<void(const std::shared_ptr<ClientConnection> &)> forget;
        std::function<void(const HttpEndpoint &)> dropIdle;
        std::function<void(const CallPointer &)> startFresh;
    };

    ClientConnection(boost::asio::io_context &io, HttpEndpoint endpoint, Owner owner);

    const HttpEndpoint &endpoint() const { return m_endpoint; }

    /// How long the connection may be kept idle, at most \a limit.
    Duration idleLimit(Duration limit) const;

    /// Opens the connection and begins \a call on it.
    void connect(const CallPointer &call);

    /// Begins \a call on an idle connection.
    void run(const CallPointer &call);

    /// Ends the call with CallCancelled.
    void cancel();

    /// Goes on with a call that has been paused.
    void resume();

    /// Closes after \a timeout unless a call begins.
    void setIdle(Duration timeout);

    /// Closes without callbacks.
    void drop();

private:
    void failLater(const std::string &detail);
    void onConnected(const boost::system::error_code &ec);
    void begin();
    Duration silenceLimit() const;
    void resetParser();
    void onHeader();
    void onWritten(const CallPointer &call, const boost::system::error_code &ec, std::size_t n);
    void retry();
    void read();
    void onRead(const boost::system::error_code &ec, std::size_t n);
    void onReadFailed(const boost::system::error_code &ec);
    void parse();
    void complete();
    void onDeadline();
    void onSilence();
    void endWith(ResultCode code, const std::string &detail);

    /// Closes the connection and returns its call.
    CallPointer release();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::socket m_socket;
    DeadlineTimer m_timer;
    HttpEndpoint m_endpoint;
    Owner m_owner;
    CallPointer m_call;
    std::string m_headerText;
    boost::beast::flat_buffer m_buffer;
    std::size_t m_readSize;
    std::optional<HttpParser<false>> m_parser;
    std::optional<Duration> m_keepAlive; ///< Idle time that the server grants.
    int m_strayResponses = 0;
    bool m_stray = false; ///< The present response belongs to an earlier call.
    bool m_idle = false;
    bool m_connecting = false;
    bool m_reused = false; ///< Has completed a call before.
    bool m_gotBody = false;
    bool m_gotBytes = false;
    bool m_writing = false;
    bool m_readPending = false;
    bool m_closed = false;
};

} // namespace godwit
