#include "gatewayfixture.h"

#include <godwit/base/resultcode.h>

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::test;

namespace {

/// The route of unsafe requests has no timeout of its own that is shorter than those of clients.
struct ShutdownFixture : Fixture
{
    ShutdownFixture()
    {
        configure();
        GatewayConfiguration configuration = Fixture::configuration(2);
        for (Route &it : configuration.routes) {
            it.timeout = 6s;
            it.objective = 6s;
        }
        gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(configuration)));
    }

    /// Begins a shutdown in which requests are late after 2.5 s and must be answered after 7 s.
    void beginShutdown()
    {
        gateway.beginShutdown({scheduler.now() + 2500ms, scheduler.now() + 7s});
    }

    int code(const ClientView &client) const
    {
        const auto at = client.body.find("\"code\":");
        return at == std::string::npos ? 0 : std::stoi(client.body.substr(at + 7));
    }
};

} // namespace

// Guards against requests, also ones that must not be repeated, that are forwarded late in the
// grace period of a planned stop and cut off without an answer at its end.
TEST_CASE("Gateway answers all requests before its process ends")
{
    ShutdownFixture f;
    constexpr Duration AnswerGrace = 120ms; // That engines get beyond the deadline.

    SECTION("a request that may have run gets 504")
    {
        f.beginShutdown();
        f.scheduler.advance(2s);
        const auto client = f.sendRequest("/book/1", "k", 6s);
        REQUIRE(f.backendCalls.size() == 1);
        CHECK(f.backendCalls[0]->call.headers.value("left")
              == std::to_string(Duration(5s).count()));
        f.scheduler.advance(5s + AnswerGrace);
        CHECK(client->status == 504);
        CHECK(f.backendCalls[0]->cancelled);
        CHECK(f.gateway.inProgress() == 0);
    }
    SECTION("also one that was in progress when the shutdown began")
    {
        const auto client = f.sendRequest("/book/1", "k", 6s);
        f.gateway.beginShutdown({f.scheduler.now() + 1s, f.scheduler.now() + 3s});
        f.scheduler.advance(3s + AnswerGrace);
        CHECK(client->status == 504);
        CHECK(f.gateway.inProgress() == 0);
    }
    SECTION("a stream is broken off")
    {
        f.beginShutdown();
        f.scheduler.advance(2s);
        const auto client = f.sendRequest("/stream/1", "k", 6s);
        f.backendCalls.at(0)->head(200, {{"seal", "s"}, {"events", "1"}});
        for (int i = 0; i < 50; ++i) {
            f.backendCalls[0]->data("data: x\n\n");
            f.scheduler.advance(100ms);
        }
        CHECK_FALSE(client->aborted);
        f.scheduler.advance(AnswerGrace);
        CHECK(client->aborted);
        CHECK(f.gateway.inProgress() == 0);
    }
    SECTION("a request with an earlier deadline keeps it")
    {
        f.beginShutdown();
        const auto client = f.sendRequest("/book/1", "k", 3s);
        f.scheduler.advance(3s);
        CHECK_FALSE(client->finished);
        f.scheduler.advance(AnswerGrace);
        CHECK(client->status == 504);
    }
    SECTION("a late request that may not be complete in time is refused as not run")
    {
        f.beginShutdown();
        f.scheduler.advance(2500ms);
        const auto target = GENERATE("/book/1", "/safe/1", "/stream/1");
        const auto client = f.sendRequest(target, "k", 4501ms);
        CHECK(client->status == 503);
        CHECK(f.code(*client) == static_cast<int>(ResultCode::ProcessLeaving));
        REQUIRE(client->headers.find("Retry-After"));
        CHECK(std::stod(*client->headers.find("Retry-After")) <= 0.2);
        CHECK(f.backendCalls.empty());
    }
    SECTION("a late request whose deadline is in time is served")
    {
        f.beginShutdown();
        f.scheduler.advance(2500ms);
        const auto client = f.sendRequest("/book/1", "k", 4500ms);
        REQUIRE(f.backendCalls.size() == 1);
        f.backendCalls[0]->respond(200, "x");
        CHECK(client->status == 200);
    }
    SECTION("a late request without a key is denied as before")
    {
        f.gateway.onConfigurationConfirmed(f.scheduler.now());
        f.beginShutdown();
        f.scheduler.advance(2500ms);
        f.gateway.onConfigurationConfirmed(f.scheduler.now());
        CHECK(f.sendRequest("/book/1", "unknown", 6s)->status == 401);
    }
}
