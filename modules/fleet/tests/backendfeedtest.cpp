#include <godwit/fleet/backendfeed.h>

#include "fakeplatform.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

struct Fixture : FeedFixture
{
    std::vector<std::string> log;
    BackendFeed feed{
            platform,
            store,
            scheduler,
            Random(1),
            {[this](const BackendRecord &record) { log.push_back("record " + record.id.value()); },
             [this](const BackendId &id) { log.push_back("removed " + id.value()); }}};

    Fixture()
    {
        feed.start();
        store.listed(10, {{"servers/a", "ready", StoreRevision{3}, LeaseId{}},
                          {"servers/b", "draining", StoreRevision{4}, LeaseId{}}});
        log.clear();
    }

    /// All calls of the store fail for \a span.
    void outage(Duration span)
    {
        store.handlers.onEnd(Error{ResultCode::PlatformTimeout, "silent"});
        scheduler.advance(span);
        store.handlers.onConfirmed(StoreRevision{10}, scheduler.now());
    }

    void remove(const std::string &key, std::uint64_t revision)
    {
        store.handlers.onEvents({{{key, {}, StoreRevision{revision}, LeaseId{}}, true}});
    }
};

} // namespace

TEST_CASE("BackendFeed")
{
    Fixture it;

    SECTION("a backend server that leaves on a calm day is gone at once")
    {
        it.remove("servers/a", 11);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("a record that lapsed while the store was away has time to return")
    {
        it.outage(3s);
        it.remove("servers/a", 12);
        CHECK(it.log.empty());

        SECTION("and stays if it does")
        {
            it.scheduler.advance(1s);
            it.store.handlers.onEvents(
                    {{{"servers/a", "ready", StoreRevision{13}, LeaseId{}}, false}});
            it.scheduler.advance(10s);
            CHECK(it.log.empty());
        }
        SECTION("and is gone if it does not")
        {
            it.scheduler.advance(BackendFeed::ReturnTime);
            CHECK(it.log == std::vector<std::string>{"removed a"});
        }
    }
    SECTION("the time counts from the end of the outage, not from the news of the removal")
    {
        it.outage(3s);
        it.scheduler.advance(BackendFeed::ReturnTime - 300ms);
        it.remove("servers/a", 12);
        CHECK(it.log.empty());
        it.scheduler.advance(300ms);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("after a single lost answer a backend server that leaves is gone at once")
    {
        it.outage(100ms);
        it.remove("servers/a", 12);
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
    SECTION("one that had announced its leaving does not get that time")
    {
        it.outage(3s);
        it.remove("servers/b", 12);
        CHECK(it.log == std::vector<std::string>{"removed b"});
    }
    SECTION("a record that cannot be read names no backend server, the others stay")
    {
        it.store.handlers.onEvents(
                {{{"servers/a", "garbage", StoreRevision{14}, LeaseId{}}, false}});
        CHECK(it.log == std::vector<std::string>{"removed a"});
    }
}
