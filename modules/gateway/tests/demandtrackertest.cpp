#include <godwit/gateway/demandtracker.h>

#include <catch2/catch.hpp>

#include <string>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

Demand demand(const std::string &kind, const std::string &customer, std::uint32_t priority = 5)
{
    return {.kind = kind, .customer = CustomerId(customer), .priority = priority};
}

struct Fixture
{
    TimePoint now{std::chrono::hours(1)};
    DemandTracker tracker{Random(3)};

    /// Sends \a perSecond requests a second and returns how many of them are surplus. \a result is
    /// what becomes of all of them.
    int send(const Demand &it, int perSecond, Duration time,
             AdmissionResult result = AdmissionResult::Admitted)
    {
        int surplus = 0;
        const auto count = static_cast<int>(perSecond * toSeconds(time));
        for (int i = 0; i < count; ++i) {
            now += 1'000'000us / perSecond;
            const DemandTreatment treatment = tracker.onArrival(it, now);
            surplus += treatment.isSurplus;
            tracker.onResult(it, treatment, result, now);
        }
        return surplus;
    }
};

} // namespace

TEST_CASE("DemandTracker recognizes a shortage")
{
    Fixture it;
    const Demand chat = demand("chat", "dairy");
    it.send(chat, 20, 3s);

    SECTION("there is none while all requests are admitted in time")
    {
        CHECK_FALSE(it.tracker.isShortage(it.now));
        CHECK_FALSE(it.tracker.takeShortageChange(it.now));
    }
    SECTION("a request that is refused or late is one, for a second")
    {
        const auto result = GENERATE(AdmissionResult::Refused, AdmissionResult::AdmittedLate);
        it.tracker.onResult(chat, {}, result, it.now);
        CHECK(it.tracker.isShortage(it.now + 900ms));
        CHECK_FALSE(it.tracker.isShortage(it.now + 1100ms));
    }
    // Guards against a log line for each refused request.
    SECTION("a shortage that comes and goes is reported once")
    {
        int changes = 0;
        for (int i = 0; i < 10; ++i) {
            it.send(chat, 20, 2s);
            it.send(chat, 20, 100ms, AdmissionResult::Refused);
            changes += it.tracker.takeShortageChange(it.now).has_value();
        }
        CHECK(changes == 1);
        it.send(chat, 20, 11s);
        CHECK(it.tracker.takeShortageChange(it.now) == false);
        CHECK_FALSE(it.tracker.takeShortageChange(it.now));
    }
}

TEST_CASE("DemandTracker finds the surplus")
{
    Fixture it;
    const Demand chat = demand("chat", "dairy");
    const Demand batch = demand("batch", "mill");
    const auto sendBoth = [&it, &chat, &batch](int chats, int batches, Duration time,
                                               AdmissionResult result) {
        std::pair<int, int> surplus;
        for (Duration passed{0}; passed < time; passed += 100ms) {
            surplus.first += it.send(chat, chats, 100ms, result);
            it.now -= 100ms;
            surplus.second += it.send(batch, batches, 100ms, result);
        }
        return surplus;
    };

    SECTION("not without a shortage")
    {
        sendBoth(20, 20, 20s, AdmissionResult::Admitted);
        CHECK(sendBoth(20, 200, 3s, AdmissionResult::Admitted) == std::pair(0, 0));
    }
    SECTION("in a shortage, in a burst of a kind and not in the others")
    {
        sendBoth(20, 20, 20s, AdmissionResult::Admitted);
        const auto [chats, batches] = sendBoth(20, 100, 3s, AdmissionResult::AdmittedLate);
        CHECK(chats == 0);
        CHECK(batches > 100);
        CHECK(batches < 270);
    }
    SECTION("not in a demand that is as usual, whatever the shortage")
    {
        sendBoth(20, 20, 20s, AdmissionResult::Admitted);
        CHECK(sendBoth(20, 20, 10s, AdmissionResult::AdmittedLate) == std::pair(0, 0));
    }
    // The long-run rate would follow a flood within ten seconds, and all others would share its
    // shortage.
    SECTION("a flood that lasts does not become usual while others lack capacity")
    {
        sendBoth(20, 20, 20s, AdmissionResult::Admitted);
        sendBoth(20, 100, 10s, AdmissionResult::AdmittedLate);
        CHECK(sendBoth(20, 100, 1s, AdmissionResult::AdmittedLate).second > 30);
    }
    SECTION("a burst of one customer, and not of the other customers of its kind")
    {
        const Demand other = demand("chat", "mill");
        for (int i = 0; i < 200; ++i) {
            it.send(chat, 20, 100ms);
            it.now -= 100ms;
            it.send(other, 20, 100ms);
        }
        int surplus = 0;
        int otherSurplus = 0;
        for (int i = 0; i < 30; ++i) {
            surplus += it.send(chat, 20, 100ms, AdmissionResult::AdmittedLate);
            it.now -= 100ms;
            otherSurplus += it.send(other, 100, 100ms, AdmissionResult::AdmittedLate);
        }
        // The kind has grown as well, to three times its rate.
        CHECK(otherSurplus > 100);
        CHECK(surplus < otherSurplus / 5);
    }
    // A customer with a request now and then exceeds its rate with each of them.
    SECTION("not in single requests of a customer")
    {
        sendBoth(20, 20, 20s, AdmissionResult::Admitted);
        int surplus = 0;
        for (int i = 0; i < 10; ++i) {
            sendBoth(20, 20, 3s, AdmissionResult::AdmittedLate);
            surplus += it.tracker.onArrival(demand("chat", "bakery"), it.now).isSurplus;
        }
        CHECK(surplus == 0);
    }
    // A restarted process knows no rates; it would shed everything.
    SECTION("not in the first second of a process")
    {
        CHECK(sendBoth(20, 100, 900ms, AdmissionResult::AdmittedLate) == std::pair(0, 0));
    }
    SECTION("not in a constant demand after the start of a process")
    {
        const auto [chats, batches] = sendBoth(20, 100, 10s, AdmissionResult::AdmittedLate);
        CHECK(chats == 0);
        CHECK(batches == 0);
    }
}

TEST_CASE("DemandTracker keeps a minimum share for each kind and customer")
{
    Fixture it;
    const Demand urgent = demand("chat", "dairy", 2);
    const Demand usual = demand("search", "dairy", 5);
    const Demand idle = demand("batch", "mill", 8);
    const auto run = [&](int admittedOfTen) {
        for (int i = 0; i < 40; ++i) {
            it.send(urgent, 20, 50ms);
            it.send(usual, 20, 50ms);
            it.send(idle, 20, 50ms,
                    i % 10 < admittedOfTen ? AdmissionResult::Admitted : AdmissionResult::Refused);
        }
    };

    SECTION("nothing is raised while it gets its share")
    {
        run(8);
        CHECK(it.tracker.onArrival(idle, it.now).priority == 8);
        CHECK(it.tracker.onArrival(urgent, it.now).priority == 2);
    }
    SECTION("a kind with a small share is as urgent as the next kind")
    {
        run(3);
        CHECK(it.tracker.onArrival(idle, it.now).priority == 5);
        CHECK(it.tracker.onArrival(usual, it.now).priority == 5);
    }
    SECTION("a kind with nearly none is as urgent as the most urgent kind")
    {
        run(0);
        CHECK(it.tracker.onArrival(idle, it.now).priority == 2);

        SECTION("only during a shortage")
        {
            it.now += 1100ms;
            CHECK(it.tracker.onArrival(idle, it.now).priority == 8);
        }
    }
    SECTION("it is not surplus")
    {
        run(0);
        CHECK(it.send(idle, 200, 1s, AdmissionResult::Refused) == 0);
    }
}

// Guards against memory that grows with the number of names that callers use.
TEST_CASE("DemandTracker remembers a limited number of customers and kinds")
{
    Fixture it;
    for (int i = 0; i < 5000; ++i) {
        const std::string number = std::to_string(i);
        it.send(demand("kind" + number, "customer" + number), 1000, 1ms);
        it.send(demand("chat", "dairy"), 1000, 1ms);
    }
    CHECK(it.tracker.size() <= 3UL * 2048);
    // Those with requests are not the ones that were dropped.
    it.send(demand("chat", "dairy"), 1000, 1s, AdmissionResult::AdmittedLate);
    CHECK(it.send(demand("chat", "dairy"), 1000, 1s, AdmissionResult::AdmittedLate) < 700);
}
