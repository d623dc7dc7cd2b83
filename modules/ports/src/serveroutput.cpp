// The part of ServerConnection that writes replies.
#include "serverconnection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace godwit {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

/// Chunks of a streamed reply are coalesced up to about this size. One system call writes up to 64
/// buffers, and a chunk that is not coalesced would need three of them.
constexpr std::size_t CoalescedBytes = 16UL * 1024;
std::string formatHeader(int status, const HttpHeaders &headers)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + ' ';
    text += httpReason(status);
    text += "\r\n";
    for (const auto &[name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text;
}

std::string chunkPrefix(std::size_t size)
{
    char digits[2 * sizeof size];
    const auto [end, ec] = std::to_chars(std::begin(digits), std::end(digits), size, 16);
    return std::string(std::begin(digits), end) + "\r\n";
}

} // namespace

void ServerConnection::send(std::uint64_t serial, HttpResponse response)
{
    if (!isCurrent(serial) || m_streaming)
        return;
    std::string text = formatHeader(response.status, response.headers);
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    text += headerEnd();
    if (m_headRequest)
        response.body.clear();
    enqueue(std::move(text));
    if (!response.body.empty())
        enqueue(std::move(response.body));
    endReply();
}

void ServerConnection::startStream(std::uint64_t serial, int status, const HttpHeaders &headers)
{
    if (!isCurrent(serial) || m_streaming)
        return;
    m_streaming = true;
    enqueue(formatHeader(status, headers) + "Transfer-Encoding: chunked\r\n" + headerEnd());
}

void ServerConnection::writeStream(std::uint64_t serial, std::string data)
{
    if (!isCurrent(serial) || !m_streaming || data.empty() || m_headRequest) {
        m_queuedBytes.fetch_sub(data.size(), std::memory_order_relaxed);
        return;
    }
    enqueueChunk(data);
    if (queuedBytes() > m_shared->options.queueLimit)
        close();
}

void ServerConnection::finishStream(std::uint64_t serial)
{
    if (!isCurrent(serial) || !m_streaming)
        return;
    if (!m_headRequest)
        enqueue("0\r\n\r\n");
    endReply();
}

void ServerConnection::countOutput(OutputSegment &segment, std::size_t n)
{
    segment.countedBytes += n;
    m_outputBytes += n;
    m_shared->outputBytes += n;
    const std::size_t limit = m_shared->options.outputMemoryLimit;
    if (limit == 0 || m_shared->outputBytes <= limit)
        return;
    // Not now, since the end of other connections calls back into the handler that queues this.
    asio::post(m_io, [shared = m_shared] { shared->makeOutputRoom(); });
}

void ServerConnection::enqueue(std::string bytes, std::size_t payloadBytes)
{
    const std::size_t size = bytes.capacity();
    m_pending.push_back({std::move(bytes), payloadBytes});
    countOutput(m_pending.back(), size);
    if (m_inFlight.empty())
        flush();
}

void ServerConnection::enqueueChunk(std::string_view data)
{
    if (m_pending.empty() || m_pending.back().bytes.size() > CoalescedBytes)
        m_pending.emplace_back();
    OutputSegment &segment = m_pending.back();
    const std::size_t before = segment.bytes.capacity();
    segment.bytes += chunkPrefix(data.size());
    segment.bytes += data;
    segment.bytes += "\r\n";
    segment.payloadBytes += data.size();
    countOutput(segment, segment.bytes.capacity() - before);
    if (m_inFlight.empty())
        flush();
}

void ServerConnection::flush()
{
    // Segments that are queued in one iteration of the event loop are written by one system call.
    if (m_flushPosted || m_closed)
        return;
    m_flushPosted = true;
    asio::post(m_io, [self = shared_from_this()] {
        self->m_flushPosted = false;
        self->writePending();
    });
}

void ServerConnection::writePending()
{
    if (m_closed || m_pending.empty() || !m_inFlight.empty())
        return;
    m_inFlight.swap(m_pending);
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(m_inFlight.size());
    for (const OutputSegment &segment : m_inFlight)
        buffers.emplace_back(segment.bytes.data(), segment.bytes.size());
    m_timer.set(m_shared->options.writeTimeout);
    m_writingPosition = m_shared->writing.insert(m_shared->writing.end(), this);
    const auto onProgress = [self = shared_from_this()](const ErrorCode &ec, std::size_t n) {
        self->onWriting();
        return asio::transfer_all()(ec, n);
    };
    asio::async_write(
            m_socket, buffers, onProgress,
            [self = shared_from_this()](ErrorCode ec, std::size_t) { self->onWritten(ec); });
}

void ServerConnection::onWriting()
{
    if (m_writingPosition)
        m_shared->writing.splice(m_shared->writing.end(), m_shared->writing, *m_writingPosition);
}

void ServerConnection::onWritten(const ErrorCode &ec)
{
    endWriting();
    std::size_t counted = 0;
    for (const OutputSegment &segment : m_inFlight) {
        m_queuedBytes.fetch_sub(segment.payloadBytes, std::memory_order_relaxed);
        counted += segment.countedBytes;
    }
    m_inFlight.clear();
    if (m_closed)
        return;
    m_outputBytes -= counted;
    m_shared->outputBytes -= counted;
    if (ec) {
        close();
        return;
    }
    if (!m_pending.empty()) {
        writePending();
        return;
    }
    if (m_phase == Phase::Draining) {
        afterReply();
        return;
    }
    if (m_phase == Phase::Handling)
        m_timer.clear();
    if (m_onDrained) {
        const auto callback = m_onDrained;
        callback();
    }
}

void ServerConnection::endReply()
{
    setPhase(Phase::Draining);
    m_onDrained = nullptr;
    m_onClosed = nullptr;
    if (m_inFlight.empty() && m_pending.empty())
        afterReply();
}

} // namespace godwit
