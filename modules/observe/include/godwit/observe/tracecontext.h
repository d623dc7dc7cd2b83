#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// W3C trace context, as carried by the `traceparent` header.
struct TraceContext
{
    std::array<std::uint8_t, 16> traceId{};
    std::array<std::uint8_t, 8> spanId{};
    bool sampled = false;

    /// Parses the header value. Returns std::nullopt if it is malformed, has version ff or contains
    /// an all-zero id; the caller then starts a new trace. Later versions are parsed like version
    /// 00.
    static std::optional<TraceContext> parse(std::string_view traceparent);

    /// Formats the header value, version 00.
    std::string format() const;

    friend auto operator<=>(const TraceContext &, const TraceContext &) = default;
};

/// Formats \a bytes as lower-case hexadecimal digits.
template <std::size_t N>
std::string toHex(const std::array<std::uint8_t, N> &bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * N);
    for (const std::uint8_t byte : bytes) {
        text += digits[byte >> 4];
        text += digits[byte & 15];
    }
    return text;
}

} // namespace godwit
