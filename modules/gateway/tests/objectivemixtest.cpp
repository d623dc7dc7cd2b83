#include <godwit/gateway/objectivetracker.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

// Guards against queues that are limited by a long objective: above the capacity, requests with an
// objective of 400 ms kept them so long that those with 300 ms were served half as often.
TEST_CASE("ObjectiveMix")
{
    ObjectiveTracker tracker;

    SECTION("without requests there is no limit")
    {
        CHECK(tracker.shortest() == Duration::max());
    }
    SECTION("the shortest of several common objectives is returned")
    {
        for (int i = 0; i < 100; ++i) {
            tracker.recordRequest(400ms);
            tracker.recordRequest(300ms);
            tracker.recordRequest(400ms);
        }
        CHECK(tracker.shortest() == 300ms);

        SECTION("but not that of single requests with an unusual objective")
        {
            tracker.recordRequest(10ms);
            tracker.recordRequest(10ms);
            CHECK(tracker.shortest() == 300ms);
        }
        SECTION("until requests with it have stopped")
        {
            for (int i = 0; i < 1000; ++i)
                tracker.recordRequest(400ms);
            CHECK(tracker.shortest() == 400ms);
        }
    }
}
