#include "gatewayfixture.h"

#include <catch2/catch.hpp>

#include <string>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

// Guards against holds that operators cannot see, and against a limit that no route has set.
TEST_CASE("Gateway counts the backend servers that are held to fewer requests")
{
    Fixture it;
    it.configure();
    it.gateway.backends().setLearnsSpeed(true);
    const BackendId slow("b1");
    const auto runEvents = [&](Duration gap, Duration duration) {
        for (const TimePoint end = it.scheduler.now() + duration; it.scheduler.now() < end;) {
            it.scheduler.advance(gap);
            it.gateway.backends().recordEventGap(slow, gap, it.scheduler.now());
            for (const char *other : {"b2", "b3"})
                it.gateway.backends().recordEventGap(BackendId(other), 50ms, it.scheduler.now());
        }
    };
    const auto held = [&] {
        it.sendRequest("/safe/x");
        const std::string text = it.registry.text();
        return text.find("\ngodwit_held_backends 1\n") != std::string::npos;
    };
    runEvents(50ms, 1s);
    CHECK_FALSE(held());
    for (int i = 0; i < 4; ++i)
        it.gateway.backends().onAttemptStarted(slow, RequestUrgency::OnTime, it.scheduler.now());

    SECTION("by the event gap of the routes")
    {
        runEvents(290ms, 2s);
        CHECK(held());

        SECTION("until they are released")
        {
            it.scheduler.advance(30s);
            it.gateway.onConfigurationConfirmed(it.scheduler.now());
            CHECK_FALSE(held());
        }
    }
    SECTION("but none if no route sets one")
    {
        GatewayConfiguration configuration = Fixture::configuration(2);
        for (Route &route : configuration.routes)
            route.maxEventGap = 0ms;
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(configuration));
        runEvents(290ms, 2s);
        CHECK_FALSE(held());
    }
}
