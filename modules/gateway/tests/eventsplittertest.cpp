#include <godwit/gateway/eventsplitter.h>

#include <godwit/base/random.h>

#include <catch2/catch.hpp>

using namespace godwit;

TEST_CASE("EventSplitter")
{
    EventSplitter splitter;

    SECTION("returns complete events only, so that a broken stream ends between two events")
    {
        CHECK(splitter.feed("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
        CHECK(splitter.hasPartialEvent());
        CHECK(splitter.lastId() == "1");
        CHECK(splitter.feed("ta: b\n\n") == "id: 2\ndata: b\n\n");
        CHECK_FALSE(splitter.hasPartialEvent());
    }
    SECTION("drops events that another backend server repeats when it resumes the stream")
    {
        splitter.feed("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda");
        splitter.discardPartialEvent();
        CHECK(splitter.feed("id: 2\ndata: b\n\nid: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
    }
    SECTION("accepts CRLF line endings")
    {
        CHECK(splitter.feed("id: 7\r\ndata: a\r\n\r\n") == "id: 7\r\ndata: a\r\n\r\n");
        CHECK(splitter.lastId() == "7");
    }
    SECTION("returns events without an id")
    {
        CHECK(splitter.feed("data: a\n\n") == "data: a\n\n");
        CHECK_FALSE(splitter.lastId());
    }
    SECTION("detects an event that exceeds the size limit")
    {
        splitter.feed(std::string(EventSplitter::MaxEventBytes + 1, 'x'));
        CHECK(splitter.isEventTooLarge());
    }
}

TEST_CASE("EventSplitter output does not depend on how the input is split")
{
    Random random(7);
    for (int run = 0; run < 500; ++run) {
        std::string stream;
        for (int i = 1; i <= 12; ++i)
            stream += "id: " + std::to_string(i) + "\ndata: " + std::string(random.below(9), 'd')
                      + (random.chance(0.5) ? "\r\n\r\n" : "\n\n");
        EventSplitter splitter;
        std::string out;
        for (std::size_t at = 0; at < stream.size();) {
            const std::size_t n = std::min<std::size_t>(1 + random.below(7), stream.size() - at);
            out += splitter.feed(std::string_view(stream).substr(at, n));
            at += n;
        }
        REQUIRE(out == stream);
    }
}
