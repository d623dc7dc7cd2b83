#include <godwit/gateway/loadschedule.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr Duration VersionTime = 8s;
/// Entry processes stop then to use an engine with an older version.
constexpr Duration LastUse = VersionTime - 500ms;

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

    /// The turns of all engines, which serve \a served, in the order of their addresses.
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

// Guards against engines that are all missing at once while they load.
TEST_CASE("LoadSchedule")
{
    Fixture it;

    SECTION("without a version nobody has a turn")
    {
        CHECK_FALSE(it.schedule.loadTime("10.0.1.0", 1));
    }
    SECTION("with one version")
    {
        it.schedule.announceVersion(5, {it.start, VersionTime});
        auto times = it.loadTimes(4);

        SECTION("the turns fill the time in which the old one may serve")
        {
            std::ranges::sort(times);
            CHECK(std::ranges::adjacent_find(times) == times.end());
            CHECK(times.back() - times.front() >= 3s);
            CHECK(times.back() < it.start + LastUse);
        }
        SECTION("processes with the records in another order agree")
        {
            LoadSchedule other;
            auto reversed = it.addresses;
            std::ranges::reverse(reversed);
            other.setEngines(reversed);
            other.announceVersion(5, {it.start, VersionTime});
            for (std::size_t i = 0; i < times.size(); ++i)
                CHECK(other.loadTime(it.addresses[i], 4) == times[i]);
        }
        SECTION("the order changes with the version, so that no engine is always last")
        {
            LoadSchedule other;
            other.setEngines(it.addresses);
            other.announceVersion(6, {it.start, VersionTime});
            CHECK(other.loadTime(it.addresses[0], 4) != times[0]);
        }
        SECTION("an engine that has it, or is not known, has no turn")
        {
            CHECK_FALSE(it.schedule.loadTime("10.0.1.0", 5));
            CHECK_FALSE(it.schedule.loadTime("10.9.9.9", 4));
        }
        SECTION("a version that was named before changes nothing")
        {
            it.schedule.announceVersion(4, {it.start + 1s, VersionTime});
            CHECK(it.loadTimes(4) == times);
        }
    }
    // Two versions 2 to 4 s apart: engines that had missed the first one stood idle for up to 2 s,
    // because entry processes no longer used them and their turn was counted from the second one.
    SECTION("an engine that has missed a version loads before it may serve no longer")
    {
        it.schedule.announceVersion(5, {it.start, VersionTime});
        it.schedule.announceVersion(6, {it.start + 2s, VersionTime});
        for (const TimePoint loadTime : it.loadTimes(4))
            CHECK(loadTime < it.start + LastUse);
        CHECK(std::ranges::max(it.loadTimes(5)) > it.start + LastUse);

        it.schedule.announceVersion(7, {it.start + 6s, VersionTime});
        for (const TimePoint loadTime : it.loadTimes(4))
            CHECK(loadTime <= it.start + 6s + VersionTime / 2);
    }
}
