#include "storepolling.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

// Load pattern: hundreds of processes watch the store, which charges every call.
TEST_CASE("Processes ask the store no more often than the bounds demand")
{
    FleetBounds bounds;

    SECTION("a key is refused in time although confirmations are as old as two calls")
    {
        const Duration timeout = operatorPollIntervals(bounds).longPollTimeout;
        CHECK(2 * timeout + LongPollGrace + RevocationMargin <= bounds.keyRevocationLimit);
        CHECK(timeout == 1s);
        bounds.configurationLimit = 10s;
        bounds.reconnectionGracePeriod = 10s;
        CHECK(operatorPollIntervals(bounds).longPollTimeout == 1800ms);
        bounds.strictRevocation = false;
        CHECK(operatorPollIntervals(bounds).longPollTimeout == 5s);
    }
    SECTION("a silent connection is noticed within the reconnection period")
    {
        for (const Duration period : {3s, 5s, 8s}) {
            bounds.reconnectionGracePeriod = period;
            const PollIntervals intervals = backendPollIntervals(bounds);
            CHECK(intervals.longPollTimeout + LongPollGrace + intervals.batchDelay < period);
            CHECK(intervals.batchDelay <= bounds.drainLimit / 4);
        }
    }
    SECTION("one watch of an entry process keeps the bounds of all its keys")
    {
        for (const Duration period : {2s, 3s, 10s}) {
            for (const Duration reconnection : {3s, 5s, 10s}) {
                bounds.configurationLimit = period;
                bounds.drainLimit = period;
                bounds.reconnectionGracePeriod = reconnection;
                const PollIntervals shared = entryPollIntervals(bounds);
                const PollIntervals backends = backendPollIntervals(bounds);
                CHECK(shared.longPollTimeout <= operatorPollIntervals(bounds).longPollTimeout);
                CHECK(shared.longPollTimeout <= backends.longPollTimeout);
                CHECK(shared.longPollTimeout <= crashReportPollIntervals().longPollTimeout);
                CHECK(shared.batchDelay > Duration::zero());
                CHECK(shared.batchDelay <= backends.batchDelay);
                CHECK(shared.batchDelay <= crashReportPollIntervals().batchDelay);
                // A key that was revoked just after a call with events was answered.
                CHECK(2 * shared.longPollTimeout + LongPollGrace + RevocationMargin
                      <= bounds.keyRevocationLimit);
                // A configuration or evacuation that was written then.
                CHECK(shared.batchDelay < bounds.configurationLimit / 4);
                // A connection that goes silent then.
                CHECK(shared.batchDelay + shared.longPollTimeout + LongPollGrace < reconnection);
            }
        }
    }
    SECTION("tiny bounds do not make a process poll without pause")
    {
        bounds.configurationLimit = 0s;
        bounds.reconnectionGracePeriod = 0s;
        CHECK(operatorPollIntervals(bounds).longPollTimeout == 500ms);
        CHECK(backendPollIntervals(bounds).longPollTimeout == 500ms);
        CHECK(entryPollIntervals(bounds).longPollTimeout == 500ms);
        CHECK(maxDenialAge(bounds) == 0s);
    }
    SECTION("the calls of all host processes together do not grow with the fleet")
    {
        const auto callsPerSecond = [](std::size_t hosts) {
            return static_cast<double>(hosts) / toSeconds(versionPollTimeout(hosts));
        };
        CHECK(versionPollTimeout(12) == 2500ms);
        CHECK(callsPerSecond(45) <= 8.01);
        CHECK(callsPerSecond(160) <= 8.01);
        CHECK(versionPollTimeout(3700) == 20s);
    }
}
