#include "tokenframe.h"

#include <godwit/base/random.h>

#include <catch2/catch.hpp>

#include <vector>

using namespace godwit;

namespace {

struct Token
{
    std::uint64_t position;
    std::string data;

    friend bool operator==(const Token &, const Token &) = default;
};

} // namespace

TEST_CASE("Token frames")
{
    std::vector<Token> sent;
    std::string bytes;
    for (std::uint64_t i = 0; i < 50; ++i) {
        sent.push_back({i, std::string(i * 7 % 31, 'a')});
        appendFrame(bytes, {i, sent.back().data});
    }

    // Guards against frames that are lost or merged when a read ends within a frame.
    SECTION("frames survive any split of the byte stream")
    {
        const auto seed = GENERATE(1U, 2U, 3U, 4U, 5U);
        Random random(seed);
        TokenFrameReader reader;
        std::vector<Token> received;
        for (std::size_t at = 0; at < bytes.size();) {
            const std::size_t n = 1 + random.below(20);
            CHECK(reader.feed(std::string_view(bytes).substr(at, n), [&](const TokenFrame &it) {
                received.push_back({it.position, std::string(it.data)});
            }));
            at += n;
        }
        CHECK(received == sent);
        CHECK(reader.atBoundary());
    }

    // Guards against excessive memory use caused by a false length from a peer.
    SECTION("a frame with an excessive length ends the stream")
    {
        TokenFrameReader reader;
        CHECK_FALSE(reader.feed(std::string(12, '\xff'), [](const TokenFrame &) {}));
    }
}
