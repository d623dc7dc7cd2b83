#include "gatewayfixture.h"
#include "loopback.h"

#include <godwit/ports/httpclient.h>

#include <catch2/catch.hpp>

#include <set>

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

// Guards against a late copy of the refusal of an earlier request on the same connection: the
// client was told that its request had not run, or it ran a second time at another backend server.
TEST_CASE("Gateway believes no refusal or error that does not identify its request")
{
    Fixture it;
    it.protocol.identifiesRequests = true;
    it.configure();
    const HttpHeaders refusal{{"not-run", "1"}};
    const HttpHeaders ownRefusal{{"not-run", "1"}, {"echo", "r1"}};
    const auto respond = [&it](std::size_t attempt, int status, const HttpHeaders &headers) {
        it.backendCalls[attempt]->head(status, headers);
        it.backendCalls[attempt]->data("other");
        it.backendCalls[attempt]->complete();
    };

    SECTION("a refusal leaves open whether the request has run")
    {
        const int status = GENERATE(503, 421, 429, 408);
        const auto view = it.sendRequest("/book/x");
        respond(0, status, refusal);
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 502);
    }
    SECTION("also if it identifies another request")
    {
        const auto view = it.sendRequest("/book/x");
        respond(0, 503, {{"not-run", "1"}, {"echo", "r0"}});
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 502);
    }
    SECTION("a refusal without an end leaves it open as well")
    {
        const auto view = it.sendRequest("/book/x");
        it.backendCalls[0]->head(503, refusal);
        it.backendCalls[0]->data(std::string(128UL * 1024, 'x'));
        CHECK(it.backendCalls.size() == 1);
        CHECK(view->status == 502);
    }
    SECTION("an error is not passed on")
    {
        const int status = GENERATE(400, 404, 500, 503);
        const auto view = it.sendRequest("/book/x");
        respond(0, status, {{"seal", "s"}});
        CHECK(view->status == 502);
        CHECK(view->body.find("other") == std::string::npos);
    }
    SECTION("a repeatable request is sent elsewhere, but counts as possibly run")
    {
        const auto view = it.sendRequest("/safe/x");
        respond(0, 503, refusal);
        REQUIRE(it.backendCalls.size() == 2);
        respond(1, 503, refusal);
        CHECK(it.backendCalls.size() == 2);
        CHECK(view->status == 502);
    }
    SECTION("a refusal that identifies the request is believed")
    {
        const auto view = it.sendRequest("/book/x");
        respond(0, 503, ownRefusal);
        REQUIRE(it.backendCalls.size() == 2);
        respond(1, 200, {{"seal", "s"}, {"echo", "r1"}});
        CHECK(view->status == 200);
    }
}

// Guards against a client that is told by the status that its request has not run, although the
// backend server does not say so, or says so of a request to which it sends a result.
TEST_CASE("Gateway accepts no response that contradicts itself about the execution of the request")
{
    Fixture it;
    it.configure();
    struct Row
    {
        int status;
        HttpHeaders headers;
    };
    const auto row =
            GENERATE(Row{503, {{"seal", "s"}}}, Row{200, {{"seal", "s"}, {"not-run", "1"}}});
    const auto view = it.sendRequest("/book/x");
    it.backendCalls[0]->head(row.status, row.headers);
    it.backendCalls[0]->complete();
    CHECK(it.backendCalls.size() == 1);
    CHECK(view->status == 502);
}

// Guards against a client that finds an error of another backend server in the middle of its
// stream, or whose stream ends as if it were complete.
TEST_CASE("Gateway continues a stream only with events")
{
    Fixture it;
    it.configure();
    GatewayConfiguration configuration = Fixture::configuration(2);
    configuration.routes.back().maxAttempts = 3;
    it.gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(configuration)));
    const HttpHeaders eventHead{{"seal", "s"}, {"events", "1"}, {"weights", "4"}};
    const auto view = it.sendRequest("/stream/x");
    it.backendCalls[0]->head(200, eventHead);
    it.backendCalls[0]->data(event(1) + "id: 2\nda");
    it.backendCalls[0]->fail(ResultCode::PlatformReplyLost);
    REQUIRE(it.backendCalls.size() == 2);
    auto &second = *it.backendCalls[1];

    struct Row
    {
        const char *what;
        int status;
        HttpHeaders headers;
        std::string body;
    };
    const auto row = GENERATE(
            Row{"an error with a length",
                500,
                {{"seal", "s"}, {"Content-Length", "5"}, {"weights", "4"}},
                "error"},
            Row{"an error in chunks",
                500,
                {{"seal", "s"}, {"Transfer-Encoding", "chunked"}, {"weights", "4"}},
                "error"},
            Row{"an error without a length", 500, {{"seal", "s"}, {"weights", "4"}}, "error"},
            Row{"an error as an event",
                500,
                {{"seal", "s"}, {"events", "1"}, {"weights", "4"}},
                "id: 2\ndata: error\n\n"},
            Row{"an error of the client", 404, {{"seal", "s"}, {"weights", "4"}}, "error"},
            Row{"a refusal with a body", 503, {{"not-run", "1"}}, "error"},
            Row{"a refusal as an event",
                503,
                {{"not-run", "1"}, {"events", "1"}, {"weights", "4"}},
                "id: 2\ndata: error\n\n"},
            Row{"a success that is no stream", 200, {{"seal", "s"}, {"weights", "4"}}, "error"},
            Row{"a success without a signature",
                200,
                {{"events", "1"}, {"weights", "4"}},
                "id: 2\ndata: error\n\n"},
            Row{"a stream without events",
                200,
                {{"seal", "s"}, {"events", "1"}, {"weights", "4"}},
                ""},
            Row{"a stream that repeats the events before it",
                200,
                {{"seal", "s"}, {"events", "1"}, {"weights", "4"}},
                "id: 1\ndata: a\n\n"},
            Row{"a stream that ends in its first event",
                200,
                {{"seal", "s"}, {"events", "1"}, {"weights", "4"}},
                "id: 2\ndata: a\n"});
    INFO(row.what);
    second.head(row.status, row.headers);
    second.data(row.body);
    CHECK(view->body == event(1));

    SECTION("and resumes it elsewhere otherwise")
    {
        second.complete();
        CHECK_FALSE(view->finished);
        CHECK_FALSE(view->aborted);
        REQUIRE(it.backendCalls.size() == 3);
        CHECK(it.backendCalls[2]->call.headers.value("last") == "1");
        it.backendCalls[2]->head(200, eventHead);
        it.backendCalls[2]->data(event(2));
        it.backendCalls[2]->complete();
        CHECK(view->body == event(1) + event(2));
        CHECK(view->finished);
    }
    SECTION("or breaks it off")
    {
        second.complete();
        REQUIRE(it.backendCalls.size() == 3);
        it.backendCalls[2]->head(500, {{"seal", "s"}});
        it.backendCalls[2]->data("error");
        it.backendCalls[2]->complete();
        CHECK(view->body == event(1));
        CHECK(view->aborted);
        CHECK_FALSE(view->finished);
    }
    SECTION("also if the response is lost midway")
    {
        second.fail(ResultCode::PlatformReplyLost);
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(view->body == event(1));
        CHECK(view->aborted);
        CHECK_FALSE(view->finished);
    }
}

// Guards against a client that gets a part of a response framed as a whole one, because the backend
// server stopped within the header, a chunk header, the trailer or the body, or was reset.
TEST_CASE("Gateway passes on only complete responses of a server that stops at any byte")
{
    struct Row
    {
        const char *what;
        const char *target;
        std::string response;
        std::string body;
        std::vector<std::size_t> completeLengths; ///< At which a close by FIN is a proper end.
    };
    const auto range = [](std::size_t first, std::size_t last) {
        std::vector<std::size_t> lengths;
        for (std::size_t n = first; n <= last; ++n)
            lengths.push_back(n);
        return lengths;
    };
    const std::string plain = "HTTP/1.1 200 OK\r\nseal: s\r\n";
    const std::string withLength = plain + "Content-Length: 5\r\n\r\nwhole";
    const std::string chunked =
            plain + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n" + "a: b\r\n\r\n";
    const std::string stream = plain + "events: 1\r\n";
    const std::string events = event(1) + event(2);
    const std::string streamWithLength =
            stream + "Content-Length: " + std::to_string(events.size()) + "\r\n\r\n" + events;
    const std::string streamInChunks =
            stream + "Transfer-Encoding: chunked\r\n\r\n1e\r\n" + events + "\r\n0\r\n\r\n";
    const std::string unframedStream = stream + "\r\n" + events;
    const std::size_t firstEventEnd = unframedStream.size() - event(2).size();
    const auto row = GENERATE_COPY(
            Row{"with a length", "/book/x", withLength, "whole", {withLength.size()}},
            Row{"in chunks", "/book/x", chunked, "whole", {chunked.size()}},
            Row{"without a length", "/book/x", plain + "\r\nwhole", "whole",
                range(plain.size() + 2, plain.size() + 7)},
            Row{"a stream with a length",
                "/stream/x",
                streamWithLength,
                events,
                {streamWithLength.size()}},
            Row{"a stream in chunks", "/stream/x", streamInChunks, events, {streamInChunks.size()}},
            Row{"a stream without a length",
                "/stream/x",
                unframedStream,
                events,
                {firstEventEnd, unframedStream.size()}});
    REQUIRE(events.size() == 0x1e);
    const auto close = GENERATE(ClosingServer::Close::Fin, ClosingServer::Close::Reset);
    const bool isReset = close == ClosingServer::Close::Reset;
    for (std::size_t n = 0; n <= row.response.size(); ++n) {
        INFO(row.what << ", closed after " << n << " bytes" << (isReset ? " by a reset" : ""));
        Fixture it;
        it.configure();
        boost::asio::io_context io;
        ClosingServer server(io, row.response.substr(0, n), close);
        HttpClient client(io);
        const auto view = it.sendRequest(row.target);
        REQUIRE(it.backendCalls.size() == 1);
        HttpCall call = it.backendCalls[0]->call;
        call.endpoint = server.endpoint();
        HttpStreamHandlers handlers = it.backendCalls[0]->handlers;
        bool hasEnded = false;
        handlers.onEnd = [&, onEnd = handlers.onEnd](const Outcome<std::monostate> &outcome) {
            hasEnded = true;
            onEnd(outcome);
        };
        client.stream(std::move(call), std::move(handlers));
        runUntil(io, [&] { return hasEnded; });

        const bool isComplete =
                std::ranges::find(row.completeLengths, n) != row.completeLengths.end();
        const bool isSuccess = view->finished && view->status == 200;
        const bool isUnframed = row.completeLengths.size() > 1;
        CHECK(row.body.starts_with(view->status == 200 ? view->body : ""));
        if (isReset && (isUnframed || !isComplete))
            CHECK_FALSE(isSuccess);
        else if (!isReset)
            CHECK(isSuccess == isComplete);
    }
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
        CHECK(it.backendCalls[1]->call.headers.value("last") == "1");
        CHECK(view->body == event(1));
        it.backendCalls[1]->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "4"}});
        it.backendCalls[1]->data(event(2));
        CHECK(engine.cancelled);
        CHECK(view->body == event(1) + event(2));
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

// Guards against callers that lose the answer of a sound server: it fell silent for a second, and
// the request was given up although nothing else could answer it.
TEST_CASE("Gateway ends no attempt for silence before another server can take its place")
{
    Fixture it;
    it.configure();
    GatewayConfiguration patient = Fixture::configuration(2);
    for (Route &route : patient.routes)
        route.timeout = 20s;
    it.gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(patient)));
    const HttpHeaders eventHead{{"seal", "s"}, {"events", "1"}, {"weights", "4"}};
    const auto spendRetryBudget = [&it] {
        while (it.gateway.retryBudget().tryAcquire("desk", it.scheduler.now())) {
        }
    };
    const auto keepOneBackend = [&it](const std::string &kept) {
        for (const char *id : {"b1", "b2", "b3"}) {
            if (id != kept)
                it.gateway.backends().remove(BackendId(id));
        }
    };

    SECTION("a request that waits for its response")
    {
        const std::string target = GENERATE("/safe/x", "/stream/x");
        const auto view = it.sendRequest(target, "k", 20s);
        auto &engine = *it.backendCalls[0];
        SECTION("waits on without a retry budget")
        {
            spendRetryBudget();
        }
        SECTION("waits on if no other server can accept it")
        {
            keepOneBackend(engine.backend());
        }
        CHECK(engine.call.idleTimeout >= 20s); // Otherwise the HTTP client ends the call.
        it.scheduler.advance(1500ms);
        CHECK(it.backendCalls.size() == 1);
        CHECK_FALSE(engine.cancelled);
        CHECK(view->status == 0);
        if (target == "/safe/x") {
            engine.respond(200, "late");
            CHECK(view->body == "late");
        } else {
            engine.head(200, eventHead);
            engine.data(event(1));
            engine.complete();
            CHECK(view->body == event(1));
        }
        CHECK(view->finished);
        CHECK(it.gateway.inProgress() == 0);
    }
    SECTION("a request that waits is sent elsewhere as soon as another server can accept it")
    {
        const auto view = it.sendRequest("/safe/x", "k", 20s);
        auto &engine = *it.backendCalls[0];
        keepOneBackend(engine.backend());
        it.scheduler.advance(1000ms);
        REQUIRE(it.backendCalls.size() == 1);
        it.gateway.backends().update({BackendId("b9"),
                                      "desk",
                                      {"10.0.0.9", 80},
                                      ZoneId("z"),
                                      6,
                                      false,
                                      1,
                                      {},
                                      std::nullopt},
                                     it.scheduler.now());
        it.scheduler.advance(500ms);
        REQUIRE(it.backendCalls.size() == 2);
        CHECK(engine.cancelled);
        it.backendCalls[1]->respond(200, "other");
        CHECK(view->body == "other");
    }
    SECTION("a stream that has begun")
    {
        const auto view = it.sendRequest("/stream/x", "k", 20s);
        auto &engine = *it.backendCalls[0];
        engine.head(200, eventHead);
        engine.data(event(1) + "id: 2\nda");
        SECTION("waits on without a retry budget")
        {
            spendRetryBudget();
            it.scheduler.advance(1200ms);
            CHECK(it.backendCalls.size() == 1);
        }
        SECTION("waits on if no other server can accept it")
        {
            keepOneBackend(engine.backend());
            it.scheduler.advance(1200ms);
            CHECK(it.backendCalls.size() == 1);
        }
        SECTION("goes on at its server if that one is the first to send an event")
        {
            it.scheduler.advance(1200ms);
            REQUIRE(it.backendCalls.size() == 2);
            engine.data("ta: a");
            CHECK_FALSE(it.backendCalls[1]->cancelled);
            engine.data("\n\n");
            CHECK(it.backendCalls[1]->cancelled);
            it.backendCalls[1]->fail(ResultCode::CallCancelled);
            CHECK(view->body == event(1) + event(2));
            engine.data(event(3));
            engine.complete();
            CHECK(view->body == event(1) + event(2) + event(3));
            CHECK(view->finished);
            CHECK(it.gateway.inProgress() == 0);
            return;
        }
        SECTION("goes on at its server if the other one rejects it")
        {
            it.scheduler.advance(1200ms);
            REQUIRE(it.backendCalls.size() == 2);
            spendRetryBudget();
            it.backendCalls[1]->reject(503);
        }
        SECTION("goes on at its server if the other one breaks off")
        {
            it.scheduler.advance(1200ms);
            REQUIRE(it.backendCalls.size() == 2);
            it.backendCalls[1]->head(200, eventHead);
            it.backendCalls[1]->data("id: 2\nda");
            it.backendCalls[1]->fail(ResultCode::PlatformReplyLost);
        }
        CHECK_FALSE(engine.cancelled);
        CHECK_FALSE(view->aborted);
        engine.data("ta: a\n\n");
        engine.complete();
        CHECK(view->body == event(1) + event(2));
        CHECK(view->finished);
        CHECK(it.gateway.inProgress() == 0);
    }
    // Guards against an event that is made of parts of two runs.
    SECTION("a partial first event of a silent server is not joined with that of the next one")
    {
        const auto view = it.sendRequest("/stream/x", "k", 20s);
        it.backendCalls[0]->head(200, eventHead);
        it.backendCalls[0]->data("id: 1\nda");
        it.scheduler.advance(1200ms);
        REQUIRE(it.backendCalls.size() == 2);
        it.backendCalls[1]->head(200, eventHead);
        it.backendCalls[1]->data(event(1));
        it.backendCalls[1]->complete();
        CHECK(view->body == event(1));
    }
    // Guards against a call that nobody cancels, and against bytes that are passed on without a
    // look at the head of their response.
    SECTION("a silent attempt to resume a stream gives way to the next one")
    {
        GatewayConfiguration configuration = Fixture::configuration(3);
        configuration.routes.back().maxAttempts = 3;
        configuration.routes.back().timeout = 20s;
        it.gateway.setConfiguration(std::make_shared<const RouteTable>(std::move(configuration)));
        const auto view = it.sendRequest("/stream/x", "k", 20s);
        auto &engine = *it.backendCalls[0];
        engine.head(200, eventHead);
        engine.data(event(1));
        it.scheduler.advance(2500ms);
        REQUIRE(it.backendCalls.size() == 3);
        CHECK(it.backendCalls[1]->cancelled);
        CHECK_FALSE(engine.cancelled);
        it.backendCalls[1]->head(200, {{"events", "1"}});
        it.backendCalls[1]->data(event(7));
        CHECK(view->body == event(1));
        it.backendCalls[2]->head(200, eventHead);
        it.backendCalls[2]->data(event(2));
        it.backendCalls[2]->complete();
        CHECK(engine.cancelled);
        CHECK(view->body == event(1) + event(2));
        CHECK(view->finished);
        for (const char *id : {"b1", "b2", "b3"})
            CHECK(it.gateway.backends().inProgress(BackendId(id)) == 0);
    }
    // Guards against a sound server that gets no requests for seconds after a silence of one.
    SECTION("many requests at a silent server do not keep it out of use afterwards")
    {
        keepOneBackend("b1");
        for (int i = 0; i < 6; ++i)
            it.sendRequest("/safe/x", "k", 20s);
        REQUIRE(it.backendCalls.size() == 6);
        it.scheduler.advance(1500ms);
        for (const auto &call : std::vector(it.backendCalls))
            call->respond(200, "late");
        it.gateway.backends().update({BackendId("b2"),
                                      "desk",
                                      {"10.0.0.2", 80},
                                      ZoneId("other"),
                                      6,
                                      false,
                                      1,
                                      {},
                                      std::nullopt},
                                     it.scheduler.now());
        std::set<std::string> used;
        for (int i = 0; i < 8; ++i) {
            it.sendRequest("/safe/x", "k", 20s);
            used.insert(it.backendCalls.back()->backend());
        }
        CHECK(used.contains("b1"));
    }
    SECTION("a stream with two attempts")
    {
        const auto view = it.sendRequest("/stream/x", "k", 20s);
        auto &engine = *it.backendCalls[0];
        engine.head(200, eventHead);
        engine.data(event(1));
        it.scheduler.advance(1200ms);
        REQUIRE(it.backendCalls.size() == 2);
        auto &second = *it.backendCalls[1];
        SECTION("ends the first one when the second one sends an event")
        {
            second.head(200, eventHead);
            CHECK_FALSE(engine.cancelled);
            second.data(event(2));
            CHECK(engine.cancelled);
            engine.fail(ResultCode::CallCancelled);
            second.complete();
            CHECK(view->body == event(1) + event(2));
            CHECK(view->finished);
        }
        SECTION("goes on at the second one if the first one breaks off")
        {
            engine.fail(ResultCode::PlatformReplyLost);
            CHECK_FALSE(view->aborted);
            CHECK_FALSE(second.cancelled);
            second.head(200, eventHead);
            second.data(event(2));
            second.complete();
            CHECK(view->body == event(1) + event(2));
            CHECK(view->finished);
        }
        SECTION("is broken off if both end")
        {
            engine.fail(ResultCode::PlatformReplyLost);
            second.fail(ResultCode::PlatformReplyLost);
            CHECK(view->aborted);
        }
        SECTION("ends with the last event of the first one")
        {
            engine.data(event(2));
            engine.complete();
            CHECK(second.cancelled);
            CHECK(view->body == event(1) + event(2));
            CHECK(view->finished);
        }
        SECTION("ends with the close of the first one")
        {
            engine.complete();
            CHECK(second.cancelled);
            CHECK(view->body == event(1));
            CHECK(view->finished);
        }
        SECTION("is cancelled at both servers when its client leaves")
        {
            view->closed();
            CHECK(engine.cancelled);
            CHECK(second.cancelled);
        }
        SECTION("is broken off at both servers at its deadline")
        {
            it.scheduler.advance(20s);
            CHECK(engine.cancelled);
            CHECK(second.cancelled);
            CHECK(view->aborted);
        }
        CHECK(it.gateway.inProgress() == 0);
        for (const char *id : {"b1", "b2", "b3"})
            CHECK(it.gateway.backends().inProgress(BackendId(id)) == 0);
    }
}

// A repeatable request that failed at the only backend server got 502 instead of its response.
TEST_CASE("Gateway passes an error on if no other backend server can accept the request")
{
    Fixture it;
    it.configure();
    it.gateway.backends().remove(BackendId("b2"));
    it.gateway.backends().remove(BackendId("b3"));
    const auto view = it.sendRequest("/safe/x");
    it.backendCalls[0]->respond(500, "full bin");
    CHECK(it.backendCalls.size() == 1);
    CHECK(view->status == 500);
    CHECK(view->body == "full bin");
    CHECK(it.gateway.inProgress() == 0);
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
        std::vector<decltype(it.sendRequest("/book/x"))> views;
        for (int i = 0; i < 20; ++i) {
            views.push_back(it.sendRequest("/book/x"));
            auto &call = *it.backendCalls.back();
            call.head(200, {{"seal", "s"}, {"Content-Length", std::to_string(4 * OneMiB)}});
            for (std::size_t sent = 0; sent < 3 * OneMiB && !views.back()->finished;
                 sent += chunk.size())
                call.data(chunk);
        }
        // Each of the others holds 3 of the 32 MiB.
        CHECK(std::ranges::count_if(views, [](const auto &view) { return view->status == 502; })
              >= 9);
    }
    // A backend server that sends bytes without end must not end the requests of other clients.
    SECTION("the longest one first")
    {
        const auto endless = it.sendRequest("/book/x");
        it.backendCalls[0]->head(
                200, {{"seal", "s"}, {"Content-Length", std::to_string(1024 * OneMiB)}});
        for (std::size_t sent = 0; sent < 32 * OneMiB; sent += chunk.size())
            it.backendCalls[0]->data(chunk);
        REQUIRE_FALSE(endless->finished);
        const auto view = it.sendRequest("/book/x");
        it.backendCalls[1]->head(200, {{"seal", "s"}, {"Content-Length", "65536"}});
        it.backendCalls[1]->data(chunk);
        it.backendCalls[1]->complete();
        CHECK(view->status == 200);
        CHECK(view->body == chunk);
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(endless->status == 502);
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
    SECTION("an event")
    {
        const auto view = it.sendRequest("/stream/x");
        it.backendCalls[0]->head(200, {{"seal", "s"}, {"events", "1"}});
        it.backendCalls[0]->data("data: ");
        for (int i = 0; i < 3; ++i)
            it.backendCalls[0]->data(chunk);
        CHECK(it.backendCalls[0]->cancelled);
        CHECK(it.backendCalls.size() == 2);
        CHECK(view->body.empty());
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
    // A faulty server or one at its deadline reports an error before it begins to write an answer.
    // Guards against a part that counts as harmless for good because of such a response.
    SECTION("an error of a server is no answer to the content of the request")
    {
        const int status = GENERATE(400, 500, 504);
        send("/stream/x", "acb");
        it.backendCalls.back()->respond(status, "error");
        send("/stream/x", "acb");
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        CHECK(send("/stream/y", "acb")->status == 503);
    }
    // The end of such a connection is no error of the transport. Guards against a server whose
    // crashes are not seen because its streams have neither a length nor chunks.
    SECTION("also if the end of the connection would end the response")
    {
        const auto head = [&](HttpHeaders framing) {
            send("/stream/x", "acb");
            framing.add("seal", "s");
            framing.add("events", "1");
            it.backendCalls.back()->head(200, framing);
        };
        head({});
        it.backendCalls.back()->complete();
        CHECK(it.crashReports.size() == 1);
        head({});
        it.backendCalls.back()->data("id: 1\nda");
        it.backendCalls.back()->complete();
        CHECK(it.crashReports.size() == 2);
        // The server has ended this response itself.
        head({{"Transfer-Encoding", "chunked"}});
        it.backendCalls.back()->complete();
        CHECK(it.crashReports.size() == 2);
    }
    // Guards against a request that is never held back because it crashes each server only after
    // the first events of its stream, and again when the stream is resumed at the next one.
    SECTION("a stream that crashes its servers after its first events is held back")
    {
        const auto crash = [&](int lastEvent) {
            it.backendCalls.back()->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
            it.backendCalls.back()->data(event(lastEvent));
            it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        };
        send("/stream/x", "acb");
        crash(1);
        REQUIRE(it.backendCalls.size() == 3);
        crash(2);
        CHECK(it.backendCalls.size() == 3);
        REQUIRE(it.crashReports.size() == 2);
        // Sound requests that run on the same server are broken in the same way.
        CHECK(it.crashReports[0].suspects.empty());
        REQUIRE(it.crashReports[0].requests.size() == 1);
        CHECK(it.crashReports[0].requests[0].sharedParts.size() == 1);

        --number;
        const auto second = send("/stream/x", "acb");
        REQUIRE(it.backendCalls.size() == 4);
        SECTION("after the third crash, also by the process that runs it")
        {
            crash(1);
            CHECK(it.backendCalls.size() == 4);
            CHECK_FALSE(second->finished);
            --number;
            CHECK(send("/stream/x", "acb")->status == 503);
            CHECK(it.backendCalls.size() == 4);
        }
        SECTION("unless a server has answered it to the end")
        {
            answer(*it.backendCalls.back());
            --number;
            send("/stream/x", "acb");
            crash(1);
            CHECK(it.backendCalls.size() == 6);
        }
        SECTION("while other requests with its part run")
        {
            crash(1);
            send("/stream/x", "acb");
            CHECK(it.backendCalls.size() == 5);
        }
    }
    SECTION("so is a request whose response is not a stream")
    {
        const auto lookUp = [&] {
            send("/safe/x", "");
            --number;
        };
        const auto crash = [&] {
            it.backendCalls.back()->head(200, {{"seal", "s"}, {"Content-Length", "9"}});
            it.backendCalls.back()->data("part");
            it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
        };
        lookUp();
        crash();
        crash();
        lookUp();
        crash();
        const std::size_t calls = it.backendCalls.size();
        lookUp();
        CHECK(it.backendCalls.size() == calls);
    }
    SECTION("so is one whose server ends while another one resumes the silent stream")
    {
        send("/stream/x", "acb");
        const auto silent = it.backendCalls.back();
        silent->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
        silent->data(event(1));
        it.scheduler.advance(1s);
        REQUIRE(it.backendCalls.size() == 3);
        silent->fail(ResultCode::PlatformReplyLost);
        REQUIRE(it.crashReports.size() == 1);
        CHECK(it.crashReports[0].instance.id == BackendId(silent->backend()));
    }
    SECTION("a resumed stream that is completed says nothing about its beginning")
    {
        for (int i = 0; i < 3; ++i) {
            send("/stream/x", "acb");
            --number;
            it.backendCalls.back()->head(200, {{"seal", "s"}, {"events", "1"}, {"weights", "1"}});
            it.backendCalls.back()->data(event(1));
            it.backendCalls.back()->fail(ResultCode::PlatformReplyLost);
            if (i < 2)
                answer(*it.backendCalls.back());
        }
        const std::size_t calls = it.backendCalls.size();
        CHECK(send("/stream/x", "acb")->status == 503);
        CHECK(it.backendCalls.size() == calls);
    }
    // A server that rejects a request, or whose response is no answer, does not run it.
    SECTION("a rejection that is broken off is no crash by its request")
    {
        send("/stream/x", "acb");
        it.backendCalls.back()->head(503, {{"not-run", "1"}, {"Content-Length", "9"}});
        it.backendCalls.back()->data("part");
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
            it.gateway.recordHarmless({part});
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
