#include <godwit/weights/manifest.h>

#include <algorithm>
#include <string>

namespace godwit {

namespace {

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.'
           || c == '_' || c == '-' || c == ':' || c == '/';
}

Result<void> checkName(const char *field, const std::string &name, bool required)
{
    if (name.empty() && !required)
        return {};
    if (name.empty() || name.size() > ManifestLimits::NameLength)
        return fail(ResultCode::ManifestNameInvalid,
                    std::string(field) + " must have 1 to "
                            + std::to_string(ManifestLimits::NameLength) + " characters");
    if (!std::ranges::all_of(name, isNameCharacter))
        return fail(ResultCode::ManifestNameInvalid,
                    std::string(field) + " may only contain letters, digits and ._-:/");
    return {};
}

Result<void> checkNames(const Manifest &manifest)
{
    BOOST_LEAF_CHECK(checkName("deployment", manifest.deployment.value(), true));
    BOOST_LEAF_CHECK(checkName("model", manifest.model.value(), true));
    BOOST_LEAF_CHECK(checkName("version", manifest.version.value(), true));
    BOOST_LEAF_CHECK(checkName("adapter", manifest.adapter.value(), false));
    BOOST_LEAF_CHECK(checkName("base_version", manifest.baseVersion.value(), false));
    if (manifest.isAdapter() == manifest.baseVersion.empty())
        return fail(ResultCode::ManifestNameInvalid,
                    "base_version is required for an adapter and only for an adapter");
    return {};
}

Result<void> checkSizes(const Manifest &manifest)
{
    if (manifest.chunkBytes < ManifestLimits::MinChunkBytes
        || manifest.chunkBytes > ManifestLimits::MaxChunkBytes)
        return fail(ResultCode::ManifestSizesInvalid,
                    "chunk_bytes out of range: " + std::to_string(manifest.chunkBytes));
    if (manifest.chunks.empty() || manifest.chunks.size() > ManifestLimits::Chunks)
        return fail(ResultCode::ManifestSizesInvalid,
                    "number of chunks out of range: " + std::to_string(manifest.chunks.size())
                            + " chunks");
    const std::uint64_t before =
            static_cast<std::uint64_t>(manifest.chunkBytes) * (manifest.chunks.size() - 1);
    if (manifest.totalBytes <= before || manifest.totalBytes > before + manifest.chunkBytes)
        return fail(ResultCode::ManifestSizesInvalid,
                    "total_bytes does not match the number of chunks");
    return {};
}

/// Chunks with equal bytes have equal digests, but bytes of different sizes cannot. Only the last
/// chunk may have another size.
Result<void> checkLastDigest(const Manifest &manifest)
{
    const auto last = std::prev(manifest.chunks.end());
    const bool isShorter = manifest.chunkSize(manifest.chunkCount() - 1) < manifest.chunkBytes;
    if (isShorter && std::find(manifest.chunks.begin(), last, *last) != last)
        return fail(ResultCode::ManifestDuplicateChunk,
                    "chunks of different sizes with the digest " + last->toHex());
    return {};
}

} // namespace

std::uint32_t Manifest::chunkSize(ChunkIndex index) const
{
    if (index + 1 < chunks.size())
        return chunkBytes;
    return static_cast<std::uint32_t>(totalBytes - static_cast<std::uint64_t>(chunkBytes) * index);
}

Digest Manifest::digest() const
{
    // Names cannot contain a line feed, so the text is unambiguous. It does not depend on the JSON
    // encoding, to which later versions may add fields.
    std::string text = "godwit-manifest-1\n";
    for (const std::string &part :
         {deployment.value(), model.value(), adapter.value(), version.value(), baseVersion.value(),
          std::to_string(totalBytes), std::to_string(chunkBytes), content.toHex()})
        text += part + '\n';
    for (const Digest &chunk : chunks)
        text += chunk.toHex() + '\n';
    return Digest::of(text);
}

Result<void> validate(const Manifest &manifest)
{
    BOOST_LEAF_CHECK(checkNames(manifest));
    BOOST_LEAF_CHECK(checkSizes(manifest));
    return checkLastDigest(manifest);
}

Result<Manifest> parseManifest(std::string_view text)
{
    if (text.size() > ManifestLimits::TextBytes)
        return fail(ResultCode::ManifestTooLarge,
                    "manifest too large: " + std::to_string(text.size()) + " bytes");
    BOOST_LEAF_AUTO(manifest, parseJson<Manifest>(text));
    BOOST_LEAF_CHECK(validate(manifest));
    return manifest;
}

} // namespace godwit
