#include "loopback.h"

#include <godwit/ports/calleffect.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/httpserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace godwit;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

struct Fixture
{
    boost::asio::io_context io;
    HttpServerOptions options;
    HttpServer::Handler handler = [](const HttpRequest &request,
                                     const std::shared_ptr<HttpReply> &reply) {
        reply->send({200, {{"X-Method", request.method}}, request.body});
    };
    std::unique_ptr<HttpServer> server;
    HttpClient client{io};

    void listen()
    {
        auto outcome = capture([&] { return HttpServer::listen(io, options, handler); });
        REQUIRE(succeeded(outcome));
        server = std::move(std::get<0>(outcome));
    }

    HttpCall request(std::string method = "GET", std::string body = {}) const
    {
        HttpCall call;
        call.endpoint = server->endpoint();
        call.method = std::move(method);
        call.body = std::move(body);
        return call;
    }

    Outcome<HttpResponse> fetch(HttpCall call)
    {
        std::optional<Outcome<HttpResponse>> result;
        client.call(std::move(call),
                    [&](Outcome<HttpResponse> outcome) { result = std::move(outcome); });
        runUntil(io, [&] { return result.has_value(); });
        return *result;
    }

    /// Sends \a bytes on a TCP socket and returns everything received until the server closes it.
    std::string sendRaw(const std::string &bytes)
    {
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->boundPort()});
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        std::array<char, 4096> chunk{};
        bool closed = false;
        std::function<void()> readMore = [&] {
            socket.async_read_some(boost::asio::buffer(chunk), [&](auto ec, std::size_t n) {
                received.append(chunk.data(), n);
                closed = static_cast<bool>(ec);
                if (!closed)
                    readMore();
            });
        };
        readMore();
        runUntil(io, [&] { return closed; });
        return received;
    }
};

ResultCode codeOf(const Outcome<HttpResponse> &outcome)
{
    return succeeded(outcome) ? ResultCode::Ok : std::get<Error>(outcome).code;
}

} // namespace

TEST_CASE("HTTP calls reuse connections and get their own replies")
{
    Fixture f;
    f.listen();

    SECTION("sequential calls share one connection")
    {
        for (const std::string &body :
             {std::string("a"), std::string(300'000, 'b'), std::string()}) {
            const auto outcome = f.fetch(f.request("POST", body));
            REQUIRE(succeeded(outcome));
            CHECK(std::get<0>(outcome).body == body);
            CHECK(std::get<0>(outcome).headers.value("x-method") == "POST");
        }
        CHECK(f.server->openConnections() == 1);
        CHECK(f.client.idleConnections() == 1);
    }
    // Guards against a log that does not tell the first call of a connection from the later ones.
    SECTION("a call is told how many its connection has carried before")
    {
        std::vector<std::size_t> earlierCalls;
        for (int i = 0; i < 3; ++i) {
            bool ended = false;
            HttpStreamHandlers handlers;
            handlers.onSending = [&](std::size_t n) { earlierCalls.push_back(n); };
            handlers.onEnd = [&](const auto &) { ended = true; };
            f.client.stream(f.request("POST", "a"), handlers);
            runUntil(f.io, [&] { return ended; });
        }
        CHECK(earlierCalls == std::vector<std::size_t>{0, 1, 2});
    }

    // Guards against a reply that is delivered to another call.
    SECTION("concurrent calls get their own replies")
    {
        int correct = 0;
        int ended = 0;
        for (int i = 0; i < 50; ++i) {
            f.client.call(f.request("POST", std::to_string(i)), [&, i](const auto &outcome) {
                ++ended;
                correct += succeeded(outcome) && std::get<0>(outcome).body == std::to_string(i);
            });
        }
        runUntil(f.io, [&] { return ended == 50; });
        CHECK(correct == 50);
    }

    // Guards against pipelined requests that are lost or answered out of order.
    SECTION("pipelined requests")
    {
        const std::string received =
                f.sendRaw("POST / HTTP/1.1\r\nContent-Length: 1\r\n\r\nxPOST / HTTP/1.1\r\n"
                          "Content-Length: 1\r\nConnection: close\r\n\r\ny");
        const auto first = received.find("\r\n\r\nx");
        REQUIRE(first != std::string::npos);
        CHECK(received.find("\r\n\r\ny", first) != std::string::npos);
    }
}

// Guards against input that uses unbounded memory or occupies a connection forever.
TEST_CASE("HTTP server rejects invalid input")
{
    Fixture f;
    f.options.bodyLimit = 100;
    f.options.headerLimit = 500;
    f.options.requestTimeout = 50ms;
    f.listen();
    struct Row
    {
        const char *description;
        std::string bytes;
        const char *status;
    };
    const auto row = GENERATE(
            Row{"not HTTP", "hello world\r\n\r\n", "HTTP/1.1 400"},
            Row{"large body", "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", "HTTP/1.1 413"},
            Row{"large header", "GET / HTTP/1.1\r\nA: " + std::string(600, 'a'), "HTTP/1.1 431"},
            Row{"slow sender", "GET / HTTP/1.1\r\nA:", "HTTP/1.1 408"});
    INFO(row.description);
    CHECK(f.sendRaw(row.bytes).starts_with(row.status));
}

TEST_CASE("HTTP streamed replies")
{
    Fixture f;
    std::shared_ptr<HttpReply> reply;
    f.handler = [&](const HttpRequest &, std::shared_ptr<HttpReply> r) {
        reply = std::move(r);
        reply->start(200, {{"Content-Type", "text/event-stream"}});
    };
    std::string received;
    std::optional<Outcome<std::monostate>> end;
    HttpStreamHandlers handlers;
    handlers.onData = [&](std::string_view data) { received += data; };
    handlers.onEnd = [&](Outcome<std::monostate> outcome) { end = std::move(outcome); };

    SECTION("chunks written from another thread arrive in order")
    {
        f.listen();
        f.client.stream(f.request(), handlers);
        runUntil(f.io, [&] { return reply != nullptr; });
        std::thread writer([&] {
            for (int i = 0; i < 100; ++i)
                reply->write(std::to_string(i) + ' ');
            reply->finish();
        });
        runUntil(f.io, [&] { return end.has_value(); });
        writer.join();
        CHECK(succeeded(*end));
        CHECK(received.starts_with("0 1 2 "));
        CHECK(received.ends_with(" 98 99 "));
    }

    // Guards against work that continues after the caller has disconnected.
    SECTION("the handler is notified when the caller cancels")
    {
        f.listen();
        bool closed = false;
        const auto call = f.client.stream(f.request(), handlers);
        runUntil(f.io, [&] { return reply != nullptr; });
        reply->onClosed([&] { closed = true; });
        call->cancel();
        runUntil(f.io, [&] { return closed && end; });
        CHECK(std::get<Error>(*end).code == ResultCode::CallCancelled);
        reply->write("late");
    }

    // Guards against unbounded memory use if the caller does not read.
    SECTION("a paused caller is disconnected when the queue exceeds its limit")
    {
        f.options.queueLimit = 1 << 20;
        f.listen();
        bool closed = false;
        const auto call = f.client.stream(f.request(), handlers);
        call->pause();
        runUntil(f.io, [&] { return reply != nullptr; });
        reply->onClosed([&] { closed = true; });
        const std::string block(1 << 16, 'x');
        runUntil(f.io, [&] { return closed || (reply->write(block), f.io.poll(), false); });
        CHECK(received.empty());
    }

    SECTION("resume delivers all queued data, and onDrained is called")
    {
        f.options.queueLimit = 64 << 20;
        f.listen();
        int drained = 0;
        const auto call = f.client.stream(f.request(), handlers);
        call->pause();
        runUntil(f.io, [&] { return reply != nullptr; });
        reply->onDrained([&] { ++drained; });
        const std::size_t size = 16 << 20;
        CHECK(reply->write(std::string(size, 'x')) == size);
        call->resume();
        runUntil(f.io, [&] { return drained > 0; });
        CHECK(reply->queuedBytes() == 0);
        reply->finish();
        runUntil(f.io, [&] { return end.has_value(); });
        CHECK(received.size() == size);
    }

    // Guards against a truncated stream that is reported as complete.
    SECTION("a stream whose reply is dropped ends with PlatformReplyLost")
    {
        f.listen();
        f.client.stream(f.request(), handlers);
        runUntil(f.io, [&] { return reply != nullptr; });
        reply->write("part");
        runUntil(f.io, [&] { return received == "part"; });
        reply.reset();
        runUntil(f.io, [&] { return end.has_value(); });
        CHECK(std::get<Error>(*end).code == ResultCode::PlatformReplyLost);
    }
}

TEST_CASE("HTTP server answers 500 if the handler drops the reply before it starts")
{
    Fixture f;
    f.handler = [](const HttpRequest &, const std::shared_ptr<HttpReply> &) {};
    f.listen();
    const auto outcome = f.fetch(f.request());
    REQUIRE(succeeded(outcome));
    CHECK(std::get<0>(outcome).status == 500);
}

// Guards against a call that may have been executed but is reported as not sent, and the reverse.
TEST_CASE("HTTP client reports whether a failed call may have taken effect")
{
    Fixture f;
    std::vector<std::shared_ptr<HttpReply>> heldReplies;

    SECTION("refused")
    {
        f.listen();
        const HttpCall call = f.request();
        f.server.reset();
        CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformUnreachable);
        CHECK_FALSE(mayHaveTakenEffect(ResultCode::PlatformUnreachable));
    }
    SECTION("sent, connection closed")
    {
        f.handler = [](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
            reply->abort();
        };
        f.listen();
        CHECK(codeOf(f.fetch(f.request())) == ResultCode::PlatformReplyLost);
        CHECK(mayHaveTakenEffect(ResultCode::PlatformReplyLost));
    }
    SECTION("sent, no reply")
    {
        f.handler = [&](const HttpRequest &, std::shared_ptr<HttpReply> reply) {
            heldReplies.push_back(std::move(reply));
        };
        f.listen();
        HttpCall call = f.request();
        call.idleTimeout = 50ms;
        CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformTimeout);
        runUntil(f.io, [&] { return heldReplies.size() == 1; });
    }
    // Guards against a response that stops halfway and is detected only at the deadline.
    SECTION("no data after a part of the body")
    {
        f.handler = [&](const HttpRequest &, std::shared_ptr<HttpReply> reply) {
            reply->start(200, {});
            reply->write("part");
            heldReplies.push_back(std::move(reply));
        };
        f.listen();
        HttpCall call = f.request();
        call.idleTimeout = 1h;
        call.stallTimeout = 50ms;
        CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformTimeout);
    }
    SECTION("body above the limit")
    {
        f.listen();
        HttpCall call = f.request("POST", std::string(2000, 'x'));
        call.bodyLimit = 1000;
        CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformBadReply);
    }
    SECTION("closed while pooled")
    {
        f.listen();
        CHECK(codeOf(f.fetch(f.request())) == ResultCode::Ok);
        f.server->closeConnections();
        runUntil(f.io, [&] { return f.client.idleConnections() == 0; });
        CHECK(codeOf(f.fetch(f.request())) == ResultCode::Ok);
    }
    // Only a retryable call may be sent twice.
    SECTION("closed by the server on the second request of a connection")
    {
        int requests = 0;
        f.handler = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
            if (++requests == 2)
                reply->abort();
            else
                reply->send({});
        };
        f.listen();
        CHECK(codeOf(f.fetch(f.request())) == ResultCode::Ok);
        HttpCall call = f.request();
        call.retryable = GENERATE(true, false);
        CHECK(codeOf(f.fetch(call))
              == (call.retryable ? ResultCode::Ok : ResultCode::PlatformReplyLost));
        CHECK(requests == (call.retryable ? 3 : 2));
    }
}

TEST_CASE("HTTP addresses and targets")
{
    struct Row
    {
        const char *text;
        bool valid;
    };
    const auto row = GENERATE(Row{"127.0.0.1:80", true}, Row{"[::1]:80", true},
                              Row{"host:80", false}, Row{"127.0.0.1", false},
                              Row{"127.0.0.1:65536", false}, Row{"127.0.0.1:8x", false});
    const auto outcome = capture([&] { return parseHttpEndpoint(row.text); });
    CHECK(succeeded(outcome) == row.valid);
    if (row.valid)
        CHECK(toString(std::get<0>(outcome)) == row.text);

    const HttpRequest request{"GET", "/a/b?x=1&name=c%2Fd+e", {}, {}, {}};
    CHECK(request.path() == "/a/b");
    CHECK(request.query("name") == "c/d e");
    CHECK_FALSE(request.query("y").has_value());
}

TEST_CASE("HTTP client discards responses that belong to earlier calls")
{
    Fixture f;
    // A server that sends a late response to an earlier call before the expected one.
    tcp::acceptor acceptor(f.io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    tcp::socket socket(f.io);
    std::array<char, 4096> chunk{};
    const auto response = [](const std::string &id, const std::string &body) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id
               + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    std::string bytes;
    acceptor.async_accept(socket, [&](auto) {
        socket.async_read_some(boost::asio::buffer(chunk), [&](auto, std::size_t) {
            boost::asio::write(socket, boost::asio::buffer(bytes));
        });
    });
    HttpCall call;
    call.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.correlation = HttpCorrelation{"X-Id", "2"};
    call.idleTimeout = 300ms;

    SECTION("one stale response")
    {
        bytes = response("1", "stray") + response("2", "mine");
        const auto outcome = f.fetch(call);
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome).body == "mine");
    }
    // Guards against losing what a server states about itself in a response that is not used.
    SECTION("the headers of stale and interim responses are reported apart from the expected one")
    {
        bytes = response("1", "stray") + "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"
                + response("2", "mine");
        std::vector<int> others;
        std::vector<int> expected;
        bool ended = false;
        HttpStreamHandlers handlers;
        handlers.onOtherHeader = [&](int status, const HttpHeaders &) { others.push_back(status); };
        handlers.onHeader = [&](int status, const HttpHeaders &) { expected.push_back(status); };
        handlers.onEnd = [&](const auto &) { ended = true; };
        f.client.stream(call, handlers);
        runUntil(f.io, [&] { return ended; });
        CHECK(others == std::vector{200, 103});
        CHECK(expected == std::vector{200});
    }
    SECTION("only stale responses are an error")
    {
        for (int i = 0; i < 8; ++i)
            bytes += response("1", "stray");
        CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformBadReply);
    }
    SECTION("bytes after the response make the connection unusable")
    {
        bytes = response("2", "mine") + "HTTP/1.1 200";
        CHECK(succeeded(f.fetch(call)));
        CHECK(f.client.idleConnections() == 0);
    }
}

// Guards against a request that is sent, and runs, although its caller was told that it was not and
// has sent it elsewhere: between the question and the cancellation the connection may be ready.
TEST_CASE("A call that was cancelled unsent reaches no server, whatever the moment")
{
    Fixture f;
    int received = 0;
    f.handler = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        ++received;
        reply->send({});
    };
    f.listen();
    const bool isReused = GENERATE(false, true);
    constexpr int MaxSteps = 12;
    bool wasUnsent = false;
    bool wasSent = false;
    for (int steps = 0; steps < MaxSteps; ++steps) {
        HttpClient client(f.io);
        std::optional<ResultCode> code;
        const auto fetch = [&] {
            code.reset();
            return client.call(f.request(), [&](const Outcome<HttpResponse> &outcome) {
                code = codeOf(outcome);
            });
        };
        if (isReused) {
            fetch();
            runUntil(f.io, [&] { return code.has_value(); });
            REQUIRE(client.idleConnections() == 1);
        }
        received = 0;
        const auto handle = fetch();
        f.io.restart();
        for (int i = 0; i < steps; ++i) {
            // Lets the reactor queue the events of the sockets before they are handled.
            boost::asio::post(f.io, [] {});
            f.io.run_one();
        }
        const bool isUnsent = handle->cancelUnsent();
        runUntil(f.io, [&] { return code.has_value(); });
        const ResultCode ended = *code;
        const int receivedBefore = received;
        fetch(); // Whatever was sent before it has arrived when it is answered.
        runUntil(f.io, [&] { return code.has_value(); });
        CAPTURE(isReused, steps, isUnsent, receivedBefore);
        CHECK(received == (isUnsent ? 1 : 2));
        CHECK(ended == (isUnsent ? ResultCode::CallCancelled : ResultCode::Ok));
        wasUnsent |= isUnsent;
        wasSent |= !isUnsent;
    }
    CHECK(wasUnsent);
    CHECK(wasSent);
}

// Guards against a reference cycle of a call, its callbacks and the owner of its handle.
TEST_CASE("HTTP client frees a call whose callbacks own its handle, even if it never starts")
{
    struct Owner
    {
        std::shared_ptr<CallHandle> handle;
    };
    std::weak_ptr<Owner> weakOwner;
    {
        boost::asio::io_context io;
        HttpClient client(io);
        const auto owner = std::make_shared<Owner>();
        weakOwner = owner;
        owner->handle = client.call({}, [owner](const Outcome<HttpResponse> &) {});
    }
    CHECK(weakOwner.expired());
}

// Guards against calls that time out one after the other on idle connections to a peer that no
// longer answers on any of them.
TEST_CASE("HTTP client closes all idle connections to a peer when a reused one times out")
{
    Fixture f;
    std::vector<std::shared_ptr<HttpReply>> heldReplies;
    bool unresponsive = false;
    f.handler = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        if (unresponsive || heldReplies.size() < 3)
            heldReplies.push_back(reply);
        else
            reply->send({200, {}, "x"});
    };
    f.listen();
    // Three concurrent calls leave three connections in the pool.
    int done = 0;
    for (int i = 0; i < 3; ++i)
        f.client.call(f.request(), [&](const Outcome<HttpResponse> &) { ++done; });
    runUntil(f.io, [&] { return heldReplies.size() == 3; });
    for (const auto &reply : heldReplies)
        reply->send({200, {}, "x"});
    runUntil(f.io, [&] { return done == 3; });
    REQUIRE(f.client.idleConnections() == 3);

    unresponsive = true;
    HttpCall call = f.request();
    call.idleTimeout = 100ms;
    CHECK(codeOf(f.fetch(call)) == ResultCode::PlatformTimeout);
    CHECK(f.client.idleConnections() == 0);
}

TEST_CASE("HTTP client respects the keep-alive timeout of a server")
{
    Fixture f;
    std::string keepAlive;
    f.handler = [&](const HttpRequest &, const std::shared_ptr<HttpReply> &reply) {
        reply->send({200, {{"Keep-Alive", keepAlive}}, "x"});
    };
    f.listen();

    SECTION("a connection with a timeout of 5 s stays in the pool")
    {
        keepAlive = "timeout=5, max=100";
        CHECK(succeeded(f.fetch(f.request())));
        CHECK(f.client.idleConnections() == 1);
    }
    SECTION("a connection with a timeout of 0 s is not pooled")
    {
        keepAlive = "timeout=0";
        CHECK(succeeded(f.fetch(f.request())));
        CHECK(f.client.idleConnections() == 0);
    }
}

TEST_CASE("HTTP server answers with Connection: close after closeAfterReplies()")
{
    Fixture f;
    f.listen();
    f.server->closeAfterReplies();
    const auto outcome = f.fetch(f.request());
    REQUIRE(succeeded(outcome));
    CHECK(std::get<0>(outcome).headers.value("Connection") == "close");
    CHECK(f.client.idleConnections() == 0);
    // The server accepts connections until stopAccepting().
    CHECK(succeeded(f.fetch(f.request())));
}
