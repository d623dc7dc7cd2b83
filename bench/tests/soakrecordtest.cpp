#include "soakrecord.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;
using standin::FleetRequestKind;
using standin::FleetWrongPiece;

namespace {

constexpr TimePoint Start{std::chrono::hours(1)};

SoakOutcome served(FleetRequestKind kind)
{
    SoakOutcome it;
    it.attempt.id = "a1";
    it.attempt.kind = kind;
    it.attempt.key = "key";
    it.customer = "customer";
    it.status = 200;
    it.isComplete = true;
    it.sent = Start;
    if (isStream(kind)) {
        for (std::uint64_t number = 1; number <= standin::FleetStreamEventCount; ++number)
            it.body += standin::streamEvent("a1", number);
    } else {
        it.body = "answer to a1 by e1";
        it.headers = {{"X-Attempt-Id", "a1"},
                      {"X-Server-Seal", "a1." + std::to_string(it.body.size())}};
    }
    return it;
}

standin::FleetRun run()
{
    standin::FleetRun it;
    it.attempt = "a1";
    it.customer = "customer";
    it.route = "book";
    it.version = 1;
    it.at = Start;
    return it;
}

} // namespace

// Each section guards against a soak that does not detect the violation in its title.
TEST_CASE("Violations in a soak record")
{
    SoakRecord record;
    record.ledger.runs = {run()};

    SECTION("on weights of which a newer version was acknowledged too long before")
    {
        auto &late = record.ledger.runs.front();
        late.engine = "e1";
        late.begunAt = Start + VersionChangeLimit + 1ms;
        record.versionTimes = {{1, Start - 10s}, {2, Start}, {3, Start + 1s}};
        record.outcomes = {served(FleetRequestKind::Booking)};
        CHECK(findViolations(record).size() == 1);

        SECTION("but not in time, or on the newest version")
        {
            late.begunAt = Start + VersionChangeLimit;
            CHECK(findViolations(record).empty());
            late.begunAt = Start + 1min;
            late.version = 3;
            CHECK(findViolations(record).empty());
        }
        SECTION("nor if the store, the server's connections or the entry process had a fault since")
        {
            const SoakDisturbance since{Start + 1s, Start + 2s};
            SECTION("the store")
            {
                record.storeFaults = {since};
            }
            SECTION("the connections")
            {
                record.serverLinkFaults["e1"] = {since};
            }
            SECTION("the entry process was paused")
            {
                record.entryPauses[0] = {since};
            }
            SECTION("the entry process was restarted")
            {
                record.entryStarts = {{0, Start + 1s}};
            }
            CHECK(findViolations(record).empty());
        }
        SECTION("while faults before the acknowledgement do not excuse it")
        {
            record.storeFaults = {{Start - 2s, Start - 1s}};
            record.entryStarts = {{0, Start - 5s}, {0, *late.begunAt + 1s}};
            CHECK(findViolations(record).size() == 1);
        }
    }
    SECTION("at a server that an entry process knows to leave")
    {
        record.ledger.runs.front().engine = "e1";
        SoakOutcome first = served(FleetRequestKind::Booking);
        first.headers.add("Server-Leaving", "1");
        first.headAt = Start + 10ms;
        SoakOutcome second;
        second.attempt.id = "a2";
        second.customer = "customer";
        second.sent = Start + 20ms;
        auto repeated = record.ledger.runs.front();
        repeated.attempt = "a2";
        repeated.at = Start + 25ms;
        record.ledger.runs.push_back(repeated);
        record.outcomes = {first, second};
        CHECK(findViolations(record).size() == 1);

        SECTION("but not if the request was sent earlier, or to another entry process")
        {
            record.outcomes[1].sent = Start + 5ms;
            CHECK(findViolations(record).empty());
            record.outcomes[1].sent = Start + 20ms;
            record.outcomes[1].entry = 1;
            CHECK(findViolations(record).empty());
        }
        SECTION("nor if it has restarted since")
        {
            record.entryStarts = {{0, Start + 15ms}};
            CHECK(findViolations(record).empty());
        }
    }
    SECTION("with requests before the end of a retry time")
    {
        record.ledger.runs.clear();
        const auto arrive = [&](const std::string &attempt, Duration after) {
            record.ledger.arrivals.push_back({attempt, "e1", Start + after, ""});
            SoakOutcome it;
            it.attempt.id = attempt;
            it.customer = "customer";
            it.status = 503;
            record.outcomes.push_back(it);
        };
        arrive("a1", 0ms);
        record.ledger.arrivals.front().retryAfter = "2.5";
        arrive("a2", 700ms);
        arrive("a3", 900ms);
        CHECK(findViolations(record).empty());
        arrive("a4", 1100ms);
        CHECK(findViolations(record).size() == 1);

        SECTION("but not if one of them came within the first half second, or after its end")
        {
            record.ledger.arrivals.back().at = Start + 400ms;
            CHECK(findViolations(record).empty());
            record.ledger.arrivals.back().at = Start + 2600ms;
            CHECK(findViolations(record).empty());
            record.ledger.arrivals.back().at = Start + 2400ms;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("nor if one came from another entry process, or reached another server")
        {
            record.outcomes.back().entry = 1;
            CHECK(findViolations(record).empty());
            record.outcomes.back().entry = 0;
            record.ledger.arrivals.back().engine = "e2";
            CHECK(findViolations(record).empty());
        }
        SECTION("nor if the retry time is malformed, or the shortest one that was stated is over")
        {
            record.ledger.arrivals.front().retryAfter = "soon";
            CHECK(findViolations(record).empty());
            record.ledger.arrivals.front().retryAfter = "-1";
            CHECK(findViolations(record).empty());
            record.ledger.arrivals.front().retryAfter = "1, 2";
            CHECK(findViolations(record).empty());
        }
        SECTION("nor if the server was silent when it was turned away, until half a second later")
        {
            record.ledger.arrivals.front().answeredAt = Start + 700ms;
            CHECK(findViolations(record).empty());
            record.ledger.arrivals.front().retryAfter = "1.9";
            for (std::size_t i = 1; i <= 3; ++i)
                record.ledger.arrivals[i].at = Start + 1300ms;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("nor if the entry process was restarted or paused, or its connections failed")
        {
            record.entryStarts = {{0, Start + 300ms}};
            CHECK(findViolations(record).empty());
            record.entryStarts = {{0, Start - 300ms}};
            record.entryPauses[0] = {{Start - 400ms, Start - 300ms}};
            record.serverLinkFaults["e1"] = record.entryPauses[0];
            CHECK(findViolations(record).size() == 1);
            record.entryPauses[0].push_back({Start + 300ms, Start + 400ms});
            CHECK(findViolations(record).empty());
            record.entryPauses.clear();
            record.serverLinkFaults["e1"].push_back({Start + 1s});
            CHECK(findViolations(record).empty());
        }
    }
    SECTION("of a stream that may run once")
    {
        record.outcomes = {served(FleetRequestKind::LiveStream)};
        CHECK(findViolations(record).empty());

        SECTION("that ran twice")
        {
            record.ledger.runs.push_back(run());
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that ran although it was refused")
        {
            record.outcomes.front().status = 503;
            CHECK(findViolations(record).size() == 1);
        }
    }
    SECTION("of a plain request")
    {
        record.outcomes = {served(FleetRequestKind::Booking)};
        SoakOutcome &outcome = record.outcomes.front();
        CHECK(findViolations(record).empty());

        SECTION("with a truncated response")
        {
            outcome.body.pop_back();
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that ran twice")
        {
            record.ledger.runs.push_back(run());
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that ran although it was refused")
        {
            outcome.status = 503;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that ran for another customer, or with its key forwarded")
        {
            record.ledger.runs.front().customer = "other";
            CHECK(findViolations(record).size() == 1);
            record.ledger.runs.front() = run();
            record.ledger.runs.front().hasAuthorization = true;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that ran without a route or a known key")
        {
            outcome.hasRoute = false;
            CHECK(findViolations(record).size() == 1);
            outcome.hasRoute = true;
            outcome.customer.clear();
            CHECK_FALSE(findViolations(record).empty());
        }
        SECTION("that ran long after its key was revoked")
        {
            record.revokedKeys["key"] = Start - 6s;
            CHECK(findViolations(record).size() == 1);
            record.revokedKeys["key"] = Start - 4s;
            CHECK(findViolations(record).empty());
        }
        SECTION("that was denied although it is valid")
        {
            record.ledger.runs.clear();
            outcome.status = 404;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that no client sent")
        {
            record.ledger.runs.front().attempt = "a2";
            CHECK(findViolations(record).size() == 1);
        }
    }
    SECTION("of a stream")
    {
        record.outcomes = {served(FleetRequestKind::Stream)};
        SoakOutcome &outcome = record.outcomes.front();
        CHECK(findViolations(record).empty());

        SECTION("that ends early and appears complete")
        {
            outcome.body.resize(outcome.body.size() / 2);
            CHECK(findViolations(record).size() == 1);
            outcome.isComplete = false;
            CHECK(findViolations(record).empty());
        }
        SECTION("with a repeated event")
        {
            outcome.body = standin::streamEvent("a1", 1) + outcome.body;
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("that was resumed with other weights")
        {
            record.ledger.runs.push_back(run());
            record.ledger.runs.back().version = 2;
            CHECK(findViolations(record).empty());
            record.ledger.runs.back().firstEvent = 3;
            CHECK(findViolations(record).size() == 1);
        }
    }
    SECTION("on corrupt weights")
    {
        using Fault = FleetWrongPiece::Fault;
        record.outcomes = {served(FleetRequestKind::Stream)};
        auto &pieces = record.ledger.runs.front().wrongPieces;

        SECTION("taken with a piece that had been corrupt for more than 3 s")
        {
            pieces = {{2, 9, Fault::Corrupt, Start, Start - 3001ms}};
            const auto broken = findViolations(record);
            REQUIRE(broken.size() == 1);
            CHECK_THAT(broken.front(), Catch::Contains("a1: ran on corrupt weights"));
            CHECK_THAT(broken.front(), Catch::Contains("layer 2 was taken with piece 9"));
        }
        SECTION("but not if it turned corrupt in the last 3 s, even if it has aged since")
        {
            pieces = {{2, 9, Fault::Corrupt, Start - 10s, Start - 13s}};
            CHECK(findViolations(record).empty());
        }
        SECTION("with one wrong piece behind others that are tolerated")
        {
            pieces = {{2, 9, Fault::Corrupt, Start, Start - 1s},
                      {3, 14, Fault::Corrupt, Start, Start - 4s}};
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("taken with a piece that was missing or of another version")
        {
            pieces = {{2, 9, Fault::Missing, Start, {}}};
            CHECK(findViolations(record).size() == 1);
            pieces = {{2, 9, Fault::OtherVersion, Start, {}}};
            CHECK(findViolations(record).size() == 1);
        }
        SECTION("by a later run of the same request")
        {
            record.ledger.runs.push_back(run());
            record.ledger.runs.back().wrongPieces = {{2, 9, Fault::Missing, Start, {}}};
            CHECK(findViolations(record).size() == 1);
        }
    }
    SECTION("with a load of pieces that do not belong together")
    {
        record.ledger.runs.clear();
        record.ledger.invalidLoads = {"e1"};
        CHECK(findViolations(record).size() == 1);
    }
}
