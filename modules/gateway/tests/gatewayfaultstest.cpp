#include "gatewayfixture.h"

#include <catch2/catch.hpp>

using namespace godwit;
using namespace godwit::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t OneMiB = 1024UL * 1024;

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: a\n\n";
}

} // namespace

// Guards against a client that receives the answer to another request: a late copy of it, sent on a
// connection that is in use again.
TEST_CASE("Gateway accepts no success that does not identify its request")
{
    Fixture it;
    it.protocol.identifiesRequests = true;
    it.configure();
    const auto view = it.sendRequest("/book/x");
    it.backendCalls[0]->head(200, {{"seal", "s"}});
    it.backendCalls[0]->data("other");
    it.backendCalls[0]->complete();
    CHECK(view->status == 502);
    CHECK(view->body.find("other") == std::string::npos);

    const auto next = it.sendRequest("/book/x");
    it.backendCalls[1]->head(200, {{"seal", "s"}, {"echo", "r1"}});
    it.backendCalls[1]->data("mine");
    it.backendCalls[1]->complete();
    CHECK(next->status == 200);
    CHECK(next->body == "mine");
}

TEST_CASE("Gateway tells slow streams from stalled ones")
{
    Fixture it;
    it.configure();
    GatewayConfiguration patient = Fixture::configuration(2);
    patient.routes.back().timeout = 60s;
    it.gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(patient)));
    const auto view = it.sendRequest("/stream/x", "k", 60s);
    auto &engine = *it.backendCalls[0];
    engine.head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "4"}});

    // A server that sends a comment or a part of an event now and then would never time out.
    SECTION("bytes that complete no event do not keep a stream alive")
    {
        engine.data(event(1));
        for (int i = 0; i < 10; ++i) {
            it.scheduler.advance(100ms);
            engine.data(i % 2 ? ":" : "x");
        }
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(engine.cancelled);
        CHECK(it.backendCalls[1]->call.headers.value("last") == "1");
    }
    SECTION("nor do they before the first event")
    {
        for (int i = 0; i < 10; ++i) {
            it.scheduler.advance(100ms);
            engine.data(":");
        }
        CHECK(it.backendCalls.size() == 2);
    }
    SECTION("a stream whose events are as slow as usual at its backend server goes on")
    {
        for (int i = 1; i <= 3; ++i) {
            engine.data(event(i));
            it.scheduler.advance(700ms);
        }
        engine.data(event(4));
        it.scheduler.advance(1400ms);
        engine.data(event(5));
        engine.complete();
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->finished);
    }
}

// Guards against memory that grows with every byte that a faulty backend server sends.
TEST_CASE("Gateway limits what it keeps of a response")
{
    Fixture it;
    it.configure();
    const std::string chunk(64UL * 1024, 'x');

    SECTION("a body of undeclared length")
    {
        const auto view = it.sendRequest("/book/x");
        it.backendCalls[0]->head(200, {{"seal", "s"}});
        for (std::size_t sent = 0; sent <= OneMiB && !view->finished; sent += chunk.size())
            it.backendCalls[0]->data(chunk);
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(view->status == 502);
    }
    SECTION("but not a body of a declared length")
    {
        const auto view = it.sendRequest("/book/x");
        it.backendCalls[0]->head(200,
                                 {{"seal", "s"}, {"Content-Length", std::to_string(4 * OneMiB)}});
        for (std::size_t sent = 0; sent < 4 * OneMiB; sent += chunk.size())
            it.backendCalls[0]->data(chunk);
        it.backendCalls[0]->complete();
        CHECK(view->status == 200);
        CHECK(view->body.size() == 4 * OneMiB);
    }
    SECTION("the bodies of all requests together")
    {
        std::size_t refused = 0;
        for (int i = 0; i < 20; ++i) {
            const auto view = it.sendRequest("/book/x");
            auto &call = *it.backendCalls.back();
            call.head(200, {{"seal", "s"}, {"Content-Length", std::to_string(4 * OneMiB)}});
            for (std::size_t sent = 0; sent < 3 * OneMiB && !view->finished; sent += chunk.size())
                call.data(chunk);
            refused += view->status == 502;
        }
        CHECK(refused >= 9);
    }
    SECTION("a response that is not used")
    {
        const auto view = it.sendRequest("/book/x");
        it.backendCalls[0]->head(200, {});
        for (int i = 0; i < 3; ++i)
            it.backendCalls[0]->data(chunk);
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(view->status == 502);
    }
    SECTION("a rejection, which stays one")
    {
        it.sendRequest("/book/x");
        it.backendCalls[0]->head(503, {{"not-run", "1"}});
        for (int i = 0; i < 3; ++i)
            it.backendCalls[0]->data(chunk);
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(it.backendCalls.size() == 2);
    }
}

// Requests with one part in their prompts crash each engine that begins to answer them, and no two
// are alike. Guards against a gateway that sends the next one to the next engine.
TEST_CASE("Gateway stops sending content that crashes backend servers")
{
    Fixture it;
    it.configure();
    int number = 0;
    // The last part of a prompt belongs to its request alone.
    const auto send = [&](const std::string &target, const std::string &parts) {
        auto view = std::make_shared<ClientView>();
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        request.body = std::to_string(++number);
        request.headers = {{"id", "r"}, {"Host", "h"}, {"key", "k"}, {"parts", parts + "l"}};
        it.gateway.handle(std::move(request), view);
        return view;
    };
    const auto answer = [&](BackendCall &call) {
        call.head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        call.data(event(1));
        call.complete();
    };
    send("/stream/x", "ab");
    answer(*it.backendCalls.back());

    SECTION("a resumable request that crashes two of them is not sent to a third one")
    {
        const auto view = send("/stream/x", "acb");
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.backendCalls.size() == 3);
        REQUIRE(it.crashReports.size() == 1);
        CHECK(it.crashReports[0].suspects.size() == 2);
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(it.backendCalls.size() == 3);
        CHECK(view->status == 502);

        SECTION("nor are other requests with its part, of which it is said that they did not run")
        {
            const auto next = send("/stream/y", "acd");
            CHECK(it.backendCalls.size() == 3);
            CHECK(next->status == 503);
            CHECK(next->headers.find("Retry-After"));
        }
        SECTION("while sound ones of the same route, customer and beginning run")
        {
            const auto next = send("/stream/x", "ab");
            REQUIRE(it.backendCalls.size() == 4);
            answer(*it.backendCalls.back());
            CHECK(next->finished);
            CHECK(next->status == 200);
        }
    }
    SECTION("a server that sends the head of its response and ends has crashed as well")
    {
        send("/stream/x", "acb");
        it.backendCalls.back()->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(it.crashReports.size() == 1);
    }
    SECTION("a response that is broken off later was no crash by its request")
    {
        send("/stream/x", "acb");
        it.backendCalls.back()->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        it.backendCalls.back()->data(event(1));
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(it.crashReports.empty());
    }
    SECTION("a report of another process cancels what waits at a backend server")
    {
        send("/stream/x", "acb");
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        const auto waiting = it.backendCalls.back();
        const ContentKey part = it.crashReports.at(0).suspects.at(0);
        CHECK(it.gateway.mergeCrashReport({{BackendId("elsewhere"), 1}, {part}}).empty());
        CHECK(waiting->cancelled);
        CHECK(send("/stream/y", "acd")->status == 503);

        SECTION("until that process says that it is harmless")
        {
            it.gateway.recordHarmless(part);
            const std::size_t calls = it.backendCalls.size();
            send("/stream/y", "acd");
            CHECK(it.backendCalls.size() == calls + 1);
        }
    }
    SECTION("a booking that crashes two servers is not run by a third one")
    {
        const auto book = [&] {
            --number;
            return send("/book/x", "");
        };
        send("/book/x", "");
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        book();
        CHECK(it.backendCalls.size() == 3);
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(book()->status == 503);
        CHECK(it.backendCalls.size() == 3);
    }
}
