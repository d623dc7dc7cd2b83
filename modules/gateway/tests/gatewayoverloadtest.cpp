#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::test;

namespace {

std::uint64_t count(Fixture &it, const std::string &admission)
{
    return it.registry.counter("godwit_admissions_total", "", {{"class", admission}}).value();
}

GatewayOptions rankingOptions()
{
    GatewayOptions it = Fixture::options();
    it.ranksCallers = true;
    return it;
}

} // namespace

// Guards against a demand that is counted for retries as well, or for requests that are refused for
// other reasons than a lack of slots.
TEST_CASE("GatewayOverload counts each request once by how it was admitted")
{
    Fixture it(rankingOptions());
    it.configure();

    SECTION("in time while there are slots")
    {
        for (int i = 0; i < 5; ++i)
            it.sendRequest("/safe/x");
        CHECK(count(it, "on_time") == 5);
        it.backendCalls[0]->reject(503);
        CHECK(it.backendCalls.size() == 6);
        CHECK(count(it, "on_time") == 5);
        CHECK(count(it, "refused") == 0);
    }
    SECTION("refused if no backend server has a slot early enough")
    {
        int refused = 0;
        for (int i = 0; i < 100; ++i)
            refused += it.sendRequest("/safe/x")->status == 503;
        CHECK(refused > 0);
        CHECK(count(it, "refused") == static_cast<std::uint64_t>(refused));
        CHECK(count(it, "on_time") == static_cast<std::uint64_t>(100 - refused));
        // A process that has just started knows no long-run rates.
        CHECK(count(it, "surplus") + count(it, "surplus_refused") == 0);
    }
    SECTION("as surplus in a burst")
    {
        for (int i = 0; i < 100; ++i) {
            it.sendRequest("/safe/x");
            it.scheduler.advance(200ms);
            it.backendCalls.back()->respond(200, "ok");
            it.gateway.onConfigurationConfirmed(it.scheduler.now());
        }
        for (int i = 0; i < 200; ++i) {
            it.sendRequest("/safe/x");
            it.scheduler.advance(5ms);
        }
        CHECK(count(it, "refused") > 0);
        CHECK(count(it, "surplus_refused") > 0);
    }
}
