#include "tokenframe.h"

namespace godwit {

namespace {

constexpr std::size_t FrameHeaderBytes = 12;

template <typename T>
void appendBigEndian(std::string &out, T value)
{
    for (int shift = static_cast<int>(sizeof(T)) * 8 - 8; shift >= 0; shift -= 8)
        out += static_cast<char>(value >> shift & 0xFF);
}

template <typename T>
T readBigEndian(std::string_view bytes)
{
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        value = static_cast<T>(value << 8 | static_cast<unsigned char>(bytes[i]));
    return value;
}

} // namespace

void appendFrame(std::string &out, const TokenFrame &frame)
{
    appendBigEndian(out, static_cast<std::uint32_t>(frame.data.size()));
    appendBigEndian(out, frame.position);
    out += frame.data;
}

bool TokenFrameReader::feed(std::string_view bytes,
                            const std::function<void(const TokenFrame &)> &handler)
{
    std::string joined;
    if (!m_pending.empty()) {
        joined = std::move(m_pending);
        joined += bytes;
        bytes = joined;
        m_pending.clear();
    }
    while (bytes.size() >= FrameHeaderBytes) {
        const auto length = readBigEndian<std::uint32_t>(bytes);
        if (length > MaxDataBytes)
            return false;
        if (bytes.size() < FrameHeaderBytes + length)
            break;
        handler({readBigEndian<std::uint64_t>(bytes.substr(4)),
                 bytes.substr(FrameHeaderBytes, length)});
        bytes.remove_prefix(FrameHeaderBytes + length);
    }
    m_pending = bytes;
    return true;
}

} // namespace godwit
