#pragma once

#include <atomic>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace godwit {

/// Stream for log lines that never blocks: a line that the reader of the descriptor has no room for
/// is dropped and counted. Each flush ends a line.
class LogPipe : public std::ostream
{
public:
    /// Does not own \a descriptor.
    explicit LogPipe(int descriptor);

    std::uint64_t droppedLines() const { return m_buffer.dropped; }

private:
    class Buffer : public std::streambuf
    {
    public:
        explicit Buffer(int descriptor)
            : m_descriptor(descriptor)
        {}
        std::atomic<std::uint64_t> dropped = 0;

    protected:
        std::streamsize xsputn(const char *text, std::streamsize n) override;
        int_type overflow(int_type character) override;
        int sync() override;

    private:
        int m_descriptor;
        std::string m_line;
    };

    Buffer m_buffer;
};

} // namespace godwit
