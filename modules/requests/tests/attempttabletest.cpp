#include <godwit/requests/attempttable.h>
#include <godwit/requests/peerclock.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(100s);
const AttemptKey Key{RequestId("r"), AttemptId{1}};
const AttemptTerms Terms{Incarnation{3}, Start + 10s};

} // namespace

TEST_CASE("AttemptTable")
{
    AttemptTable table(Incarnation{3}, {.maxEntries = 2, .maxLifetime = 60s});

    // A delayed copy of a withdrawn attempt must not run after NotRun was reported.
    SECTION("a withdrawn attempt is refused, whether or not a copy arrived before the withdrawal")
    {
        if (GENERATE(true, false))
            REQUIRE(table.receive(Key, Terms, Start));
        CHECK(table.withdraw(Key, Terms, Start) == AttemptTable::Status{});
        const auto late = GENERATE(0s, 5s, 11s, 39s);
        const auto status = table.receive(Key, Terms, Start + late);
        CHECK_FALSE(status);
        CHECK(status.state == RunState::NotRun);
        CHECK_FALSE(table.dispatch(Key, Start + late));
    }

    // A copy must not be accepted because the entry of the attempt was evicted.
    SECTION("a copy that arrives after its entry was evicted is refused with Unknown")
    {
        REQUIRE(table.receive(Key, Terms, Start));
        REQUIRE(table.dispatch(Key, Start));
        table.finish(Key, RunState::Ran, Start + 1s);
        CHECK(table.receive(Key, Terms, Start + 41s)
              == AttemptTable::Status{ResultCode::AttemptExpired, RunState::Unknown});
        CHECK(table.size() == 0);
    }

    // The refusal of a second copy must not report NotRun for the attempt.
    SECTION("a duplicate is refused with Unknown while the first copy is in progress")
    {
        REQUIRE(table.receive(Key, Terms, Start));
        CHECK(table.receive(Key, Terms, Start).state == RunState::Unknown);
        REQUIRE(table.dispatch(Key, Start));
        CHECK(table.withdraw(Key, Terms, Start)
              == AttemptTable::Status{ResultCode::AttemptInProgress, RunState::Unknown});
        CHECK(table.inProgress().size() == 1);
        table.finish(Key, RunState::Ran, Start);
        CHECK(table.withdraw(Key, Terms, Start).state == RunState::Ran);
        CHECK(table.inProgress().empty());
    }

    // An attempt that waited beyond startBefore must not start, because a late withdrawal is
    // answered from the age alone.
    SECTION("an attempt is not dispatched after startBefore")
    {
        REQUIRE(table.receive(Key, Terms, Start));
        CHECK(table.dispatch(Key, Start + 10s)
              == AttemptTable::Status{ResultCode::AttemptExpired, RunState::NotRun});
    }

    // A process cannot prove anything about an attempt sent to an earlier process.
    SECTION("an attempt for another process is refused with Unknown")
    {
        const AttemptTerms other{Incarnation{2}, Terms.startBefore};
        CHECK(table.receive(Key, other, Start).state == RunState::Unknown);
        CHECK(table.withdraw(Key, other, Start).state == RunState::Unknown);
    }

    // A later copy of an attempt that was refused with NotRun must not be accepted when the table
    // has space again.
    SECTION("a full table refuses new attempts and later copies of them")
    {
        for (const char *name : {"a", "b"})
            REQUIRE(table.receive({RequestId(name), AttemptId{1}}, {Incarnation{3}, Start + 1s},
                                  Start));
        const AttemptTerms refused{Incarnation{3}, Start + 50s};
        CHECK(table.receive(Key, refused, Start)
              == AttemptTable::Status{ResultCode::AttemptTableFull, RunState::NotRun});
        for (const char *name : {"a", "b"})
            table.withdraw({RequestId(name), AttemptId{1}}, {Incarnation{3}, Start + 1s}, Start);
        CHECK_FALSE(table.receive(Key, refused, Start + 32s));
        CHECK(table.size() == 0);
        CHECK(table.receive({RequestId("new"), AttemptId{1}}, {Incarnation{3}, Start + 51s},
                            Start + 32s));
    }

    SECTION("terms that are too far ahead are refused")
    {
        CHECK(table.receive(Key, {Incarnation{3}, Start + 61s}, Start).code
              == ResultCode::AttemptTermsInvalid);
    }
}

// A single delayed message must not produce terms that are already in the past.
TEST_CASE("PeerClock keeps the tightest bound for the current process")
{
    PeerClock clock;
    CHECK_FALSE(clock.makeTerms(1s, Start));
    clock.recordMessage(Incarnation{2}, TimePoint(5s), Start);
    clock.recordMessage(Incarnation{2}, TimePoint(6s), Start + 4s);
    clock.recordMessage(Incarnation{1}, TimePoint(50s), Start + 4s);
    CHECK(clock.makeTerms(1s, Start + 10s) == AttemptTerms{Incarnation{2}, TimePoint(16s)});
}
