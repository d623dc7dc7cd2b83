#pragma once

#include <godwit/wire/streamevents.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace godwit {

class Http2Connection;

/// Client or server side of one HTTP/2 stream. Owned by its connection until it has ended; users
/// hold shared pointers. Not thread safe: all calls must be made on the thread of the connection.
class WireStream : public std::enable_shared_from_this<WireStream>
{
public:
    enum class Side { Client, Server };

    WireStream(Side side, std::weak_ptr<Http2Connection> connection, WireHeaders request);

    const WireHeaders &request() const { return m_request; }

    /// Replaces the callbacks. Data received before the first call is delivered immediately.
    void setEvents(StreamEvents events);

    /// Server side: sends the response headers. Must be called once, before write().
    void respond(int status, WireFields fields = {});

    /// Queues \a data for sending. The queue is unbounded; callers limit it with bufferedBytes()
    /// and onDrained.
    void write(std::string_view data);

    /// Ends the sending direction after the queued data and sends \a trailers, if any.
    void finish(WireFields trailers = {});

    /// Resets the stream. No further callback is called.
    void cancel();

    /// Number of bytes queued by write() that the connection has not yet sent.
    std::size_t bufferedBytes() const { return m_sendBuffer.size() - m_sendOffset; }

    /// If \a manual is true, the flow control window of the stream is replenished only by
    /// consume(). Otherwise received data counts as consumed when onData returns.
    void setManualFlowControl(bool manual) { m_manualFlowControl = manual; }

    /// Marks \a n received bytes as consumed, which replenishes the peer's send window.
    void consume(std::size_t n);

    /// Returns true after cancel() or the last callback: on the client side after onEnd or onError,
    /// on the server side when the stream has closed.
    bool ended() const { return m_ended; }

private:
    friend class Http2Connection;
    friend class WireClient;

    std::ptrdiff_t read(std::uint8_t *buf, std::size_t length, std::uint32_t *flags);
    void finishSending(std::uint32_t *flags);
    void deliverData(std::string_view data);
    void deliverEnd();
    void deliverError(const Error &error);
    void deliverHeaders();
    void markEnded();
    template <typename Function>
    void dispatch(Function function);
    void resume();

    std::weak_ptr<Http2Connection> m_connection;
    WireHeaders m_request;
    WireHeaders m_response;
    StreamEvents m_events;
    WireFields m_peerTrailers;
    WireFields m_trailers;
    std::string m_undelivered; ///< Data received before setEvents().
    std::string m_sendBuffer;
    std::size_t m_sendOffset = 0;
    std::int32_t m_id = -1;
    Side m_side;
    bool m_hasEvents = false;
    bool m_finished = false;
    bool m_peerEnded = false;
    bool m_ended = false;
    bool m_dispatching = false;
    bool m_headersSent = false;
    bool m_headersDelivered = false;
    bool m_manualFlowControl = false;
};

} // namespace godwit
