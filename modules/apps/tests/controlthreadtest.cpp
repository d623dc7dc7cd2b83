#include <godwit/apps/controlthread.h>

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <set>
#include <thread>
#include <vector>

using namespace godwit;

namespace {

struct Number
{
    int value = 0;
};

struct Flush
{
    std::promise<std::vector<int>> done;
};

struct RecordingCore
{
    std::vector<int> numbers;
    std::set<std::thread::id> threads;

    void handle(Number number)
    {
        threads.insert(std::this_thread::get_id());
        numbers.push_back(number.value);
    }
    void handle(Flush flush)
    {
        CHECK(threads.size() == 1);
        flush.done.set_value(numbers);
    }
};

} // namespace

// Guards against control state that is accessed by two threads, and against reordered events.
TEST_CASE("A control thread handles all events of one sender in order on one thread")
{
    ControlThread<RecordingCore, Number, Flush> control(
            [] { return std::make_unique<RecordingCore>(); });
    for (int i = 0; i < 1000; ++i)
        control.post(Number{i});
    Flush flush;
    auto done = flush.done.get_future();
    control.post(std::move(flush));
    const auto numbers = done.get();
    REQUIRE(numbers.size() == 1000);
    CHECK(std::is_sorted(numbers.begin(), numbers.end()));
}
