#include <godwit/ports/base64.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace godwit {

namespace {

constexpr std::string_view Alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

constexpr std::array<std::int8_t, 256> makeDecodeTable()
{
    std::array<std::int8_t, 256> table{};
    table.fill(-1);
    for (std::size_t i = 0; i < Alphabet.size(); ++i)
        table[static_cast<unsigned char>(Alphabet[i])] = static_cast<std::int8_t>(i);
    return table;
}

constexpr auto DecodeTable = makeDecodeTable();

} // namespace

std::string base64Encode(std::string_view bytes)
{
    std::string text;
    text.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t n = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (k < n ? static_cast<unsigned char>(bytes[i + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            text += k <= n ? Alphabet[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::optional<std::string> base64Decode(std::string_view text)
{
    if (text.size() % 4 != 0)
        return std::nullopt;
    std::string bytes;
    bytes.reserve(text.size() / 4 * 3);
    for (std::size_t i = 0; i < text.size(); i += 4) {
        const bool last = i + 4 == text.size();
        const std::size_t padding = !last ? 0 : text[i + 2] == '=' ? 2 : text[i + 3] == '=' ? 1 : 0;
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const int value = k >= 4 - padding
                                      ? (text[i + k] == '=' ? 0 : -1)
                                      : DecodeTable[static_cast<unsigned char>(text[i + k])];
            if (value < 0)
                return std::nullopt;
            group = group << 6 | static_cast<std::uint32_t>(value);
        }
        for (std::size_t k = 0; k < 3 - padding; ++k)
            bytes += static_cast<char>(group >> (16 - 8 * k) & 255);
    }
    return bytes;
}

} // namespace godwit
