#pragma once

#include <atomic>
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace godwit {

/// Output stream for log lines that never blocks. Each flush writes the buffered line; if the
/// descriptor is not ready for writing, the rest of the line is dropped and the line is counted.
class NonBlockingLogStream : public std::ostream
{
public:
    /// Does not take ownership of \a descriptor.
    explicit NonBlockingLogStream(int descriptor);

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
