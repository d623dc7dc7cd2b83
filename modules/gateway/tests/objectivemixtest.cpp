#include <godwit/gateway/objectivemix.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

// Pattern: above the capacity, requests with an objective of 400 ms kept the queues so long that
// those with 300 ms were served half as often.
TEST_CASE("ObjectiveMix")
{
    ObjectiveMix mix;

    SECTION("without requests nothing is short")
    {
        CHECK(mix.shortest() == Duration::max());
    }
    SECTION("the shortest of several usual objectives counts")
    {
        for (int i = 0; i < 100; ++i) {
            mix.requested(400ms);
            mix.requested(300ms);
            mix.requested(400ms);
        }
        CHECK(mix.shortest() == 300ms);

        SECTION("but not that of single requests")
        {
            mix.requested(10ms);
            mix.requested(10ms);
            CHECK(mix.shortest() == 300ms);
        }
        SECTION("until it is no longer asked for")
        {
            for (int i = 0; i < 1000; ++i)
                mix.requested(400ms);
            CHECK(mix.shortest() == 400ms);
        }
    }
}
