#include <godwit/requests/idempotency.h>

#include <algorithm>
#include <charconv>
#include <string>

namespace godwit {

namespace {

constexpr std::size_t UuidLength = 36;
constexpr std::size_t VersionIndex = 14;
constexpr std::size_t VariantIndex = 19;

bool isDashPosition(std::size_t index)
{
    return index == 8 || index == 13 || index == 18 || index == 23;
}

bool hasUuidShape(const std::string &text)
{
    if (text.size() != UuidLength)
        return false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const bool isHexDigit =
                std::string_view("0123456789abcdefABCDEF").find(text[i]) != std::string_view::npos;
        if (isDashPosition(i) ? text[i] != '-' : !isHexDigit)
            return false;
    }
    return true;
}

} // namespace

bool isValidIdempotencyKey(const IdempotencyKey &key)
{
    const std::string &text = key.value();
    return !text.empty() && text.size() <= MaxIdempotencyKeyLength
           && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}

std::optional<WallTime> keyCreationTime(const IdempotencyKey &key)
{
    const std::string &text = key.value();
    if (!hasUuidShape(text) || text[VersionIndex] != '7'
        || std::string_view("89abAB").find(text[VariantIndex]) == std::string_view::npos)
        return {};
    const std::string digits = text.substr(0, 8) + text.substr(9, 4);
    std::int64_t milliseconds = 0;
    std::from_chars(digits.data(), digits.data() + digits.size(), milliseconds, 16);
    return WallTime(std::chrono::milliseconds(milliseconds));
}

} // namespace godwit
