#include <godwit/gateway/objectivetracker.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

// Pattern: above the capacity, requests with an objective of 400 ms kept the queues so long that
// those with 300 ms were served half as often.
TEST_CASE("ObjectiveMix")
{
    ObjectiveTracker tracker;

    SECTION("without requests nothing is short")
    {
        CHECK(tracker.shortest() == Duration::max());
    }
    SECTION("the shortest of several usual objectives counts")
    {
        for (int i = 0; i < 100; ++i) {
            tracker.recordRequest(400ms);
            tracker.recordRequest(300ms);
            tracker.recordRequest(400ms);
        }
        CHECK(tracker.shortest() == 300ms);

        SECTION("but not that of single requests")
        {
            tracker.recordRequest(10ms);
            tracker.recordRequest(10ms);
            CHECK(tracker.shortest() == 300ms);
        }
        SECTION("until it is no longer asked for")
        {
            for (int i = 0; i < 1000; ++i)
                tracker.recordRequest(400ms);
            CHECK(tracker.shortest() == 400ms);
        }
    }
}
