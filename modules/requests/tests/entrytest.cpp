#include <godwit/base/random.h>
#include <godwit/requests/admissionqueue.h>
#include <godwit/requests/concurrencylimiter.h>
#include <godwit/requests/drainstate.h>
#include <godwit/requests/hedgepolicy.h>
#include <godwit/requests/poisondetector.h>
#include <godwit/requests/shutdownplan.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Now(1000s);

AdmissionQueue::Item item(int number, const char *customer,
                          PriorityClass priority = PriorityClass::Interactive)
{
    return {RequestId(std::to_string(number)), CustomerId(customer), priority, 1.0, 0s, Now + 60s};
}

} // namespace

// Retries must not amplify an overload.
TEST_CASE("RetryBudget allows one retry per ten requests")
{
    RetryBudget budget;
    CHECK_FALSE(budget.tryAcquire());
    int retries = 0;
    for (int i = 0; i < 1000; ++i) {
        budget.recordRequest();
        retries += budget.tryAcquire() ? 1 : 0;
    }
    CHECK(retries == 100);
}

TEST_CASE("HedgePolicy")
{
    HedgePolicy policy;
    CHECK_FALSE(policy.hedgeTime(true, Now, Now + 60s));
    for (int i = 0; i < 256; ++i)
        policy.observe(i % 10 == 0 ? 1s : 100ms);
    CHECK(policy.hedgeTime(true, Now, Now + 60s) == Now + 1s);
    // A request that must run at most once must not be hedged.
    CHECK_FALSE(policy.hedgeTime(false, Now, Now + 60s));
    CHECK_FALSE(policy.hedgeTime(true, Now, Now + 500ms));
}

TEST_CASE("PoisonDetector")
{
    using Decision = PoisonDetector::Decision;
    const Digest poison = Digest::of("poison");
    const Digest innocent = Digest::of("innocent");
    const BackendId a("a");
    const BackendId b("b");
    PoisonDetector detector;
    detector.recordStart(poison, a);
    detector.recordStart(innocent, a);
    const auto records = detector.recordCrash(a, Incarnation{1}, Now);
    CHECK(records.size() == 2);

    // A suspect must not crash several servers at once.
    SECTION("a suspect runs on one server at a time and not together with another suspect")
    {
        CHECK(detector.decide(poison, b, Now) == Decision::Run);
        detector.recordStart(poison, b);
        CHECK(detector.decide(poison, a, Now) == Decision::Wait);
        CHECK(detector.decide(innocent, b, Now) == Decision::Wait);
        CHECK(detector.decide(innocent, a, Now) == Decision::Run);
        CHECK(detector.decide(Digest::of("new"), b, Now) == Decision::Run);
    }
    // Requests must not be refused because of content that ran on the same server.
    SECTION("after the second crash only the suspect is refused")
    {
        const Digest neighbour = Digest::of("neighbour");
        detector.recordStart(poison, b);
        detector.recordStart(neighbour, b);
        detector.recordCrash(b, Incarnation{1}, Now);
        CHECK(detector.decide(poison, a, Now) == Decision::Refuse);
        CHECK(detector.decide(neighbour, a, Now) == Decision::Run);
        detector.recordStart(neighbour, a);
        CHECK(detector.decide(neighbour, b, Now) == Decision::Run);
    }
    SECTION("a suspect that completes is cleared in other entry processes as well")
    {
        detector.recordStart(innocent, b);
        detector.recordCompletion(innocent, b);
        PoisonDetector other;
        for (const PoisonRecord &record : records)
            other.merge(record, Now);
        for (const PoisonRecord &record : detector.records(Now))
            other.merge(record, Now);
        for (const PoisonDetector *it : {&detector, &other}) {
            CHECK(it->decide(innocent, b, Now) == Decision::Run);
            CHECK(it->records(Now).size() == 2);
        }
        other.recordStart(innocent, b);
        CHECK(other.decide(innocent, a, Now) == Decision::Run);
        other.recordStart(poison, a);
        CHECK(other.decide(poison, b, Now) == Decision::Wait);
    }
    // One crash that is reported by two entry processes must not count twice.
    SECTION("gossip merges crashes and does not extend the lifetime of records")
    {
        PoisonDetector other;
        other.recordStart(poison, a);
        other.recordCrash(a, Incarnation{1}, Now);
        other.merge(records[0].content == poison ? records[0] : records[1], Now + 9min);
        CHECK(other.decide(poison, b, Now + 9min) == Decision::Run);
        other.recordStart(poison, b);
        const auto second = other.recordCrash(b, Incarnation{1}, Now + 9min);
        REQUIRE(second.size() == 1);
        const auto text = toJsonText(second[0]);
        const auto parsed = capture([&] { return parseJson<PoisonRecord>(text); });
        detector.merge(std::get<0>(parsed), Now + 9min);
        CHECK(detector.decide(poison, b, Now + 9min) == Decision::Refuse);
        CHECK(detector.decide(poison, b, Now + 20min) == Decision::Run);
        CHECK(detector.records(Now + 20min).empty());
    }
}

TEST_CASE("AdmissionQueue")
{
    AdmissionQueue queue({.maxItems = 100, .maxItemsPerCustomer = 100});
    std::vector<AdmissionQueue::Refusal> refused;

    // A large customer must not starve a small one.
    SECTION("customers are served in proportion to their weights")
    {
        queue.setWeight(CustomerId("heavy"), 2.0);
        for (int i = 0; i < 30; ++i)
            CHECK(queue.push(item(i, "heavy"), Now).empty());
        for (int i = 30; i < 60; ++i)
            CHECK(queue.push(item(i, "light"), Now).empty());
        int heavy = 0;
        for (int i = 0; i < 30; ++i)
            heavy += queue.pop(Now, refused)->customer == CustomerId("heavy") ? 1 : 0;
        CHECK(heavy == 20);
    }
    // Drafts must not delay interactive requests, and must not be starved by them.
    SECTION("classes are served in proportion to their weights")
    {
        for (int i = 0; i < 20; ++i)
            queue.push(item(i, "c", PriorityClass::Draft), Now);
        for (int i = 20; i < 40; ++i)
            queue.push(item(i, "c", PriorityClass::Interactive), Now);
        int drafts = 0;
        for (int i = 0; i < 14; ++i)
            drafts += queue.pop(Now, refused)->priority == PriorityClass::Draft ? 1 : 0;
        CHECK(drafts == 2);
    }
    SECTION("a full queue refuses the newest request of the largest customer")
    {
        for (int i = 0; i < 100; ++i)
            queue.push(item(i, "large"), Now);
        const auto own = queue.push(item(100, "large"), Now);
        REQUIRE(own.size() == 1);
        CHECK(own[0].id == RequestId("100"));
        const auto other = queue.push(item(101, "small"), Now);
        REQUIRE(other.size() == 1);
        CHECK(other[0].id == RequestId("99"));
        CHECK(other[0].code == ResultCode::QueueFull);
        CHECK(queue.size() == 100);
    }
    // A request must not wait for a response that would arrive after its deadline.
    SECTION("a request that would miss its deadline is refused at once with a retry time")
    {
        for (int i = 0; i < 60; ++i)
            queue.push(item(i, "c"), Now);
        for (int i = 0; i < 20; ++i)
            queue.pop(Now + i * 100ms, refused); // Drain rate: 10 requests per second.
        auto urgent = item(60, "c");
        urgent.deadline = Now + 2s + 3s;
        const auto no = queue.push(urgent, Now + 2s);
        REQUIRE(no.size() == 1);
        CHECK(no[0].code == ResultCode::DeadlineUnreachable);
        CHECK(toSeconds(no[0].retryAfter) == Approx(4.1).epsilon(0.3));
        urgent.deadline = Now + 2s + 8s;
        CHECK(queue.push(urgent, Now + 2s).empty());
    }
    SECTION("a queued request that can no longer meet its deadline is refused when it is dequeued")
    {
        queue.push(item(1, "c"), Now);
        CHECK_FALSE(queue.pop(Now + 61s, refused));
        REQUIRE(refused.size() == 1);
        CHECK(queue.size() == 0);
    }
    SECTION("a cancelled request is not run")
    {
        queue.push(item(1, "c"), Now);
        queue.cancel(RequestId("1"));
        CHECK_FALSE(queue.pop(Now, refused));
    }
    SECTION("invalid input is refused with a result code")
    {
        auto bad = item(1, "c");
        SECTION("deadline in the past")
        {
            bad.deadline = Now;
        }
        SECTION("deadline too far ahead")
        {
            bad.deadline = Now + 2h;
        }
        CHECK(queue.push(bad, Now).at(0).code == ResultCode::DeadlineInvalid);
        bad = item(1, "");
        CHECK(queue.push(bad, Now).at(0).code == ResultCode::CustomerInvalid);
    }
}

// Requests must not queue inside a server, where they cannot be withdrawn in order.
TEST_CASE("ConcurrencyLimiter follows the latency")
{
    const BackendId server("s");
    ConcurrencyLimiter limiter;
    const auto round = [&](Duration latency) {
        std::size_t n = 0;
        while (limiter.tryAcquire(server))
            ++n;
        for (std::size_t i = 0; i < n; ++i)
            limiter.release(server, ConcurrencyLimiter::ReleaseReason::Complete, latency, Now);
    };
    for (int i = 0; i < 50; ++i)
        round(50ms);
    const std::size_t grown = limiter.limit(server);
    CHECK(grown > 40);
    for (int i = 0; i < 50; ++i)
        round(500ms);
    CHECK(limiter.limit(server) < grown / 4);
    CHECK(limiter.limit(server) >= 1);
    CHECK(limiter.inUse(server) == 0);
}

TEST_CASE("DrainState")
{
    using Source = DrainState::Source;
    const HostId host("h");
    DrainState state;
    CHECK(state.acceptsRequests(host));

    // A host must not receive new work after the first report because another source has stale
    // information.
    SECTION("the first report from any source stops new work")
    {
        const auto source =
                GENERATE(Source::HostList, Source::Gossip, Source::Refusal, Source::OperatorDrain);
        state.markLeaving(host, source, Incarnation{4}, Now);
        state.markLeaving(host, Source::Gossip, Incarnation{4}, Now + 2s);
        CHECK_FALSE(state.acceptsRequests(host));
        CHECK(state.leavingSince(host) == Now);
        state.recordProcess(host, Incarnation{4});
        CHECK_FALSE(state.acceptsRequests(host));
    }
    SECTION("a newer process makes the host available unless the operator drains it")
    {
        state.markLeaving(host, Source::Gossip, Incarnation{4}, Now);
        const bool isDrained = GENERATE(true, false);
        if (isDrained)
            state.markLeaving(host, Source::OperatorDrain, {}, Now);
        state.recordProcess(host, Incarnation{5});
        CHECK(state.acceptsRequests(host) != isDrained);
        state.clearOperatorDrain(host);
        CHECK(state.acceptsRequests(host));
    }
}

TEST_CASE("ShutdownPlan")
{
    ShutdownPlan plan;
    CHECK(plan.tryAccept(RequestId("a")));
    CHECK(plan.tryAccept(RequestId("b")));
    plan.begin(30s, Now);

    // Running requests must not be interrupted, and requests that would be interrupted must not be
    // accepted.
    SECTION("waits for requests in progress and refuses new ones")
    {
        CHECK_FALSE(plan.tryAccept(RequestId("c")));
        plan.complete(RequestId("a"));
        CHECK(plan.phase(Now + 1s) == ShutdownPlan::Phase::Draining);
        plan.complete(RequestId("b"));
        CHECK(plan.phase(Now + 1s) == ShutdownPlan::Phase::Finished);
    }
    SECTION("lists the remaining requests after the grace period, which a second call can only "
            "shorten")
    {
        plan.begin(60s, Now);
        CHECK(plan.phase(Now + 30s) == ShutdownPlan::Phase::Finished);
        CHECK(plan.remaining().size() == 2);
    }
}
