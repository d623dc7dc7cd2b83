#include <godwit/fleet/clientrejections.h>

#include <catch2/catch.hpp>

using namespace godwit;

// Guards against a log line for each client of a crowd.
TEST_CASE("ClientRejections counts each rejection and logs a reason once per interval")
{
    MetricsRegistry registry;
    ClientRejections rejections(registry);
    const TimePoint start{};
    const auto record = [&](ServerRejection reason, Duration after) {
        return rejections.record(reason, start + after);
    };
    constexpr Duration Interval = ClientRejections::LogInterval;
    CHECK(record(ServerRejection::BodyLimit, Duration::zero()) == 1);
    for (int i = 0; i < 100; ++i)
        CHECK_FALSE(record(ServerRejection::BodyLimit, Interval / 2).has_value());
    CHECK(record(ServerRejection::Connection, Interval / 2) == 1);
    CHECK(record(ServerRejection::BodyLimit, Interval) == 101);
    CHECK(registry.text().find("godwit_client_rejections_total{reason=\"body_limit\"} 102")
          != std::string::npos);
    CHECK(registry.text().find("godwit_client_rejections_total{reason=\"connection\"} 1")
          != std::string::npos);
}
