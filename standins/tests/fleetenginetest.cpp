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

namespace {

/// One engine of the model service without layers, with version 1 staged.
struct ModelEngine
{
    boost::asio::io_context io;
    FleetLedger ledger;
    FleetEngineStandin engine;
    HttpClient client{io};

    explicit ModelEngine(FleetEngineStandin::Options its = options())
        : engine(io, std::move(its), ledger, [] {})
    {
        const auto started = capture([&]() -> Result<std::monostate> {
            BOOST_LEAF_CHECK(engine.start());
            return std::monostate();
        });
        REQUIRE(succeeded(started));
    }

    static FleetEngineStandin::Options options()
    {
        FleetEngineStandin::Options it;
        it.id = "e1";
        it.service = ModelService;
        it.zone = "zone-0";
        it.listen = {"127.0.0.1", 0};
        it.startTimeMs = 1;
        for (std::uint32_t piece = 0; piece < FleetPieceCount; ++piece)
            it.stagedPieces[piece] = {pieceBytes(1, piece), std::nullopt};
        return it;
    }

    /// Starts a call. The result is empty until the response has arrived.
    std::shared_ptr<std::optional<HttpResponse>> begin(HttpCall call)
    {
        const auto response = std::make_shared<std::optional<HttpResponse>>();
        call.endpoint = engine.endpoint();
        client.call(std::move(call), [response](const Outcome<HttpResponse> &outcome) {
            *response = succeeded(outcome) ? std::get<0>(outcome) : HttpResponse();
        });
        return response;
    }

    HttpResponse call(HttpCall call)
    {
        const auto response = begin(std::move(call));
        runUntil(io, [&] { return response->has_value(); });
        return **response;
    }

    static HttpCall orderCall(const std::string &fields, int expected)
    {
        HttpCall it;
        it.method = "POST";
        it.target = "/godwitrun/order";
        it.body = R"({"op":"start","model":"soak-model","strategy":"wait",)" + fields
                  + R"(,"expected":)" + std::to_string(expected) + '}';
        return it;
    }

    /// Returns the status of the response, after the load has completed.
    int order(const std::string &fields, int expected)
    {
        const int status = call(orderCall(fields, expected)).status;
        runUntil(io, [&] { return report().find(R"("busy":false)") != std::string::npos; });
        return status;
    }

    std::string report()
    {
        HttpCall it;
        it.method = "GET";
        it.target = "/godwitrun/report";
        return call(it).body;
    }

    bool reportsLayers(const std::string &layers)
    {
        return report().find(R"("layers":)" + layers) != std::string::npos;
    }

    static HttpCall streamCall()
    {
        FleetAttempt attempt;
        attempt.id = "r1";
        attempt.kind = FleetRequestKind::Stream;
        attempt.deadlineMs = 6000;
        return makeFleetCall({}, attempt);
    }

    HttpResponse stream() { return call(streamCall()); }

    void put(std::uint32_t piece, std::string bytes)
    {
        HttpCall it;
        it.method = "PUT";
        it.target = "/godwitrun/stage-put/soak-model?num=" + std::to_string(piece);
        it.body = std::move(bytes);
        REQUIRE(call(it).status == 200);
    }

    std::string read(std::uint32_t piece)
    {
        HttpCall it;
        it.method = "GET";
        it.target = "/godwitrun/stage-get/soak-model?num=" + std::to_string(piece);
        return call(it).body;
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

// Each section guards against a stand-in that hides a fault of the product from the soak.
TEST_CASE("An engine of the fleet loads layers")
{
    ModelEngine site;

    SECTION("and rejects requests as not executed until it holds all of them")
    {
        const auto isRejected = [&] {
            const HttpResponse response = site.stream();
            return response.status == 421 && response.headers.find("X-Not-Executed");
        };
        CHECK(isRejected());
        CHECK(site.order(R"("version":1,"from":0,"to":2)", 0) == 202);
        CHECK(site.reportsLayers(R"({"from":0,"to":2,"version":1})"));
        CHECK(isRejected());
        CHECK(site.ledger.runs.empty());
        CHECK(site.engine.servedVersion() == 0);
        CHECK(site.order(R"("version":1,"from":0,"to":5)", 1) == 202);
        CHECK(site.reportsLayers(R"({"from":0,"to":5,"version":1})"));
        CHECK(site.engine.servedVersion() == 1);
        CHECK(site.stream().status == 200);
        CHECK(site.ledger.invalidLoads.empty());
    }
    SECTION("and takes only those that it does not hold yet")
    {
        CHECK(site.order(R"("version":1,"from":0,"to":2)", 0) == 202);
        // Layers 0 and 1 need pieces 0 to 9, layer 2 needs pieces 9 to 14.
        site.engine.corrupt({0, 8});
        CHECK(site.order(R"("version":1)", 1) == 202);
        CHECK(site.stream().status == 200);
        CHECK(site.ledger.runs.back().wrongPieces.empty());
    }
    SECTION("none for an order for those that it holds")
    {
        CHECK(site.order(R"("version":1)", 0) == 202);
        site.engine.corrupt({0});
        CHECK(site.order(R"("version":1)", 1) == 200);
        CHECK(site.order(R"("version":1,"from":0,"to":5)", 1) == 200);
        CHECK(site.ledger.orders == 1);
        CHECK(site.stream().status == 200);
        CHECK(site.ledger.runs.back().wrongPieces.empty());
    }
    SECTION("and drops the others on an order for fewer")
    {
        CHECK(site.order(R"("version":1)", 0) == 202);
        site.engine.corrupt({0});
        CHECK(site.order(R"("version":1,"from":0,"to":3)", 1) == 202);
        CHECK(site.reportsLayers(R"({"from":0,"to":3,"version":1})"));
        CHECK(site.stream().status == 421);
        CHECK(site.order(R"("version":1)", 2) == 202);
        CHECK(site.stream().status == 200);
        CHECK(site.ledger.runs.back().wrongPieces.empty());
    }
    SECTION("and all of them for another version")
    {
        CHECK(site.order(R"("version":1)", 0) == 202);
        for (std::uint32_t piece = 0; piece < FleetPieceCount; ++piece)
            site.put(piece, pieceBytes(2, piece));
        CHECK(site.order(R"("version":2,"from":0,"to":3)", 1) == 202);
        CHECK(site.reportsLayers(R"({"from":0,"to":3,"version":2})"));
        CHECK(site.ledger.invalidLoads.empty());
    }
    SECTION("but not those that do not exist")
    {
        CHECK(site.order(R"("version":1,"from":2,"to":2)", 0) == 400);
        CHECK(site.order(R"("version":1,"from":0,"to":6)", 0) == 400);
        CHECK(site.order(R"("version":1)", 1) == 409);
        CHECK(site.ledger.orders == 0);
    }
}

TEST_CASE("An engine of the fleet states the wrong pieces that a request runs on")
{
    using Fault = FleetWrongPiece::Fault;
    ModelEngine site;
    const auto wrongPieces = [&] {
        CHECK(site.stream().status == 200);
        return site.ledger.runs.back().wrongPieces;
    };

    SECTION("a corrupt one, with the time since when it is, for each layer that needs it")
    {
        const TimePoint before = MonotonicClock::now();
        site.engine.corrupt({9});
        const TimePoint after = MonotonicClock::now();
        // The time of the first fault counts, and a second one does not repair the piece.
        site.engine.corrupt({9});
        CHECK(site.read(9) != pieceBytes(1, 9));
        CHECK(site.read(9).size() == FleetPieceSize);
        CHECK(site.order(R"("version":1)", 0) == 202);
        const auto wrong = wrongPieces();
        REQUIRE(wrong.size() == 2);
        for (std::uint32_t i = 0; i < 2; ++i) {
            CHECK(wrong[i].layer == 1 + i);
            CHECK(wrong[i].piece == 9);
            CHECK(wrong[i].fault == Fault::Corrupt);
            CHECK(wrong[i].corruptSince >= before);
            CHECK(wrong[i].corruptSince <= after);
            CHECK(wrong[i].takenAt >= after);
        }
        CHECK(site.ledger.invalidLoads.empty());
    }
    SECTION("none once the piece is staged again")
    {
        site.engine.corrupt({9});
        site.put(9, pieceBytes(1, 9));
        CHECK(site.read(9) == pieceBytes(1, 9));
        CHECK(site.order(R"("version":1)", 0) == 202);
        CHECK(wrongPieces().empty());
    }
    SECTION("none if it turns corrupt after the engine took it")
    {
        CHECK(site.order(R"("version":1)", 0) == 202);
        site.engine.corrupt({9});
        CHECK(wrongPieces().empty());
    }
    SECTION("one of another version, even if it is corrupt as well")
    {
        site.put(0, pieceBytes(2, 0));
        site.engine.corrupt({0});
        CHECK(site.order(R"("version":1)", 0) == 202);
        const auto wrong = wrongPieces();
        REQUIRE(wrong.size() == 1);
        CHECK(wrong.front().fault == Fault::OtherVersion);
        CHECK(site.ledger.invalidLoads.size() == 1);
    }
    SECTION("a missing one")
    {
        auto options = ModelEngine::options();
        options.stagedPieces.erase(3);
        ModelEngine other(std::move(options));
        CHECK(other.order(R"("version":1)", 0) == 202);
        CHECK(other.stream().status == 200);
        const auto &wrong = other.ledger.runs.back().wrongPieces;
        REQUIRE(wrong.size() == 1);
        CHECK(wrong.front().piece == 3);
        CHECK(wrong.front().fault == Fault::Missing);
        CHECK(other.ledger.invalidLoads.size() == 1);
    }
    SECTION("and all of another version")
    {
        CHECK(site.order(R"("version":2)", 0) == 202);
        CHECK(wrongPieces().size() == 28);
        CHECK(site.ledger.invalidLoads.size() == 1);
    }
}

// Guards against a silence in which the engine accepts an order, or after which it forgets one.
TEST_CASE("A silent engine of the fleet answers and accepts nothing")
{
    ModelEngine site;

    SECTION("until it goes on")
    {
        site.engine.fallSilent(1h);
        const auto response = site.begin(ModelEngine::orderCall(R"("version":1)", 0));
        site.pass(50ms);
        CHECK_FALSE(response->has_value());
        CHECK(site.ledger.orders == 0);
        site.engine.endSilence();
        CHECK(site.ledger.orders == 1);
        runUntil(site.io, [&] { return response->has_value(); });
        CHECK((*response)->status == 202);
    }
    SECTION("and a shorter silence does not end it")
    {
        site.engine.fallSilent(1h);
        site.engine.fallSilent(1ms);
        const auto response = site.begin(ModelEngine::orderCall(R"("version":1)", 0));
        site.pass(50ms);
        CHECK_FALSE(response->has_value());
    }
    SECTION("and sends no further events of a stream")
    {
        CHECK(site.order(R"("version":1)", 0) == 202);
        const auto response = site.begin(ModelEngine::streamCall());
        runUntil(site.io, [&] { return !site.ledger.runs.empty(); });
        site.engine.fallSilent(1h);
        site.pass(500ms);
        CHECK_FALSE(response->has_value());
        site.engine.endSilence();
        runUntil(site.io, [&] { return response->has_value(); });
        CHECK((*response)->body.ends_with(streamEvent("r1", FleetStreamEventCount)));
    }
    SECTION("and states when a request arrived, and when it was answered")
    {
        site.engine.fallSilent(1h);
        const auto response = site.begin(ModelEngine::streamCall());
        site.pass(50ms);
        const TimePoint goesOn = MonotonicClock::now();
        site.engine.endSilence();
        REQUIRE(site.ledger.arrivals.size() == 1);
        CHECK(site.ledger.arrivals.front().at <= goesOn);
        CHECK(site.ledger.arrivals.front().answeredAt >= goesOn);
    }
    SECTION("and takes the pieces as they are when it accepts the order")
    {
        site.engine.setOrderFault(FleetEngineStandin::OrderFault{1h, {9}});
        CHECK(site.read(9) == pieceBytes(1, 9));
        const auto response = site.begin(ModelEngine::orderCall(R"("version":1)", 0));
        site.pass(50ms);
        CHECK(site.ledger.orders == 0);
        CHECK_FALSE(site.engine.options().orderFault);
        site.engine.endSilence();
        CHECK(site.ledger.orders == 1);
        runUntil(site.io, [&] { return site.engine.servedVersion() == 1; });
        CHECK(site.stream().status == 200);
        const auto &wrong = site.ledger.runs.back().wrongPieces;
        REQUIRE(wrong.size() == 2);
        CHECK(wrong.front().takenAt - wrong.front().corruptSince >= 50ms);
        CHECK(site.read(9) != pieceBytes(1, 9));
    }
    SECTION("and accepts an order whose sender has given up")
    {
        site.engine.fallSilent(1h);
        HttpCall call = ModelEngine::orderCall(R"("version":1)", 0);
        call.endpoint = site.engine.endpoint();
        const auto handle = site.client.call(call, [](const Outcome<HttpResponse> &) {});
        site.pass(50ms);
        handle->cancel();
        site.pass(50ms);
        site.engine.endSilence();
        CHECK(site.ledger.orders == 1);
    }
}

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
