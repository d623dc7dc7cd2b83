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

        SECTION("until they have started")
        {
            CHECK(queued.remove(LateUrgent));
            CHECK(queued.remove(Late));
            CHECK(queued.shareAhead(Usual) == 1);
            CHECK(queued.count() == 2);
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
        CHECK_FALSE(queued.remove(Usual));
        CHECK(queued.count() == 0);
    }
}

// Guards against a prediction by the requests that arrive: less urgent ones wait longer, so that
// they make up more of the queues.
TEST_CASE("PriorityMix follows the queued requests")
{
    PriorityMix mix;
    QueuedRequests queued;

    SECTION("without requests all others are assumed to be ahead")
    {
        mix.record(queued);
        CHECK(mix.shareAhead(Urgent) == 1);
    }
    SECTION("equal priorities")
    {
        for (int i = 0; i < 50; ++i) {
            queued.add(Usual);
            mix.record(queued);
        }
        CHECK(mix.shareAhead(Usual) == Approx(1));
        CHECK(mix.shareAhead(Late) == Approx(1));
        CHECK(mix.shareAhead(Urgent) == Approx(0));
    }
    SECTION("different priorities")
    {
        for (const QueuePosition &it : {Urgent, Usual, Usual, Late})
            queued.add(it);
        for (int i = 0; i < 300; ++i)
            mix.record(queued);
        CHECK(mix.shareAhead(Urgent) == Approx(0.25));
        CHECK(mix.shareAhead(Usual) == Approx(0.75));
        CHECK(mix.shareAhead(Late) == Approx(1));
        queued.remove(Urgent);
        for (int i = 0; i < 300; ++i)
            mix.record(queued);
        CHECK(mix.shareAhead(Urgent) == Approx(0).margin(0.01));
    }
}

TEST_CASE("AttemptMix")
{
    AttemptMix mix;
    CHECK(mix.shareOvertaking(Usual) == 0);

    SECTION("requests of equal priority do not overtake each other")
    {
        for (int i = 0; i < 100; ++i)
            mix.record(Usual);
        CHECK(mix.shareOvertaking(Usual) == 0);
        CHECK(mix.shareOvertaking({RequestUrgency::OnTime, 0}) == 0);
    }
    SECTION("more urgent ones do")
    {
        for (int i = 0; i < 500; ++i)
            mix.record(i % 4 == 0 ? Urgent : Usual);
        CHECK(mix.shareOvertaking(Usual) == Approx(0.25).margin(0.03));
        CHECK(mix.shareOvertaking(Late) == Approx(1));
    }
}
