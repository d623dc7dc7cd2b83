#include <godwit/weights/haveupdate.h>
#include <godwit/weights/manifest.h>

#include <catch2/catch.hpp>

#include <functional>

using namespace godwit;

namespace {

Manifest sampleManifest()
{
    Manifest manifest{DeploymentId("desk"), ModelId("m"), {}, VersionId("v1"), {}, 2500, 1024, {}};
    for (int i = 0; i < 3; ++i)
        manifest.chunks.push_back(Digest::of(std::to_string(i)));
    return manifest;
}

ResultCode codeOf(const std::string &text)
{
    const auto outcome = capture([&] { return parseManifest(text); });
    return succeeded(outcome) ? ResultCode::Ok : std::get<Error>(outcome).code;
}

} // namespace

TEST_CASE("Manifest")
{
    SECTION("encoding and parsing preserve a valid manifest and its digest")
    {
        const Manifest manifest = sampleManifest();
        const auto outcome = capture([&] { return parseManifest(toJsonText(manifest)); });
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome) == manifest);
        CHECK(std::get<0>(outcome).digest() == manifest.digest());
        CHECK(manifest.chunkSize(2) == 452);
    }

    // Guards against two different manifests with the same transfer id.
    SECTION("the digest depends on every field")
    {
        const auto change = GENERATE(
                as<std::function<void(Manifest &)>>{},
                [](Manifest &m) { m.deployment = DeploymentId("x"); },
                [](Manifest &m) { m.version = VersionId("x"); },
                [](Manifest &m) { m.adapter = AdapterId("x"); },
                [](Manifest &m) { m.baseVersion = VersionId("x"); },
                [](Manifest &m) { m.totalBytes = 2501; },
                [](Manifest &m) { std::swap(m.chunks[0], m.chunks[1]); });
        Manifest manifest = sampleManifest();
        change(manifest);
        CHECK(manifest.digest() != sampleManifest().digest());
    }

    // Guards against excessive memory use and malformed names from a hostile or broken publisher.
    SECTION("invalid manifests are refused")
    {
        struct Row
        {
            ResultCode code;
            std::function<void(Manifest &)> change;
        };
        const auto row = GENERATE(values<Row>({
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.chunkBytes = 0; }},
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.chunkBytes = 1U << 31; }},
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.totalBytes = 0; }},
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.totalBytes = ~0ULL; }},
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.totalBytes = 2048; }},
                {ResultCode::ManifestSizesInvalid, [](Manifest &m) { m.chunks.clear(); }},
                {ResultCode::ManifestDuplicateChunk,
                 [](Manifest &m) { m.chunks[2] = m.chunks[0]; }},
                {ResultCode::ManifestNameInvalid, [](Manifest &m) { m.model = ModelId(); }},
                {ResultCode::ManifestNameInvalid,
                 [](Manifest &m) { m.model = ModelId(std::string(129, 'a')); }},
                {ResultCode::ManifestNameInvalid,
                 [](Manifest &m) { m.version = VersionId("a\n"); }},
                {ResultCode::ManifestNameInvalid, [](Manifest &m) { m.adapter = AdapterId("a"); }},
                {ResultCode::ManifestNameInvalid,
                 [](Manifest &m) { m.baseVersion = VersionId("a"); }},
        }));
        Manifest manifest = sampleManifest();
        row.change(manifest);
        CHECK(codeOf(toJsonText(manifest)) == row.code);
    }

    // Guards against weights with padding that no host loads. The row above stays: the last chunk
    // is shorter, so its bytes cannot be those of another one.
    SECTION("equal chunks of the same size are valid")
    {
        Manifest manifest = sampleManifest();
        manifest.chunks[1] = manifest.chunks[0];
        CHECK(codeOf(toJsonText(manifest)) == ResultCode::Ok);
        manifest.totalBytes = 3UL * manifest.chunkBytes;
        manifest.chunks[2] = manifest.chunks[0];
        CHECK(codeOf(toJsonText(manifest)) == ResultCode::Ok);
    }

    SECTION("a text above the limit is refused before it is parsed")
    {
        CHECK(codeOf(std::string(ManifestLimits::TextBytes + 1, '['))
              == ResultCode::ManifestTooLarge);
    }
}

// Guards against out-of-range chunk indexes in updates from the wire.
TEST_CASE("Have updates")
{
    ChunkSet chunks(70);
    for (const ChunkIndex chunk : {0U, 5U, 63U, 64U, 69U})
        chunks.insert(chunk);
    const auto decoded = capture([&] { return decodeBitmap(encodeBitmap(chunks), 70); });
    REQUIRE(succeeded(decoded));
    CHECK(std::get<0>(decoded) == chunks);

    const auto bad = GENERATE(std::string(), std::string(17, '0'), std::string(17, '0') + "g",
                              std::string(17, '0') + "8", std::string(19, '0'));
    CHECK_FALSE(succeeded(capture([&] { return decodeBitmap(bad, 70); })));
    CHECK_FALSE(succeeded(capture([] { return parseHaveUpdate(R"({"added":[70000]})"); })));
}
