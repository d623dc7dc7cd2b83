#include "http2connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace godwit {

namespace {

// Frames are batched into one write until it reaches this size, which bounds the output buffer.
constexpr std::size_t MaxWriteBytes = 128UL * 1024;

// Maximum number of bytes per read.
constexpr std::size_t ReadBufferBytes = 64UL * 1024;

// The output buffer of an idle connection is freed if its capacity exceeds this.
constexpr std::size_t MaxIdleOutputBytes = 4UL * 1024;

nghttp2_nv makeField(std::string_view name, std::string_view value)
{
    const auto bytes = [](std::string_view text) {
        return const_cast<std::uint8_t *>(reinterpret_cast<const std::uint8_t *>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void appendFields(std::vector<nghttp2_nv> &list, const WireFields &fields)
{
    for (const auto &[name, value] : fields)
        list.push_back(makeField(name, value));
}

Http2Connection *connectionOf(void *userData)
{
    return static_cast<Http2Connection *>(userData);
}

/// Reads a status of three digits from 100 to 599. Returns false for anything else: the response is
/// broken.
bool parseStatus(std::string_view text, int &status)
{
    constexpr std::size_t Digits = 3;
    const char *last = text.data() + text.size();
    const auto [end, ec] = std::from_chars(text.data(), last, status);
    return text.size() == Digits && ec == std::errc() && end == last && status >= 100
           && status <= 599;
}

Error streamError(std::uint32_t code)
{
    if (code == NGHTTP2_REFUSED_STREAM)
        return {ResultCode::NotSent, "peer refused the stream before processing it"};
    return {ResultCode::ConnectionLost,
            std::string("peer reset the stream: ") + nghttp2_http2_strerror(code)};
}

} // namespace

Http2Connection::Http2Connection(boost::asio::ip::tcp::socket socket, Side side,
                                 const WireOptions &options)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_side(side)
    , m_options(options)
    , m_lastReceived(MonotonicClock::now())
{
    createSession();
}

Http2Connection::~Http2Connection()
{
    nghttp2_session_del(m_session);
}

nghttp2_session_callbacks *Http2Connection::callbacks()
{
    static nghttp2_session_callbacks *const table = [] {
        nghttp2_session_callbacks *created = nullptr;
        nghttp2_session_callbacks_new(&created);
        nghttp2_session_callbacks_set_on_begin_headers_callback(
                created, [](nghttp2_session *, const nghttp2_frame *frame, void *userData) {
                    return connectionOf(userData)->onBeginHeaders(frame);
                });
        nghttp2_session_callbacks_set_on_header_callback(
                created, [](nghttp2_session *, const nghttp2_frame *frame, const std::uint8_t *name,
                            std::size_t nameLength, const std::uint8_t *value,
                            std::size_t valueLength, std::uint8_t, void *userData) {
                    return connectionOf(userData)->onHeader(
                            frame, std::string(name, name + nameLength),
                            std::string(value, value + valueLength));
                });
        nghttp2_session_callbacks_set_on_frame_recv_callback(
                created, [](nghttp2_session *, const nghttp2_frame *frame, void *userData) {
                    return connectionOf(userData)->onFrame(frame);
                });
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
                created, [](nghttp2_session *, std::uint8_t, std::int32_t id,
                            const std::uint8_t *data, std::size_t length, void *userData) {
                    return connectionOf(userData)->onData(
                            id, {reinterpret_cast<const char *>(data), length});
                });
        nghttp2_session_callbacks_set_on_stream_close_callback(
                created,
                [](nghttp2_session *, std::int32_t id, std::uint32_t code, void *userData) {
                    return connectionOf(userData)->onStreamClosed(id, code);
                });
        return created;
    }();
    return table;
}

void Http2Connection::createSession()
{
    nghttp2_option *option = nullptr;
    nghttp2_option_new(&option);
    nghttp2_option_set_no_auto_window_update(option, 1);
    if (m_side == Side::Server)
        nghttp2_session_server_new2(&m_session, callbacks(), this, option);
    else
        nghttp2_session_client_new2(&m_session, callbacks(), this, option);
    nghttp2_option_del(option);
    const std::array<nghttp2_settings_entry, 4> entries{{
            {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, m_options.maxStreams},
            {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
             static_cast<std::uint32_t>(m_options.streamWindow)},
            {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE,
             static_cast<std::uint32_t>(m_options.maxHeaderBytes)},
            {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    nghttp2_submit_settings(m_session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(m_session, NGHTTP2_FLAG_NONE, 0,
                                          m_options.connectionWindow);
}

void Http2Connection::start()
{
    boost::system::error_code ec;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ec);
    m_socket.non_blocking(true, ec);
    waitForInput();
    scheduleFlush();
    startHeartbeat();
}

void Http2Connection::close(const Error &error)
{
    if (m_closed)
        return;
    m_closed = true;
    const auto self = shared_from_this();
    boost::system::error_code ec;
    m_timer.cancel();
    m_socket.close(ec);
    auto streams = std::move(m_streams);
    m_streams.clear();
    // Called before the stream callbacks, so that a stream opened by one of them does not use this
    // connection.
    if (const auto handler = std::move(m_closedHandler))
        handler(error);
    for (const auto &[id, stream] : streams)
        stream->deliverError(error);
}

void Http2Connection::sendGoAway()
{
    if (m_closed)
        return;
    nghttp2_submit_shutdown_notice(m_session);
    nghttp2_submit_goaway(m_session, NGHTTP2_FLAG_NONE,
                          nghttp2_session_get_last_proc_stream_id(m_session), NGHTTP2_NO_ERROR,
                          nullptr, 0);
    scheduleFlush();
}

// Streams are found by their id, because a callback of one stream may close the connection, which
// frees all streams while nghttp2 still sends.
nghttp2_data_provider Http2Connection::bodyProvider()
{
    nghttp2_data_provider provider{};
    provider.read_callback = [](nghttp2_session *, std::int32_t id, std::uint8_t *buf,
                                std::size_t length, std::uint32_t *flags, nghttp2_data_source *,
                                void *userData) -> ssize_t {
        const auto stream = connectionOf(userData)->findStream(id);
        if (!stream)
            return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
        return stream->read(buf, length, flags);
    };
    return provider;
}

void Http2Connection::submitRequest(const std::shared_ptr<WireStream> &stream)
{
    const WireHeaders &request = stream->m_request;
    std::vector<nghttp2_nv> list{makeField(":method", request.method), makeField(":scheme", "http"),
                                 makeField(":path", request.path),
                                 makeField(":authority", "godwit")};
    appendFields(list, request.fields);
    const nghttp2_data_provider provider = bodyProvider();
    stream->m_id = nghttp2_submit_request(m_session, nullptr, list.data(), list.size(), &provider,
                                          nullptr);
    if (stream->m_id < 0) {
        stream->deliverError({ResultCode::NotSent, nghttp2_strerror(stream->m_id)});
        return;
    }
    m_streams.emplace(stream->m_id, stream);
    scheduleFlush();
}

void Http2Connection::submitResponse(WireStream &stream, int status, const WireFields &fields)
{
    const std::string text = std::to_string(status);
    std::vector<nghttp2_nv> list{makeField(":status", text)};
    appendFields(list, fields);
    const nghttp2_data_provider provider = bodyProvider();
    nghttp2_submit_response(m_session, stream.m_id, list.data(), list.size(), &provider);
    scheduleFlush();
}

void Http2Connection::submitTrailers(WireStream &stream)
{
    std::vector<nghttp2_nv> list;
    appendFields(list, stream.m_trailers);
    nghttp2_submit_trailer(m_session, stream.m_id, list.data(), list.size());
}

void Http2Connection::resumeStream(WireStream &stream)
{
    nghttp2_session_resume_data(m_session, stream.m_id);
    scheduleFlush();
}

void Http2Connection::resetStream(WireStream &stream)
{
    if (stream.m_id < 0)
        return;
    nghttp2_submit_rst_stream(m_session, NGHTTP2_FLAG_NONE, stream.m_id, NGHTTP2_CANCEL);
    scheduleFlush();
}

void Http2Connection::consume(WireStream &stream, std::size_t n)
{
    nghttp2_session_consume(m_session, stream.m_id, n);
    scheduleFlush();
}

void Http2Connection::waitForInput()
{
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](boost::system::error_code ec) {
                            if (self->m_closed)
                                return;
                            if (ec)
                                self->close({ResultCode::ConnectionLost, ec.message()});
                            else
                                self->readAvailable();
                        });
}

// The input buffer is shared by all connections of the thread, and each read is processed before
// the next one. A host has a connection to every other host, most of them idle, so that a buffer
// per connection would waste memory.
void Http2Connection::readAvailable()
{
    thread_local std::array<std::uint8_t, ReadBufferBytes> input;
    boost::system::error_code ec;
    const std::size_t n = m_socket.read_some(boost::asio::buffer(input), ec);
    if (ec == boost::asio::error::would_block)
        waitForInput();
    else if (ec)
        close({ResultCode::ConnectionLost, ec.message()});
    else
        processInput({input.data(), n});
}

void Http2Connection::processInput(std::span<const std::uint8_t> input)
{
    m_lastReceived = MonotonicClock::now();
    const auto result = nghttp2_session_mem_recv(m_session, input.data(), input.size());
    if (m_closed)
        return;
    if (result < 0) {
        close({ResultCode::MessageMalformed, nghttp2_strerror(static_cast<int>(result))});
        return;
    }
    scheduleFlush();
    if (nghttp2_session_want_read(m_session) == 0 && nghttp2_session_want_write(m_session) == 0) {
        close({ResultCode::ConnectionLost, "HTTP/2 session ended"});
        return;
    }
    waitForInput();
}

// The flush is posted, so that output of several streams in the current handler shares one write.
void Http2Connection::scheduleFlush()
{
    if (m_flushScheduled || m_closed)
        return;
    m_flushScheduled = true;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->m_flushScheduled = false;
        self->flush();
    });
}

void Http2Connection::flush()
{
    if (m_writing || m_closed)
        return;
    m_output.clear();
    while (m_output.size() < MaxWriteBytes) {
        const std::uint8_t *data = nullptr;
        const auto n = nghttp2_session_mem_send(m_session, &data);
        if (m_closed)
            return;
        if (n < 0) {
            close({ResultCode::ConnectionLost, nghttp2_strerror(static_cast<int>(n))});
            return;
        }
        if (n == 0)
            break;
        m_output.append(reinterpret_cast<const char *>(data), static_cast<std::size_t>(n));
    }
    if (m_output.empty() && m_output.capacity() > MaxIdleOutputBytes)
        m_output = {};
    if (m_output.empty())
        return;
    m_writing = true;
    boost::asio::async_write(
            m_socket, boost::asio::buffer(m_output),
            [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
                self->m_writing = false;
                if (ec)
                    self->close({ResultCode::ConnectionLost, ec.message()});
                else
                    self->flush();
            });
}

void Http2Connection::startHeartbeat()
{
    m_timer.expires_after(m_options.heartbeatInterval);
    m_timer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec && !self->m_closed)
            self->heartbeat();
    });
}

void Http2Connection::heartbeat()
{
    if (MonotonicClock::now() - m_lastReceived > m_options.heartbeatTimeout) {
        close({ResultCode::ConnectionSilent, "no data received within the heartbeat timeout"});
        return;
    }
    nghttp2_submit_ping(m_session, NGHTTP2_FLAG_NONE, nullptr);
    scheduleFlush();
    startHeartbeat();
}

std::shared_ptr<WireStream> Http2Connection::findStream(std::int32_t id)
{
    const auto it = m_streams.find(id);
    return it == m_streams.end() ? nullptr : it->second;
}

int Http2Connection::onBeginHeaders(const nghttp2_frame *frame)
{
    if (m_closed)
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    if (m_side != Side::Server || frame->headers.cat != NGHTTP2_HCAT_REQUEST)
        return 0;
    auto stream = std::make_shared<WireStream>(Side::Server, weak_from_this(), WireHeaders{});
    stream->m_id = frame->hd.stream_id;
    m_streams.emplace(stream->m_id, std::move(stream));
    return 0;
}

int Http2Connection::onHeader(const nghttp2_frame *frame, std::string name, std::string value)
{
    const auto stream = findStream(frame->hd.stream_id);
    if (!stream)
        return 0;
    auto &bytes = m_headerBytes[frame->hd.stream_id];
    bytes += name.size() + value.size();
    if (bytes > m_options.maxHeaderBytes)
        return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    if (stream->m_headersDelivered) {
        stream->m_peerTrailers.emplace_back(std::move(name), std::move(value));
        return 0;
    }
    WireHeaders &headers = m_side == Side::Server ? stream->m_request : stream->m_response;
    if (name == ":method")
        headers.method = std::move(value);
    else if (name == ":path")
        headers.path = std::move(value);
    else if (name == ":status")
        return parseStatus(value, headers.status) ? 0 : NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    else if (!name.starts_with(':'))
        headers.fields.emplace_back(std::move(name), std::move(value));
    return 0;
}

int Http2Connection::onFrame(const nghttp2_frame *frame)
{
    const bool isHeaders = frame->hd.type == NGHTTP2_HEADERS;
    if (isHeaders)
        onHeadersFrame(frame);
    const bool ends = (frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
    if (!ends || (!isHeaders && frame->hd.type != NGHTTP2_DATA))
        return 0;
    if (const auto stream = findStream(frame->hd.stream_id))
        stream->deliverEnd();
    return 0;
}

int Http2Connection::onHeadersFrame(const nghttp2_frame *frame)
{
    const auto stream = findStream(frame->hd.stream_id);
    if (!stream || stream->m_headersDelivered)
        return 0;
    stream->m_headersDelivered = true;
    if (m_side == Side::Server) {
        if (m_streamHandler)
            m_streamHandler(stream);
    } else {
        stream->deliverHeaders();
    }
    return 0;
}

int Http2Connection::onData(std::int32_t id, std::string_view data)
{
    const auto stream = findStream(id);
    if (!stream) {
        nghttp2_session_consume_connection(m_session, data.size());
        return 0;
    }
    stream->deliverData(data);
    // The connection window is replenished immediately, so that a slow stream does not block
    // others.
    if (stream->m_manualFlowControl)
        nghttp2_session_consume_connection(m_session, data.size());
    else
        nghttp2_session_consume(m_session, id, data.size());
    return 0;
}

int Http2Connection::onStreamClosed(std::int32_t id, std::uint32_t code)
{
    m_headerBytes.erase(id);
    const auto it = m_streams.find(id);
    if (it == m_streams.end())
        return 0;
    const auto stream = it->second;
    m_streams.erase(it);
    if (code == NGHTTP2_NO_ERROR && stream->m_peerEnded)
        stream->markEnded();
    else
        stream->deliverError(streamError(code));
    return 0;
}

} // namespace godwit
