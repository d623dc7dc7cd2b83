#pragma once

#include <godwit/wire/wireoptions.h>
#include <godwit/wire/wirestream.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nghttp2/nghttp2.h>

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>

namespace godwit {

/// Client or server side of one HTTP/2 connection over TCP. Kept alive by its pending socket
/// operations; closed by close(), which a callback of a stream may call, on an error or when the
/// heartbeat timeout expires.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
    using Side = WireStream::Side;
    using StreamHandler = std::function<void(std::shared_ptr<WireStream>)>;
    using ClosedHandler = std::function<void(const Error &)>;

    Http2Connection(boost::asio::ip::tcp::socket socket, Side side, const WireOptions &options);
    ~Http2Connection();
    Http2Connection(const Http2Connection &) = delete;
    Http2Connection &operator=(const Http2Connection &) = delete;

    void setStreamHandler(StreamHandler handler) { m_streamHandler = std::move(handler); }
    void setClosedHandler(ClosedHandler handler) { m_closedHandler = std::move(handler); }

    void start();
    void close(const Error &error);

    /// Sends GOAWAY: the peer may open no new streams, streams in progress continue.
    void sendGoAway();

    void submitRequest(const std::shared_ptr<WireStream> &stream);
    void submitResponse(WireStream &stream, int status, const WireFields &fields);
    void submitTrailers(WireStream &stream);
    void resumeStream(WireStream &stream);
    void resetStream(WireStream &stream);
    void consume(WireStream &stream, std::size_t n);

    bool closed() const { return m_closed; }
    std::size_t streamCount() const { return m_streams.size(); }

private:
    void createSession();
    static nghttp2_data_provider bodyProvider();
    void waitForInput();
    void readAvailable();
    void processInput(std::span<const std::uint8_t> input);
    void scheduleFlush();
    void flush();
    void startHeartbeat();
    void heartbeat();
    std::shared_ptr<WireStream> findStream(std::int32_t id);

    int onBeginHeaders(const nghttp2_frame *frame);
    int onHeader(const nghttp2_frame *frame, std::string name, std::string value);
    int onFrame(const nghttp2_frame *frame);
    int onHeadersFrame(const nghttp2_frame *frame);
    int onData(std::int32_t id, std::string_view data);
    int onStreamClosed(std::int32_t id, std::uint32_t code);

    static nghttp2_session_callbacks *callbacks();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Side m_side;
    WireOptions m_options;
    nghttp2_session *m_session = nullptr;
    StreamHandler m_streamHandler;
    ClosedHandler m_closedHandler;
    std::unordered_map<std::int32_t, std::shared_ptr<WireStream>> m_streams;
    std::unordered_map<std::int32_t, std::size_t> m_headerBytes;
    std::string m_output;
    TimePoint m_lastReceived;
    bool m_writing = false;
    bool m_flushScheduled = false;
    bool m_closed = false;
};

} // namespace godwit
