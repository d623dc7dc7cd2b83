#include "requestservice.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

const DeploymentId Assistant("assistant");

/// Records the response to a refused request.
class RecordedReply : public HttpReply
{
public:
    void send(HttpResponse response) override { body = response.body; }
    void start(int, HttpHeaders) override {}
    std::size_t write(std::string) override { return 0; }
    void finish() override {}
    void abort() override {}
    std::size_t queuedBytes() const override { return 0; }
    void onDrained(std::function<void()>) override {}
    void onClosed(std::function<void()>) override {}

    std::string body;
};

HttpRequest makeRequest(const std::string &model)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/v1/completions";
    request.headers.add("X-Customer", "c1");
    request.body = R"({"model":"assistant/)" + model + R"(","prompt":"hello"})";
    return request;
}

HostReport makeReport(const std::string &version)
{
    HostReport report;
    report.host = HostId("h");
    report.incarnation = {1};
    auto &backend = report.backends.emplace_back();
    backend.backend = BackendId("engine");
    backend.up = true;
    backend.loaded = {{ModelId("m"), AdapterId(), VersionId(version)}};
    return report;
}

struct Service
{
    boost::asio::io_context io;
    DaemonSettings settings;
    PeerPool peers{io};
    BackendDirectory directory;
    RefusalLog refusals;
    MetricsRegistry metrics;
    Tracer tracer{{}, Random(1)};
    std::vector<EngineGroup> needed;
    RequestService service{settings,
                           peers,
                           directory,
                           refusals,
                           metrics,
                           tracer,
                           Random(2),
                           [](const std::vector<PoisonRecord> &) {},
                           [this](const EngineGroup &group) { needed.push_back(group); }};
    std::shared_ptr<RecordedReply> reply = std::make_shared<RecordedReply>();

    Service()
    {
        auto configuration = std::make_shared<Configuration>();
        configuration->deployments[Assistant] = {};
        LoadOrder order;
        order.deployment = Assistant;
        order.model = ModelId("m");
        order.version = VersionId("v1");
        configuration->orders[OperationId("o")] = order;
        directory.setConfiguration(configuration);
        directory.setHost(HostId("h"), {"127.0.0.1", 1}, ZoneId("z"), true, true);
    }

    void report(const HostReport &report)
    {
        const TimePoint now = MonotonicClock::now();
        REQUIRE(directory.applyReport(report, now));
        service.onReport(report, now);
    }

    /// Advances the time past the deadlines of all requests.
    void expire() { service.tick(MonotonicClock::now() + 1h); }

    bool replyHas(const std::string &text) const
    {
        return reply->body.find(text) != std::string::npos;
    }
};

} // namespace

// Guards against refusals without a cause, and against a request that waits for engines to which
// this process never subscribes.
TEST_CASE("A request without an eligible engine")
{
    Service it;

    SECTION("asks for more engines and is refused with the reasons")
    {
        it.report(makeReport("v0"));
        it.service.handle(makeRequest("m"), it.reply);
        CHECK(it.needed == std::vector<EngineGroup>{{Assistant, ModelId("m"), AdapterId()}});
        it.expire();
        CHECK(it.replyHas("1 wrong version"));
        CHECK(it.replyHas("not_run"));
    }

    SECTION("names a host that leaves")
    {
        it.report(makeReport("v1"));
        HostReport leaving = makeReport("v1");
        leaving.leaving = true;
        it.report(leaving);
        it.service.handle(makeRequest("m"), it.reply);
        it.expire();
        CHECK(it.replyHas("1 leaving"));
        CHECK(it.service.inProgress() == 0);
    }

    SECTION("asks for engines also if no host reports yet")
    {
        it.service.handle(makeRequest("m"), it.reply);
        it.expire();
        CHECK(it.needed == std::vector<EngineGroup>{{Assistant, ModelId("m"), AdapterId()}});
    }

    SECTION("does not ask for a model that no order names")
    {
        it.report(makeReport("v1"));
        it.service.handle(makeRequest("other"), it.reply);
        CHECK(it.needed.empty());
        it.expire();
        CHECK(it.replyHas("1 wrong model"));
    }
}
