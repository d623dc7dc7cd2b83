#include <godwit/gateway/queueposition.h>

#include <catch2/catch.hpp>

using namespace godwit;

namespace {

constexpr QueuePosition Urgent{RequestUrgency::OnTime, 2};
constexpr QueuePosition Usual{RequestUrgency::OnTime};
constexpr QueuePosition LateUrgent{RequestUrgency::Late, 2};
constexpr QueuePosition Late{RequestUrgency::Late};

} // namespace

// Guards against a late request that is sent with a priority at which it delays those in time.
TEST_CASE("QueuePosition of late requests")
{
    CHECK(Usual.effectivePriority() == 5);
    CHECK(Late.effectivePriority() == 7);
    CHECK(LateUrgent.effectivePriority() == 6);
    CHECK(QueuePosition(RequestUrgency::Late, 9).effectivePriority() == 9);
}

// Guards against a prediction that counts requests which the engine admits later: urgent requests
// were refused because of less urgent ones in the queue.
TEST_CASE("QueuedRequests counts those that are admitted before")
{
    QueuedRequests queued;

    SECTION("an empty queue says nothing of the queues of others")
    {
        CHECK(queued.shareAhead(Usual) == 1);
        CHECK(queued.shareOnTime() == 1);
    }
    SECTION("requests of equal priority and all in time")
    {
        queued.add(Usual);
        queued.add(Usual);
        CHECK(queued.shareAhead(Usual) == 1);
        CHECK(queued.shareAhead(Urgent) == 0);
        CHECK(queued.shareAhead(Late) == 1);
    }
    SECTION("mixed")
    {
        queued.add(Urgent);
        queued.add(Usual);
        queued.add(LateUrgent);
        queued.add(Late);
        CHECK(queued.shareAhead(Urgent) == 0.25);
        CHECK(queued.shareAhead(Usual) == 0.5);
        CHECK(queued.shareAhead(LateUrgent) == 0.75);
        CHECK(queued.shareAhead(Late) == 1);
        CHECK(queued.shareOnTime() == 0.5);

        SECTION("until they have started")
        {
            queued.remove(LateUrgent);
            queued.remove(Late);
            CHECK(queued.shareAhead(Usual) == 1);
            CHECK(queued.count() == 2);
            CHECK(queued.lateCount() == 0);
        }
    }
    SECTION("a priority beyond the range is the least urgent one")
    {
        queued.add({RequestUrgency::OnTime, 1000});
        CHECK(queued.shareAhead(Usual) == 0);
        CHECK(queued.shareAhead({RequestUrgency::OnTime, 9}) == 1);
    }
    SECTION("a request that was not added is not removed")
    {
        queued.remove(Usual);
        CHECK(queued.count() == 0);
    }
}

TEST_CASE("PriorityMix")
{
    PriorityMix mix;

    SECTION("without requests all others are assumed to be ahead")
    {
        CHECK(mix.shareAhead(Urgent) == 1);
    }
    // With equal priorities the prediction must not depend on how many requests were late.
    SECTION("equal priorities")
    {
        for (int i = 0; i < 50; ++i) {
            mix.record(Usual);
            mix.record(Late);
        }
        CHECK(mix.shareAhead(Usual) == Approx(1));
        CHECK(mix.shareAhead(Late) == Approx(1));
    }
    SECTION("follows the recent requests")
    {
        for (int i = 0; i < 500; ++i)
            mix.record(i % 4 == 0 ? Urgent : Usual);
        CHECK(mix.shareAhead(Urgent) == Approx(0.25).margin(0.03));
        CHECK(mix.shareAhead(Usual) == Approx(1));
        for (int i = 0; i < 500; ++i)
            mix.record(Urgent);
        CHECK(mix.shareAhead(Urgent) > 0.99);
    }
}
