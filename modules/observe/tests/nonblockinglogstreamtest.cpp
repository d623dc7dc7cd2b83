#include <godwit/observe/nonblockinglogstream.h>

#include <catch2/catch.hpp>

#include <string>

#include <fcntl.h>
#include <unistd.h>

using namespace godwit;

TEST_CASE("NonBlockingLogStream does not block when the pipe is full")
{
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    NonBlockingLogStream log(ends[1]);
    const std::string line(1000, 'x');

    SECTION("lines are written while the pipe has room")
    {
        log << line << '\n' << std::flush;
        std::string read(line.size() + 1, ' ');
        REQUIRE(::read(ends[0], read.data(), read.size()) == static_cast<ssize_t>(read.size()));
        CHECK(read == line + '\n');
        CHECK(log.droppedLines() == 0);
    }
    SECTION("lines are dropped and counted while the pipe is full")
    {
        for (int i = 0; i < 1000; ++i)
            log << line << '\n' << std::flush;
        CHECK(log.droppedLines() > 800);
        // After the reader has emptied the pipe, lines are written again.
        std::string all(1 << 20, ' ');
        REQUIRE(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
        while (::read(ends[0], all.data(), all.size()) > 0) {
        }
        const auto dropped = log.droppedLines();
        log << line << '\n' << std::flush;
        CHECK(log.droppedLines() == dropped);
    }
    close(ends[0]);
    close(ends[1]);
}
