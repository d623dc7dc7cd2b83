#include <godwit/requests/requesttracker.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const Pin Pinned{ModelId("m"), AdapterId("a"), VersionId("v1")};
const Pin Other{ModelId("m"), AdapterId("a"), VersionId("v2")};
constexpr TimePoint Deadline(60s);

RequestTracker::Spec spec()
{
    return {RequestId("r"), Pinned, true, false, true, Deadline};
}

} // namespace

TEST_CASE("RequestTracker")
{
    RequestTracker tracker(spec());
    const auto first = tracker.startAttempt().key;

    SECTION("a complete stream gives the final response once")
    {
        CHECK(tracker.handleChunk(first, Pinned, 0, "abc").deliver == "abc");
        const auto done = tracker.handleReply(first, Pinned, ResultCode::Ok, RunState::Ran, 3);
        REQUIRE(done.final);
        CHECK(done.final->code == ResultCode::Ok);
        // A late or repeated reply must not produce a second final response.
        CHECK_FALSE(tracker.handleReply(first, Pinned, ResultCode::Ok, RunState::Ran, 3).final);
        CHECK_FALSE(tracker.tick(Deadline).final);
        CHECK_FALSE(tracker.cancel().final);
    }

    // Bytes that arrive twice or out of order must not reach the caller.
    SECTION("repeated bytes are dropped and a gap breaks the stream")
    {
        tracker.handleChunk(first, Pinned, 0, "abc");
        CHECK(tracker.handleChunk(first, Pinned, 0, "abc").deliver.empty());
        CHECK(tracker.handleChunk(first, Pinned, 2, "cd").deliver == "d");
        const auto gap = tracker.handleChunk(first, Pinned, 5, "f");
        CHECK(gap.deliver.empty());
        CHECK(gap.mayRetry);
    }

    // A response must not contain bytes of two versions.
    SECTION("bytes of another version are never delivered")
    {
        tracker.handleChunk(first, Pinned, 0, "abc");
        const auto mixed = tracker.handleChunk(first, Other, 3, "d");
        CHECK(mixed.deliver.empty());
        CHECK(mixed.mayRetry);
        CHECK(tracker.handleChunk(first, Pinned, 3, "d").deliver.empty());
    }

    SECTION("a stream is resumed at its position by a new attempt")
    {
        tracker.handleChunk(first, Pinned, 0, "abc");
        const auto lost = tracker.handleSilence(first);
        REQUIRE(lost.mayRetry);
        CHECK(lost.withdraw == std::vector{first});
        const auto second = tracker.startAttempt();
        CHECK(second.resumeAt == 3);
        CHECK(tracker.handleChunk(second.key, Pinned, 3, "de").deliver == "de");
        // Bytes of the first attempt that arrive after the resumption must not be mixed in.
        CHECK(tracker.handleChunk(first, Pinned, 3, "XYZ").deliver.empty());
        CHECK(tracker.handleReply(second.key, Pinned, ResultCode::Ok, RunState::Ran, 5).final);
    }

    // Only one of two hedged attempts may contribute bytes.
    SECTION("the response is taken from the first attempt that delivers and the other is withdrawn")
    {
        const auto hedge = tracker.startAttempt().key;
        CHECK(tracker.handleChunk(hedge, Pinned, 0, "h").withdraw == std::vector{first});
        CHECK(tracker.handleChunk(first, Pinned, 0, "fff").deliver.empty());
        CHECK_FALSE(tracker.handleReply(first, Pinned, ResultCode::Ok, RunState::Ran, 3).final);
        CHECK(tracker.handleReply(hedge, Pinned, ResultCode::Ok, RunState::Ran, 1).final);
    }

    SECTION("a reply to another request is ignored")
    {
        const AttemptKey crossed{RequestId("x"), AttemptId{1}};
        CHECK(tracker.handleChunk(crossed, Pinned, 0, "abc").deliver.empty());
        CHECK_FALSE(tracker.handleReply(crossed, Pinned, ResultCode::Ok, RunState::Ran, 0).final);
        CHECK(tracker.ignoredEvents() == 2);
    }

    // NotRun must not be reported without a proof for every attempt.
    SECTION("the state at the deadline")
    {
        struct Row
        {
            std::optional<RunState> proof;
            RunState expected;
        };
        const auto row =
                GENERATE(Row{{}, RunState::Unknown}, Row{RunState::Unknown, RunState::Unknown},
                         Row{RunState::NotRun, RunState::NotRun});
        CHECK(tracker.tick(Deadline - 100ms).withdraw == std::vector{first});
        if (row.proof)
            tracker.handleWithdrawReply(first, *row.proof);
        const auto end = tracker.tick(Deadline);
        REQUIRE(end.final);
        CHECK(end.final->state == row.expected);
        CHECK(end.final->code == ResultCode::DeadlineExceeded);
    }
}

TEST_CASE("RequestTracker of requests that must not be repeated")
{
    // A request that may have run must not be attempted again.
    SECTION("without a key, another attempt requires proof that the first did not run")
    {
        auto plain = spec();
        plain.isIdempotent = false;
        RequestTracker tracker(plain);
        const auto first = tracker.startAttempt().key;
        if (GENERATE(true, false)) {
            const auto end = tracker.handleSilence(first);
            REQUIRE(end.final);
            CHECK(end.final->state == RunState::Unknown);
        } else {
            CHECK(tracker.handleReply(first, Pinned, ResultCode::BackendUnavailable,
                                      RunState::NotRun, 0)
                          .mayRetry);
        }
    }
    SECTION("with a key, the owner of the slot decides")
    {
        auto keyed = spec();
        keyed.isIdempotent = false;
        keyed.hasIdempotencyKey = true;
        RequestTracker tracker(keyed);
        // NotRun must not be reported for a key if no owner was asked.
        SECTION("before any attempt the state is Unknown")
        {
            CHECK(tracker.abandon(ResultCode::BackendSilent, 1s).final->state == RunState::Unknown);
        }
        // A proof that is outdated because another request with the same key has run must not be
        // reported. This happened in the fault run with seed 3173.
        SECTION("an earlier proof is not reported at the deadline")
        {
            const auto first = tracker.startAttempt().key;
            tracker.handleReply(first, Pinned, ResultCode::SlotOwnershipUncertain, RunState::NotRun,
                                0);
            CHECK(tracker.tick(Deadline).final->state == RunState::Unknown);
        }
        SECTION("another owner may be asked until one gives the final result for the key")
        {
            const auto first = tracker.startAttempt().key;
            CHECK(tracker.handleReply(first, Pinned, ResultCode::SlotNotOwned, RunState::Unknown, 0)
                          .mayRetry);
            const auto second = tracker.startAttempt().key;
            CHECK(tracker.handleReply(second, Pinned, ResultCode::SlotKeyLost, RunState::Unknown, 0)
                          .final);
        }
    }
}
