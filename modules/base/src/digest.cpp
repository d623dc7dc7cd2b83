#include <godwit/base/digest.h>

#include <openssl/sha.h>

namespace godwit {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace

Digest Digest::of(std::string_view bytes)
{
    Digest digest;
    SHA256(reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
           digest.m_bytes.data());
    return digest;
}

Result<Digest> Digest::parse(std::string_view hex)
{
    if (hex.size() != 2 * Size)
        return fail(ResultCode::DigestMalformed,
                    "digest has " + std::to_string(hex.size()) + " characters, expected 64");
    Digest digest;
    for (std::size_t i = 0; i < Size; ++i) {
        const int high = hexValue(hex[2 * i]);
        const int low = hexValue(hex[2 * i + 1]);
        if (high < 0 || low < 0)
            return fail(ResultCode::DigestMalformed,
                        "digest contains a character that is not a hexadecimal digit");
        digest.m_bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return digest;
}

std::string Digest::toHex() const
{
    std::string text;
    text.reserve(2 * Size);
    for (const std::uint8_t byte : m_bytes) {
        text += HexDigits[byte >> 4];
        text += HexDigits[byte & 15];
    }
    return text;
}

std::uint64_t Digest::prefix() const
{
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < 8; ++i)
        value = value << 8 | m_bytes[i];
    return value;
}

} // namespace godwit
