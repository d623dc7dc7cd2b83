#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace godwit {

/// A token of a streamed response between host and entry process. The encoding is the length of the
/// data (4 bytes) and the position (8 bytes), both big-endian, followed by the data. The entry
/// process forwards the data without parsing it.
struct TokenFrame
{
    std::uint64_t position = 0;
    std::string_view data;
};

/// Appends an encoded frame to \a out.
void appendFrame(std::string &out, const TokenFrame &frame);

/// Splits a byte stream into frames.
class TokenFrameReader
{
public:
    static constexpr std::size_t MaxDataBytes = 1024UL * 1024;

    /// Calls \a handler for each complete frame. Returns false if a frame is larger than
    /// MaxDataBytes; the rest of the stream is unreadable then.
    bool feed(std::string_view bytes, const std::function<void(const TokenFrame &)> &handler);

    /// True if no incomplete frame is buffered.
    bool atBoundary() const { return m_pending.empty(); }

private:
    std::string m_pending;
};

} // namespace godwit
