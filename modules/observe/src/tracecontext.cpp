#include <godwit/observe/tracecontext.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::size_t HeaderSize = 55; // version-traceid-spanid-flags
constexpr std::uint8_t SampledFlag = 1;

/// Returns the value of a lower-case hexadecimal digit, or -1. W3C Trace Context forbids upper
/// case.
int hexDigitValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

template <std::size_t N>
bool parseHex(std::string_view text, std::array<std::uint8_t, N> &bytes)
{
    for (std::size_t i = 0; i < N; ++i) {
        const int high = hexDigitValue(text[2 * i]);
        const int low = hexDigitValue(text[2 * i + 1]);
        if (high < 0 || low < 0)
            return false;
        bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

template <std::size_t N>
bool isZero(const std::array<std::uint8_t, N> &bytes)
{
    return std::ranges::all_of(bytes, [](std::uint8_t byte) { return byte == 0; });
}

bool hasValidLayout(std::string_view text)
{
    if (text.size() < HeaderSize || text[2] != '-' || text[35] != '-' || text[52] != '-')
        return false;
    const std::string_view version = text.substr(0, 2);
    if (version == "00")
        return text.size() == HeaderSize;
    return version != "ff" && (text.size() == HeaderSize || text[HeaderSize] == '-');
}

} // namespace

std::optional<TraceContext> TraceContext::parse(std::string_view traceparent)
{
    if (!hasValidLayout(traceparent))
        return std::nullopt;
    TraceContext context;
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    if (!parseHex(traceparent, version) || !parseHex(traceparent.substr(3), context.traceId)
        || !parseHex(traceparent.substr(36), context.spanId)
        || !parseHex(traceparent.substr(53), flags))
        return std::nullopt;
    if (isZero(context.traceId) || isZero(context.spanId))
        return std::nullopt;
    context.sampled = (flags[0] & SampledFlag) != 0;
    return context;
}

std::string TraceContext::format() const
{
    return "00-" + toHex(traceId) + '-' + toHex(spanId) + (sampled ? "-01" : "-00");
}

} // namespace godwit
