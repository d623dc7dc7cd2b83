#include <godwit/weights/haveupdate.h>

#include <algorithm>

namespace godwit {

namespace {

// The bitmap of the largest manifest takes 16 KB, lists of all its chunks 1 MB.
constexpr std::size_t MaxTextBytes = 2U << 20;

int hexValue(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return -1;
}

bool inRange(const std::vector<ChunkIndex> &chunks)
{
    return chunks.size() <= ManifestLimits::Chunks
           && std::ranges::all_of(chunks, [](ChunkIndex c) { return c < ManifestLimits::Chunks; });
}

} // namespace

std::string encodeBitmap(const ChunkSet &chunks)
{
    std::string text((chunks.size() + 3) / 4, '0');
    for (std::size_t i = 0; i < text.size(); ++i)
        text[i] = "0123456789abcdef"[chunks.word(i / 16) >> (4 * (i % 16)) & 15];
    return text;
}

Result<ChunkSet> decodeBitmap(std::string_view text, ChunkIndex size)
{
    if (text.size() != (static_cast<std::size_t>(size) + 3) / 4)
        return fail(ResultCode::HaveUpdateInvalid,
                    "wrong bitmap length: " + std::to_string(text.size()) + " digits");
    ChunkSet chunks(size);
    for (std::size_t i = 0; i < text.size(); ++i) {
        const int value = hexValue(text[i]);
        for (int bit = 0; bit < 4; ++bit) {
            if (value < 0
                || (value >> bit & 1 && !chunks.insert(static_cast<ChunkIndex>(4 * i + bit))))
                return fail(ResultCode::HaveUpdateInvalid,
                            "invalid bitmap digit at position " + std::to_string(i));
        }
    }
    return chunks;
}

Result<HaveUpdate> parseHaveUpdate(std::string_view text)
{
    if (text.size() > MaxTextBytes)
        return fail(ResultCode::HaveUpdateInvalid,
                    "update too large: " + std::to_string(text.size()) + " bytes");
    BOOST_LEAF_AUTO(update, parseJson<HaveUpdate>(text));
    if (!inRange(update.added) || !inRange(update.removed)
        || update.bitmap.size() > ManifestLimits::Chunks / 4)
        return fail(ResultCode::HaveUpdateInvalid, "update has chunk indexes out of range");
    return update;
}

} // namespace godwit
