#include <godwit/gateway/availabilitytracker.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

TEST_CASE("AvailabilityTracker remembers which instances want no requests")
{
    TimePoint now{std::chrono::hours(1)};
    AvailabilityTracker tracker(Random(4));
    const BackendInstance first{BackendId("e1"), 1};
    const BackendInstance successor{BackendId("e1"), 2};

    // Guards against an instance that is used again although it still drains.
    SECTION("one that leaves never becomes available again")
    {
        CHECK(tracker.recordLeaving(first, now));
        CHECK_FALSE(tracker.recordLeaving(first, now));
        now += 24h;
        CHECK(tracker.find(first, now)
              == Unavailability{UnavailabilityReason::Leaving, std::nullopt});
    }
    // Guards against a new process that gets nothing because of what an earlier one has stated.
    SECTION("a process that starts later under the same id is not affected")
    {
        tracker.recordLeaving(first, now);
        tracker.recordRetryAfter(first, 10s, now);
        CHECK_FALSE(tracker.find(successor, now));
    }
    SECTION("one with a retry time is paused until it is over, and not for much longer")
    {
        CHECK(tracker.recordRetryAfter(first, 4s, now));
        CHECK(tracker.find(first, now + 4s)->reason == UnavailabilityReason::Paused);
        CHECK_FALSE(tracker.find(first, now + 5s));
    }
    // Guards against a late response that ends a pause early.
    SECTION("a shorter retry time does not end a longer one")
    {
        tracker.recordRetryAfter(first, 4s, now);
        CHECK_FALSE(tracker.recordRetryAfter(first, 100ms, now + 1s));
        CHECK(tracker.find(first, now + 4s));
    }
    SECTION("a retry time of zero causes no pause")
    {
        CHECK_FALSE(tracker.recordRetryAfter(first, 0s, now));
        CHECK_FALSE(tracker.find(first, now));
        CHECK(tracker.size() == 0);
    }
    SECTION("a retry time does not make a leaving one available")
    {
        tracker.recordLeaving(first, now);
        CHECK_FALSE(tracker.recordRetryAfter(first, 1s, now));
        CHECK(tracker.find(first, now + 1h));
    }
    // Guards against all processes that were turned away together returning together.
    SECTION("processes return at different times")
    {
        int early = 0;
        int late = 0;
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            AvailabilityTracker other{Random(seed)};
            other.recordRetryAfter(first, 4s, now);
            early += !other.find(first, now + 4250ms);
            late += other.find(first, now + 4750ms).has_value();
        }
        CHECK(early > 10);
        CHECK(late > 10);
    }
}

// Guards against memory that grows with each instance that has ever left.
TEST_CASE("AvailabilityTracker remembers a bounded number of instances")
{
    const TimePoint now{std::chrono::hours(1)};
    AvailabilityTracker tracker(Random(4));
    const auto instance = [](std::size_t i) {
        return BackendInstance{BackendId("e" + std::to_string(i)), 1};
    };
    tracker.recordRetryAfter(instance(0), 1s, now);
    for (std::size_t i = 1; i < AvailabilityTracker::MaxInstances; ++i)
        tracker.recordLeaving(instance(i), now + i * 1ms);
    const TimePoint later = now + 1h;

    SECTION("and forgets pauses that are over first")
    {
        tracker.recordLeaving(instance(9999), later);
        CHECK(tracker.size() == AvailabilityTracker::MaxInstances);
        CHECK(tracker.find(instance(1), later));
        CHECK(tracker.find(instance(9999), later));
    }
    SECTION("then those that stated something the longest time ago")
    {
        tracker.recordLeaving(instance(1), later);
        tracker.recordLeaving(instance(9998), later);
        tracker.recordLeaving(instance(9999), later);
        CHECK(tracker.size() == AvailabilityTracker::MaxInstances);
        CHECK(tracker.find(instance(1), later));
        CHECK_FALSE(tracker.find(instance(2), later));
        CHECK(tracker.find(instance(3), later));
    }
}
