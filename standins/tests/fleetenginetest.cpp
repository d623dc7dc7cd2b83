#include "loopback.h"

#include <godwit/gateway/gateway.h>
#include <godwit/platform/platformprotocol.h>
#include <godwit/ports/asioscheduler.h>
#include <godwit/ports/httpclient.h>
#include <godwit/standin/fleetenginestandin.h>

#include <boost/asio/steady_timer.hpp>

using namespace godwit;
using namespace godwit::standin;
using namespace std::chrono_literals;

namespace {

/// Two engines behind a gateway, with real connections between all of them.
struct Site
{
    boost::asio::io_context io;
    AsioScheduler scheduler{io};
    FleetLedger ledger;
    std::vector<std::unique_ptr<FleetEngineStandin>> engines;
    platform::PlatformProtocol protocol;
    MetricsRegistry registry;
    GatewayMetrics metrics{registry};
    HttpClient backendClient{io};
    Gateway gateway{options(),
                    {scheduler, protocol, metrics,
                     [this](HttpCall call, HttpStreamHandlers handlers) {
                         return backendClient.stream(std::move(call), std::move(handlers));
                     }},
                    Random(5)};
    std::unique_ptr<HttpServer> entry;
    HttpClient client{io};
    int sent = 0;

    Site()
    {
        GatewayConfiguration configuration;
        configuration.version = 1;
        Route route;
        route.host = "soak.example";
        route.prefix = "/look/";
        route.kind = RouteKind::Safe;
        route.timeout = 6s;
        route.objective = 400ms;
        route.maxAttempts = 3;
        route.targets = {{std::string(BookingService), 1}};
        configuration.routes = {route};
        gateway.setConfiguration(std::make_shared<const RouteTable>(configuration));
        gateway.onConfigurationConfirmed(scheduler.now());
        for (int i = 1; i <= 2; ++i)
            startEngine("e" + std::to_string(i));
        HttpServerOptions serverOptions;
        serverOptions.listen = {"127.0.0.1", 0};
        auto listening = capture([&] {
            return HttpServer::listen(
                    io, serverOptions,
                    [this](HttpRequest request, std::shared_ptr<HttpReply> reply) {
                        gateway.handle(std::move(request), std::move(reply));
                    });
        });
        REQUIRE(succeeded(listening));
        entry = std::move(std::get<0>(listening));
    }

    static GatewayOptions options()
    {
        GatewayOptions it;
        it.retryBudget = {0.2, 1600, 10s};
        return it;
    }

    void startEngine(const std::string &id)
    {
        FleetEngineStandin::Options it;
        it.id = id;
        it.service = BookingService;
        it.zone = "zone-0";
        it.listen = {"127.0.0.1", 0};
        it.startTimeMs = 1;
        engines.push_back(std::make_unique<FleetEngineStandin>(io, it, ledger, [] {}));
        const auto started = capture([&]() -> Result<std::monostate> {
            BOOST_LEAF_CHECK(engines.back()->start());
            return std::monostate();
        });
        REQUIRE(succeeded(started));
        announce(engines.size() - 1);
    }

    void announce(std::size_t engine)
    {
        BackendRecord record;
        record.id = BackendId(engines[engine]->options().id);
        record.service = BookingService;
        record.endpoint = engines[engine]->endpoint();
        record.slots = 8;
        record.startTimeMs = engines[engine]->options().startTimeMs;
        gateway.backends().update(record, scheduler.now());
    }

    /// Sends \a n requests at once and returns their responses.
    std::vector<HttpResponse> fetch(int n)
    {
        std::vector<HttpResponse> responses;
        for (int i = 0; i < n; ++i) {
            FleetAttempt attempt;
            attempt.id = "r" + std::to_string(++sent);
            attempt.deadlineMs = 6000;
            client.call(makeFleetCall(entry->endpoint(), attempt),
                        [&](const Outcome<HttpResponse> &outcome) {
                            responses.push_back(succeeded(outcome) ? std::get<0>(outcome)
                                                                   : HttpResponse());
                        });
        }
        runUntil(io, [&] { return responses.size() == static_cast<std::size_t>(n); });
        return responses;
    }

    bool allSucceed(int n)
    {
        return std::ranges::all_of(fetch(n), [](const auto &it) { return it.status == 200; });
    }

    void pass(Duration time)
    {
        bool isOver = false;
        boost::asio::steady_timer timer(io, time);
        timer.async_wait([&](const boost::system::error_code &) { isOver = true; });
        runUntil(io, [&] { return isOver; });
    }
};

} // namespace

TEST_CASE("A gateway keeps to what engines state over real connections")
{
    Site site;
    FleetEngineStandin &first = *site.engines[0];
    REQUIRE(site.allSucceed(6));
    REQUIRE(first.receivedRequests() > 0);

    // Guards against requests to an engine that drains, while its record still says ready.
    SECTION("one that leaves gets nothing after its next response")
    {
        first.setLeaving();
        CHECK(site.allSucceed(6));
        const std::size_t received = first.receivedRequests();
        CHECK(site.allSucceed(8));
        site.gateway.backends().remove(BackendId("e1"));
        site.announce(0);
        CHECK(site.allSucceed(8));
        CHECK(first.receivedRequests() == received);
    }
    // Guards against requests before the end of the time.
    SECTION("one with a retry time gets nothing before it is over")
    {
        first.setRetryAfter("60");
        CHECK(site.allSucceed(6));
        const std::size_t received = first.receivedRequests();
        first.setRetryAfter(std::nullopt);
        // Longer than the backoff after a rejection.
        site.pass(1300ms);
        CHECK(site.allSucceed(8));
        CHECK(first.receivedRequests() == received);
    }
    // Guards against an engine that is lost for good, also after malformed values.
    SECTION("one is used again after its retry time")
    {
        const std::string value = GENERATE("0", "0.3", "-5", "soon", "1e9", "", "0.1, 0.2",
                                           "Fri, 04 Dec 2026 22:18:08 GMT");
        CAPTURE(value);
        first.setRetryAfter(value);
        CHECK(site.allSucceed(6));
        first.setRetryAfter(std::nullopt);
        const std::size_t received = first.receivedRequests();
        constexpr int MaxRounds = 100;
        for (int i = 0; i < MaxRounds && first.receivedRequests() == received; ++i) {
            site.pass(50ms);
            site.fetch(2);
        }
        REQUIRE(first.receivedRequests() > received);
    }
    SECTION("if both leave, requests are refused at once with a Retry-After")
    {
        for (const auto &it : site.engines)
            it->setLeaving();
        CHECK(site.allSucceed(6));
        const std::size_t received = site.ledger.runs.size();
        const auto responses = site.fetch(4);
        CHECK(site.ledger.runs.size() == received);
        for (const HttpResponse &it : responses) {
            CHECK(it.status == 503);
            CHECK(it.headers.find("Retry-After"));
        }
    }
}
