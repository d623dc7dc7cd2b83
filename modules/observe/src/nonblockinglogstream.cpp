#include <godwit/observe/nonblockinglogstream.h>

#include <algorithm>
#include <climits>

#include <poll.h>
#include <unistd.h>

namespace godwit {

namespace {

/// Returns true if a write of up to PIPE_BUF bytes would not block.
bool isWritable(int descriptor)
{
    pollfd request{descriptor, POLLOUT, 0};
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

NonBlockingLogStream::NonBlockingLogStream(int descriptor)
    : std::ostream(nullptr)
    , m_buffer(descriptor)
{
    rdbuf(&m_buffer);
}

std::streamsize NonBlockingLogStream::Buffer::xsputn(const char *text, std::streamsize n)
{
    m_line.append(text, static_cast<std::size_t>(n));
    return n;
}

NonBlockingLogStream::Buffer::int_type NonBlockingLogStream::Buffer::overflow(int_type character)
{
    if (character != traits_type::eof())
        m_line += traits_type::to_char_type(character);
    return traits_type::not_eof(character);
}

int NonBlockingLogStream::Buffer::sync()
{
    std::size_t written = 0;
    while (written < m_line.size() && isWritable(m_descriptor)) {
        const std::size_t n = std::min<std::size_t>(m_line.size() - written, PIPE_BUF);
        const ssize_t result = ::write(m_descriptor, m_line.data() + written, n);
        if (result <= 0)
            break;
        written += static_cast<std::size_t>(result);
    }
    if (written < m_line.size())
        ++dropped;
    m_line.clear();
    return 0;
}

} // namespace godwit
