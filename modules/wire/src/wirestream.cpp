#include <godwit/wire/wirestream.h>

#include "http2connection.h"

#include <algorithm>
#include <cstring>

namespace godwit {

namespace {

// The sent prefix of the send buffer is erased when it exceeds this size, which keeps moving the
// remaining data rare.
constexpr std::size_t CompactThreshold = 64UL * 1024;

} // namespace

// A callback may cancel the stream. The callbacks are destroyed only after it returns.
template <typename Function>
void WireStream::dispatch(Function function)
{
    m_dispatching = true;
    function();
    m_dispatching = false;
    if (m_ended)
        m_events = {};
}

std::string_view fieldValue(const WireFields &fields, std::string_view name)
{
    const auto it = std::ranges::find(fields, name, &WireFields::value_type::first);
    return it == fields.end() ? std::string_view() : std::string_view(it->second);
}

WireStream::WireStream(Side side, std::weak_ptr<Http2Connection> connection, WireHeaders request)
    : m_connection(std::move(connection))
    , m_request(std::move(request))
    , m_side(side)
{}

void WireStream::setEvents(StreamEvents events)
{
    m_events = std::move(events);
    m_hasEvents = true;
    const auto self = shared_from_this();
    if (!m_undelivered.empty()) {
        const std::string data = std::move(m_undelivered);
        m_undelivered.clear();
        deliverData(data);
    }
    if (m_peerEnded && !m_ended)
        deliverEnd();
}

void WireStream::respond(int status, WireFields fields)
{
    const auto connection = m_connection.lock();
    if (!connection || connection->closed() || m_headersSent)
        return;
    m_headersSent = true;
    connection->submitResponse(*this, status, fields);
}

void WireStream::write(std::string_view data)
{
    if (m_finished)
        return;
    if (m_sendOffset > CompactThreshold) {
        m_sendBuffer.erase(0, m_sendOffset);
        m_sendOffset = 0;
    }
    m_sendBuffer += data;
    resume();
}

void WireStream::finish(WireFields trailers)
{
    if (m_finished)
        return;
    m_finished = true;
    m_trailers = std::move(trailers);
    resume();
}

void WireStream::cancel()
{
    m_finished = true;
    markEnded();
    const auto connection = m_connection.lock();
    if (connection && !connection->closed())
        connection->resetStream(*this);
}

void WireStream::consume(std::size_t n)
{
    const auto connection = m_connection.lock();
    if (connection && !connection->closed() && m_id >= 0)
        connection->consume(*this, n);
}

void WireStream::resume()
{
    const auto connection = m_connection.lock();
    if (connection && !connection->closed() && m_id >= 0)
        connection->resumeStream(*this);
}

std::ptrdiff_t WireStream::read(std::uint8_t *buf, std::size_t length, std::uint32_t *flags)
{
    const std::size_t n = std::min(length, bufferedBytes());
    std::memcpy(buf, m_sendBuffer.data() + m_sendOffset, n);
    m_sendOffset += n;
    const bool empty = bufferedBytes() == 0;
    if (empty) {
        m_sendBuffer.clear();
        m_sendOffset = 0;
        if (m_sendBuffer.capacity() > CompactThreshold)
            m_sendBuffer.shrink_to_fit();
    }
    if (empty && n > 0 && m_events.onDrained)
        dispatch([&] { m_events.onDrained(); });
    // onDrained may have queued more data.
    if (bufferedBytes() == 0 && m_finished) {
        finishSending(flags);
        return static_cast<std::ptrdiff_t>(n);
    }
    return n == 0 ? static_cast<std::ptrdiff_t>(NGHTTP2_ERR_DEFERRED)
                  : static_cast<std::ptrdiff_t>(n);
}

void WireStream::finishSending(std::uint32_t *flags)
{
    *flags |= NGHTTP2_DATA_FLAG_EOF;
    const auto connection = m_connection.lock();
    if (m_trailers.empty() || !connection)
        return;
    *flags |= NGHTTP2_DATA_FLAG_NO_END_STREAM;
    connection->submitTrailers(*this);
}

void WireStream::deliverData(std::string_view data)
{
    if (m_ended)
        return;
    if (!m_hasEvents)
        m_undelivered += data;
    else if (m_events.onData)
        dispatch([&] { m_events.onData(data); });
}

void WireStream::deliverEnd()
{
    m_peerEnded = true;
    if (m_ended || !m_hasEvents)
        return;
    const auto callback = std::move(m_events.onEnd);
    m_events.onEnd = nullptr;
    m_events.onData = nullptr;
    if (m_side == Side::Client)
        markEnded();
    if (callback)
        callback(m_peerTrailers);
}

void WireStream::deliverError(const Error &error)
{
    if (m_ended)
        return;
    const auto callback = std::move(m_events.onError);
    markEnded();
    if (callback)
        callback(error);
}

// The callbacks may hold shared pointers to this stream; clearing them breaks the reference cycle.
void WireStream::markEnded()
{
    m_ended = true;
    if (m_side == Side::Client && !m_peerEnded)
        m_finished = true;
    if (!m_dispatching)
        m_events = {};
}

void WireStream::deliverHeaders()
{
    if (m_events.onHeaders)
        dispatch([&] { m_events.onHeaders(m_response); });
}

} // namespace godwit
