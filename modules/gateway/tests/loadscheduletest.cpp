#include <godwit/gateway/loadschedule.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr Duration GracePeriod = 8s;
/// Entry processes stop using engines with an older version at this time.
constexpr Duration LastUse = GracePeriod - 2s;
/// Before that, few hosts have the weights.
constexpr Duration FirstLoad = 3400ms;

struct Fixture
{
    TimePoint start{std::chrono::hours(1)};
    std::vector<std::string> addresses;
    LoadSchedule schedule;

    Fixture()
    {
        for (int i = 0; i < 20; ++i)
            addresses.push_back("10.0.1." + std::to_string(i));
        schedule.setEngines(addresses);
    }

    /// Load times of all engines, which serve \a served, in the order of their addresses.
    std::vector<TimePoint> loadTimes(std::uint64_t served) const
    {
        std::vector<TimePoint> times;
        times.reserve(addresses.size());
        for (const std::string &it : addresses)
            times.push_back(schedule.loadTime(it, served).value());
        return times;
    }
};

} // namespace

// Guards against requests that are sent to older versions because the announcement is taken for
// later than it may have been.
TEST_CASE("VersionWindow limits the use of older versions")
{
    const TimePoint now{std::chrono::hours(1)};
    const VersionWindow window{now - 2s, GracePeriod, 900ms};

    SECTION("to two seconds before the earliest end of their grace period")
    {
        CHECK(window.end() == now + 6s);
        CHECK(window.earliestEnd() == now + 5100ms);
        CHECK(startDeadline(window, now) == now + 3100ms);
        CHECK(startDeadline(VersionWindow{now, GracePeriod}, now) == now + LastUse);
    }
    SECTION("to the past if the version was announced long ago, and at once if that is unknown")
    {
        CHECK(startDeadline(VersionWindow{now - 9s, GracePeriod}, now) == now - 3s);
        CHECK(startDeadline(std::nullopt, now) == now);
    }
}

// Guards against all engines being unavailable at once while they load.
TEST_CASE("LoadSchedule")
{
    Fixture it;

    SECTION("without an announced version no engine is scheduled")
    {
        CHECK_FALSE(it.schedule.loadTime("10.0.1.0", 1));
    }
    SECTION("with one announced version")
    {
        it.schedule.announceVersion(5, {it.start, GracePeriod});
        auto times = it.loadTimes(4);

        SECTION("the load times are spread over the grace period of the old version")
        {
            std::ranges::sort(times);
            CHECK(std::ranges::adjacent_find(times) == times.end());
            CHECK(times.front() >= it.start + FirstLoad);
            CHECK((times.back() - times.front()) * 100 >= (LastUse - FirstLoad) * 73);
            CHECK(times.back() < it.start + LastUse);
        }
        SECTION("the schedule does not depend on the order of the records")
        {
            LoadSchedule other;
            auto reversed = it.addresses;
            std::ranges::reverse(reversed);
            other.setEngines(reversed);
            other.announceVersion(5, {it.start, GracePeriod});
            for (std::size_t i = 0; i < times.size(); ++i)
                CHECK(other.loadTime(it.addresses[i], 4) == times[i]);
        }
        SECTION("the order depends on the version, so that no engine is always last")
        {
            LoadSchedule other;
            other.setEngines(it.addresses);
            other.announceVersion(6, {it.start, GracePeriod});
            CHECK(other.loadTime(it.addresses[0], 4) != times[0]);
        }
        SECTION("an engine that has the version, or is unknown, is not scheduled")
        {
            CHECK_FALSE(it.schedule.loadTime("10.0.1.0", 5));
            CHECK_FALSE(it.schedule.loadTime("10.9.9.9", 4));
        }
        SECTION("announcing an older version changes nothing")
        {
            it.schedule.announceVersion(4, {it.start + 1s, GracePeriod});
            CHECK(it.loadTimes(4) == times);
        }
    }
    // With two versions announced 2 to 4 s apart, engines that had missed the first one were idle
    // for up to 2 s: entry processes no longer used them, but their load time was derived from the
    // second version.
    SECTION("an engine that has missed a version loads before the grace period of its version ends")
    {
        it.schedule.announceVersion(5, {it.start, GracePeriod});
        it.schedule.announceVersion(6, {it.start + 2s, GracePeriod});
        for (const TimePoint loadTime : it.loadTimes(4))
            CHECK(loadTime < it.start + LastUse);
        CHECK(std::ranges::max(it.loadTimes(5)) > it.start + LastUse);

        it.schedule.announceVersion(7, {it.start + 6s, GracePeriod});
        for (const TimePoint loadTime : it.loadTimes(4))
            CHECK(loadTime <= it.start + 6s + GracePeriod / 2);
    }
}
