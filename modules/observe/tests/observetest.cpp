#include "logmacro.h"

#include <godwit/observe/log.h>
#include <godwit/observe/metricsregistry.h>
#include <godwit/observe/tracer.h>

#include <boost/json.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <sstream>
#include <thread>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr const char *ValidHeader = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class RecordingExporter : public SpanExporter
{
public:
    void exportSpans(const std::string &otlpJson) override { requests.push_back(otlpJson); }

    std::vector<std::string> requests;
};

boost::json::array spansOf(const std::string &request)
{
    return boost::json::parse(request)
            .at("resourceSpans")
            .at(0)
            .at("scopeSpans")
            .at(0)
            .at("spans")
            .as_array();
}

} // namespace

TEST_CASE("Metrics text")
{
    MetricsRegistry registry;

    SECTION("counters and gauges are formatted and sorted by name")
    {
        registry.counter("requests_total", "Requests.", {{"zone", "z1"}}).add(3);
        registry.gauge("load", "Load.").set(0.5);
        CHECK(registry.text()
              == "# HELP load Load.\n# TYPE load gauge\nload 0.5\n"
                 "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
                 "requests_total{zone=\"z1\"} 3\n");
    }
    // Guards against untrusted label values that forge lines of the metrics text.
    SECTION("label values and help are escaped")
    {
        registry.counter("n", "a\nb\\", {{"v", "x\"\n\\"}}).add();
        CHECK(registry.text() == "# HELP n a\\nb\\\\\n# TYPE n counter\nn{v=\"x\\\"\\n\\\\\"} 1\n");
    }
    // Guards against duplicate series for the same labels in different order.
    SECTION("the order of labels is not significant")
    {
        registry.counter("n", "", {{"a", "1"}, {"b", "2"}}).add();
        registry.counter("n", "", {{"b", "2"}, {"a", "1"}}).add();
        CHECK(registry.counter("n", "", {{"a", "1"}, {"b", "2"}}).value() == 2);
    }
    SECTION("invalid names and conflicting kinds are rejected")
    {
        CHECK_THROWS_AS(registry.counter("1n", ""), std::invalid_argument);
        CHECK_THROWS_AS(registry.counter("n", "", {{"a b", "1"}}), std::invalid_argument);
        registry.counter("n", "");
        CHECK_THROWS_AS(registry.gauge("n", ""), std::invalid_argument);
    }
    // Guards against memory exhaustion when label values come from requests.
    SECTION("the number of series is bounded")
    {
        for (std::size_t i = 0; i < MetricsRegistry::MaxSeries + 10; ++i)
            registry.counter("n", "", {{"v", std::to_string(i)}}).add();
        CHECK(registry.counter("n", "", {{"v", "other"}}).value() == 10);
    }
}

TEST_CASE("Summary")
{
    MetricsRegistry registry;
    Summary &summary = registry.summary("wait_seconds", "Wait.", {{"zone", "z"}});

    SECTION("has no quantiles without values")
    {
        CHECK(summary.snapshot().quantiles.empty());
    }
    // Guards against using the markers of the estimator before they are valid.
    SECTION("is exact for a small number of values")
    {
        summary.observe(3);
        CHECK(summary.snapshot().quantiles.front().value == 3);
        CHECK_THAT(registry.text(),
                   Catch::Contains("wait_seconds{zone=\"z\",quantile=\"0.99\"} 3\n")
                           && Catch::Contains("wait_seconds_sum{zone=\"z\"} 3\n")
                           && Catch::Contains("wait_seconds_count{zone=\"z\"} 1\n"));
    }
    SECTION("estimates the quantiles of many values")
    {
        Random random(1);
        for (int i = 0; i < 20'000; ++i)
            summary.observe(random.uniform());
        const auto snapshot = summary.snapshot();
        CHECK(snapshot.count == 20'000);
        for (const auto &quantile : snapshot.quantiles)
            CHECK(quantile.value == Approx(quantile.probability).margin(0.01));
    }
}

// Guards against lost increments and, under TSan, against data races.
TEST_CASE("Metrics can be updated by several threads concurrently")
{
    constexpr std::uint64_t threadCount = 12;
    constexpr std::uint64_t perThread = 5'000;
    MetricsRegistry registry;
    std::vector<std::thread> threads;
    threads.reserve(threadCount);
    for (std::uint64_t t = 0; t < threadCount; ++t) {
        threads.emplace_back([&registry] {
            Counter &counter = registry.counter("n", "");
            Summary &summary = registry.summary("s", "");
            for (std::uint64_t i = 0; i < perThread; ++i) {
                counter.add();
                summary.observe(1);
                if (i % 1000 == 0)
                    (void)registry.text();
            }
        });
    }
    for (auto &thread : threads)
        thread.join();
    CHECK(registry.counter("n", "").value() == threadCount * perThread);
    CHECK(registry.summary("s", "").snapshot().count == threadCount * perThread);
}

TEST_CASE("traceparent")
{
    SECTION("is formatted as it was parsed")
    {
        const auto context = TraceContext::parse(ValidHeader);
        REQUIRE(context);
        CHECK(context->sampled);
        CHECK(context->format() == ValidHeader);
    }
    SECTION("a later version with more fields is read like version 00")
    {
        CHECK(TraceContext::parse("cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"));
    }
    // Guards against out-of-bounds reads and against continuing a trace with an invalid id.
    SECTION("malformed values are rejected and start a new trace")
    {
        Tracer tracer({}, Random(1));
        for (const char *text : {
                     "",
                     "00",
                     "garbage",
                     "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                     "00-00000000000000000000000000000000-b7ad6b7169203331-01",
                     "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
                     "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0x",
                     "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-",
                     "cc-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
                     "zz-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
                     "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
             }) {
            CAPTURE(text);
            CHECK_FALSE(TraceContext::parse(text));
            CHECK(TraceContext::parse(tracer.start("n", text, TimePoint()).context().format()));
        }
    }
}

TEST_CASE("Tracer")
{
    Tracer tracer({.sampleRatio = 1, .capacity = 2, .unixTimeOffset = 5s}, Random(1));
    RecordingExporter exporter;

    SECTION("exports OTLP JSON with parent, times, attributes and status")
    {
        Span span = tracer.start("run", ValidHeader, TimePoint(1s));
        span.setAttribute("tokens", 7);
        span.setError({ResultCode::ConnectionLost, "x"});
        span.end(TimePoint(2s));
        tracer.flush(exporter);
        REQUIRE(exporter.requests.size() == 1);
        const auto spans = spansOf(exporter.requests[0]);
        REQUIRE(spans.size() == 1);
        CHECK(spans[0].at("traceId") == "0af7651916cd43dd8448eb211c80319c");
        CHECK(spans[0].at("parentSpanId") == "b7ad6b7169203331");
        CHECK(spans[0].at("startTimeUnixNano") == "6000000000");
        CHECK(spans[0].at("endTimeUnixNano") == "7000000000");
        CHECK(spans[0].at("attributes").at(0).at("value").at("intValue") == "7");
        CHECK(spans[0].at("status").at("code") == 2);
    }
    SECTION("keeps the caller's decision not to sample")
    {
        const auto header = std::string(ValidHeader).substr(0, 53) + "00";
        tracer.start("run", header, TimePoint()).end(TimePoint());
        tracer.flush(exporter);
        CHECK(exporter.requests.empty());
    }
    // Guards against unbounded memory use while spans are not exported.
    SECTION("drops and counts spans beyond its capacity")
    {
        for (int i = 0; i < 5; ++i)
            tracer.start("run", "", TimePoint()).end(TimePoint());
        CHECK(tracer.dropped() == 3);
        tracer.flush(exporter);
        CHECK(spansOf(exporter.requests.at(0)).size() == 2);
    }
    SECTION("samples the configured fraction of new traces")
    {
        Tracer some({.sampleRatio = 0.1}, Random(1));
        int sampled = 0;
        for (int i = 0; i < 10'000; ++i)
            sampled += some.start("run", "", TimePoint()).context().sampled ? 1 : 0;
        CHECK(sampled == Approx(1000).margin(100));
    }
}

TEST_CASE("Log lines")
{
    static std::ostringstream out;
    out.str({});
    setUpLogging(out);

    SECTION("have event, level and fields")
    {
        logStateChange("drained", {{"host", "h1"}, {"requests", 2}}, LogLevel::Warning);
        const auto line = boost::json::parse(out.str()).as_object();
        CHECK(line.at("event") == "drained");
        CHECK(line.at("level") == "warning");
        CHECK(line.at("host") == "h1");
        CHECK(line.at("requests") == 2);
        CHECK(line.contains("time"));
    }
    // Guards against forged lines and terminal control sequences in untrusted values.
    SECTION("contain no control characters")
    {
        for (const char *text : {"a\nb", "\x1B[31m", "\x7F", "\xC2\x9B", "\xE2\x80\xA8", "\xFF"}) {
            out.str({});
            logStateChange(text, {{text, text}});
            logWithMacro(text);
            const std::string lines = out.str();
            CAPTURE(lines);
            CHECK(std::ranges::count(lines, '\n') == 2);
            CHECK(std::ranges::none_of(
                    lines, [](unsigned char c) { return (c < 0x20 && c != '\n') || c == 0x7F; }));
            const std::size_t middle = lines.find('\n');
            CHECK_NOTHROW(boost::json::parse(lines.substr(0, middle)));
            CHECK(boost::json::parse(lines.substr(middle + 1)).at("event") == "message");
        }
    }
    SECTION("fields cannot replace the event")
    {
        logStateChange("a", {{"event", "b"}});
        CHECK(boost::json::parse(out.str()).at("event") == "a");
    }
    // Guards against interleaved lines of different threads.
    SECTION("lines logged concurrently do not interleave")
    {
        std::vector<std::thread> threads;
        threads.reserve(4);
        for (int t = 0; t < 4; ++t) {
            threads.emplace_back([] {
                for (int i = 0; i < 50; ++i) {
                    // easylogging++ does not serialize different loggers against each other.
                    logStateChange("e", {{"i", i}});
                    logWithMacro("m");
                }
            });
        }
        for (auto &thread : threads)
            thread.join();
        std::istringstream lines(out.str());
        int n = 0;
        for (std::string line; std::getline(lines, line); ++n)
            CHECK_NOTHROW(boost::json::parse(line));
        CHECK(n == 400);
    }
}
