#include "../src/gracefulstop.h"

#include "virtualscheduler.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    VirtualScheduler scheduler;
    std::size_t connections = 0;
    std::size_t requests = 0;
    bool isKeepingAlive = true;
    bool isAccepting = true;
    std::optional<std::size_t> stoppedWith;
    GracefulStop stop{scheduler,
                      {[this] { isKeepingAlive = false; }, [this] { isAccepting = false; },
                       [this] { return connections; }, [this] { return requests; },
                       [this](std::size_t left) { stoppedWith = left; }}};
};

} // namespace

// Guards against requests cut by the end of an entry process.
TEST_CASE("GracefulStop")
{
    Fixture it;

    SECTION("connections are accepted until the balancer has noticed")
    {
        it.stop.start(10s);
        CHECK_FALSE(it.isKeepingAlive);
        it.scheduler.advance(GracefulStop::BalancerNotice - 1ms);
        CHECK(it.isAccepting);
        CHECK_FALSE(it.stoppedWith);

        it.scheduler.advance(1ms);
        CHECK_FALSE(it.isAccepting);
        CHECK(it.stoppedWith == 0);
    }
    SECTION("requests in progress are answered first")
    {
        it.requests = 2;
        it.stop.start(10s);
        it.scheduler.advance(5s);
        CHECK_FALSE(it.stoppedWith);
        it.requests = 0;
        it.scheduler.advance(GracefulStop::Poll);
        CHECK(it.stoppedWith == 0);
    }
    // A connection that was opened just before the end had its request cut 90 ms later.
    SECTION("a connection without a request is awaited")
    {
        it.stop.start(10s);
        it.connections = 1;
        it.scheduler.advance(GracefulStop::BalancerNotice + 1s);
        CHECK_FALSE(it.stoppedWith);
        it.requests = 1;
        it.scheduler.advance(1s);
        it.requests = 0;
        it.scheduler.advance(GracefulStop::Poll);
        CHECK_FALSE(it.stoppedWith);

        it.connections = 0;
        it.scheduler.advance(GracefulStop::Poll);
        CHECK(it.stoppedWith == 0);
    }
    SECTION("the limit ends it and tells how many requests are left")
    {
        it.requests = 3;
        it.stop.start(10s);
        it.scheduler.advance(10s - GracefulStop::Poll);
        CHECK_FALSE(it.stoppedWith);
        it.scheduler.advance(2 * GracefulStop::Poll);
        CHECK(it.stoppedWith == 3);
    }
}
