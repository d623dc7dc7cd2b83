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
    std::optional<ShutdownTimes> times;
    bool isRejecting = false;
    std::optional<std::size_t> stoppedWith;
    GracefulStop stop{scheduler,
                      {[this](const ShutdownTimes &given) { times = given; },
                       [this] { isKeepingAlive = false; }, [this] { isAccepting = false; },
                       [this] { isRejecting = true; }, [this] { return connections; },
                       [this] { return requests; },
                       [this](std::size_t left) { stoppedWith = left; }}};
};

} // namespace

// Guards against requests being cut off when an entry process stops.
TEST_CASE("GracefulStop")
{
    Fixture it;

    SECTION("connections are accepted until the load balancer has taken the process out of "
            "rotation")
    {
        it.stop.start(10s);
        CHECK_FALSE(it.isKeepingAlive);
        it.scheduler.advance(GracefulStop::DeregistrationDelay - 1ms);
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
        it.scheduler.advance(GracefulStop::PollInterval);
        CHECK(it.stoppedWith == 0);
    }
    // A connection opened just before the process stopped had its request cut off 90 ms later.
    SECTION("connections without a request must close first")
    {
        it.stop.start(10s);
        it.connections = 1;
        it.scheduler.advance(GracefulStop::DeregistrationDelay + 1s);
        CHECK_FALSE(it.stoppedWith);
        it.requests = 1;
        it.scheduler.advance(1s);
        it.requests = 0;
        it.scheduler.advance(GracefulStop::PollInterval);
        CHECK_FALSE(it.stoppedWith);

        it.connections = 0;
        it.scheduler.advance(GracefulStop::PollInterval);
        CHECK(it.stoppedWith == 0);
    }
    // A request that was forwarded late was cut off without an answer at the end.
    SECTION("answers are due before the end, with time to write them")
    {
        const TimePoint begin = it.scheduler.now();
        it.stop.start(10s);
        REQUIRE(it.times);
        CHECK(it.times->answerBy == begin + 10s - GracefulStop::AnswerMargin);
        CHECK(it.times->lateFrom < begin + GracefulStop::DeregistrationDelay);
    }
    // A request whose body arrived slowly was cut off without an answer at the end.
    SECTION("requests that are still arriving by then are rejected")
    {
        it.stop.start(10s);
        it.connections = 1;
        it.scheduler.advance(10s - GracefulStop::AnswerMargin - 1ms);
        CHECK_FALSE(it.isRejecting);
        it.scheduler.advance(1ms);
        CHECK(it.isRejecting);
        CHECK_FALSE(it.stoppedWith);
    }
    // A process with a shorter grace period was killed with its requests unanswered.
    SECTION("also if it is shorter than the time until the load balancer sends nothing more")
    {
        const TimePoint begin = it.scheduler.now();
        it.requests = 1;
        it.stop.start(2s);
        CHECK(it.times->lateFrom <= it.times->answerBy);
        CHECK(it.times->answerBy < begin + 2s);
        it.scheduler.advance(2s);
        CHECK_FALSE(it.isAccepting);
        CHECK(it.stoppedWith == 1);
    }
    SECTION("the time limit ends it and the number of unanswered requests is reported")
    {
        it.requests = 3;
        it.stop.start(10s);
        it.scheduler.advance(10s - GracefulStop::PollInterval);
        CHECK_FALSE(it.stoppedWith);
        it.scheduler.advance(2 * GracefulStop::PollInterval);
        CHECK(it.stoppedWith == 3);
    }
}
