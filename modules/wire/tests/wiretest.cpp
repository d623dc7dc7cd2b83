#include <godwit/wire/wireclient.h>
#include <godwit/wire/wiremessage.h>
#include <godwit/wire/wireserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <optional>

using namespace godwit;
using boost::asio::ip::tcp;

namespace {

// Runs the io_context until the condition holds. The limit of 60 s only stops a hanging test.
template <typename Condition>
bool runUntil(boost::asio::io_context &io, Condition condition)
{
    const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    while (!condition() && std::chrono::steady_clock::now() < limit) {
        io.restart();
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return condition();
}

struct Received
{
    int status = 0;
    std::string body;
    std::optional<WireFields> trailers;
    std::optional<Error> error;

    StreamEvents events()
    {
        StreamEvents events;
        events.onHeaders = [this](const WireHeaders &headers) { status = headers.status; };
        events.onData = [this](std::string_view data) { body += data; };
        events.onEnd = [this](const WireFields &fields) { trailers = fields; };
        events.onError = [this](const Error &it) { error = it; };
        return events;
    }
    bool done() const { return trailers || error; }
};

void echo(const std::shared_ptr<WireStream> &stream)
{
    collectBody(stream, 1 << 20, [stream](Outcome<std::string> body) {
        if (!succeeded(body))
            return;
        stream->respond(200);
        stream->write(std::get<0>(body));
        stream->finish({{"x-run-state", "ran"}});
    });
}

std::unique_ptr<WireServer> listen(boost::asio::io_context &io, WireServer::Handler handler,
                                   WireOptions options = {})
{
    auto server = capture(
            [&] { return WireServer::listen(io, "127.0.0.1", 0, std::move(handler), options); });
    REQUIRE(succeeded(server));
    return std::move(std::get<0>(server));
}

/// HTTP/2 frame on stream 1, or on the connection for SETTINGS.
std::string frame(std::uint8_t type, std::uint8_t flags, const std::string &payload)
{
    constexpr std::uint8_t Settings = 4;
    const std::size_t n = payload.size();
    std::string bytes;
    for (const std::size_t byte : {n >> 16U, n >> 8U, n})
        bytes += static_cast<char>(byte & 0xffU);
    bytes += static_cast<char>(type);
    bytes += static_cast<char>(flags);
    bytes += std::string(3, '\0');
    bytes += type == Settings ? '\0' : '\1';
    return bytes + payload;
}

/// Server that sends `start` and then repeats `part` until the client closes the connection.
class EndlessPeer
{
public:
    EndlessPeer(boost::asio::io_context &io, std::string start, std::string part)
        : m_acceptor(io, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , m_socket(io)
        , m_start(std::move(start))
        , m_part(std::move(part))
    {
        m_acceptor.async_accept(m_socket, [this](auto) {
            m_socket.async_read_some(boost::asio::buffer(m_request),
                                     [this](auto, std::size_t) { write(m_start); });
        });
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::size_t sent = 0;
    bool hasFailed = false; ///< The client has closed the connection.

private:
    void write(const std::string &bytes)
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes),
                                 [this](auto ec, std::size_t n) {
                                     sent += n;
                                     hasFailed = static_cast<bool>(ec);
                                     if (!ec)
                                         write(m_part);
                                 });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::string m_start;
    std::string m_part;
    std::array<char, 4096> m_request{};
};

} // namespace

TEST_CASE("Streams between processes")
{
    boost::asio::io_context io{1};

    SECTION("a request receives a response with body and trailers")
    {
        auto server = listen(io, echo);
        WireClient client(io, "127.0.0.1", server->port());
        Received received;
        auto stream = client.open("/echo", {{"x-a", "b"}}, received.events());
        stream->write("hello");
        stream->finish();
        REQUIRE(runUntil(io, [&] { return received.done(); }));
        CHECK(received.status == 200);
        CHECK(received.body == "hello");
        REQUIRE(received.trailers);
        CHECK(fieldValue(*received.trailers, "x-run-state") == "ran");
    }

    // Guards against delivering a response to the wrong stream of a shared connection.
    SECTION("bodies of concurrent streams are not mixed")
    {
        auto server = listen(io, echo);
        WireClient client(io, "127.0.0.1", server->port());
        std::vector<Received> all(200);
        for (std::size_t i = 0; i < all.size(); ++i) {
            auto stream = client.open("/echo", {}, all[i].events());
            stream->write(std::string(5000, 'x') + std::to_string(i));
            stream->finish();
        }
        REQUIRE(runUntil(io, [&] {
            return std::ranges::all_of(all, [](const Received &it) { return it.done(); });
        }));
        for (std::size_t i = 0; i < all.size(); ++i)
            CHECK(all[i].body == std::string(5000, 'x') + std::to_string(i));
    }

    // Guards against unbounded buffering when a receiver does not read.
    SECTION("the stream window stops the sender if the receiver does not consume data")
    {
        WireOptions options;
        options.streamWindow = 65536;
        std::shared_ptr<WireStream> sender;
        auto server = listen(io, [&](std::shared_ptr<WireStream> stream) {
            sender = stream;
            stream->setEvents({});
            stream->respond(200);
            stream->write(std::string(1 << 20, 'x'));
            stream->finish();
        });
        WireClient client(io, "127.0.0.1", server->port(), options);
        Received received;
        auto stream = client.open("/data", {}, received.events());
        stream->setManualFlowControl(true);
        stream->finish();
        REQUIRE(runUntil(io, [&] { return received.body.size() >= 65536; }));
        for (int i = 0; i < 50; ++i) {
            io.restart();
            io.poll();
        }
        CHECK(received.body.size() == 65536);
        CHECK(sender->bufferedBytes() > 900'000);
        stream->setManualFlowControl(false);
        stream->consume(65536);
        CHECK(runUntil(io, [&] { return received.done(); }));
        CHECK(received.body.size() == 1 << 20);
    }

    // Guards against upload slots that stay occupied because the end of an upload is not reported.
    SECTION("onDrained is called when the send buffer is empty, also after finish()")
    {
        bool isDrained = false;
        auto server = listen(io, [&](std::shared_ptr<WireStream> stream) {
            StreamEvents events;
            events.onDrained = [&] { isDrained = true; };
            stream->setEvents(std::move(events));
            stream->respond(200);
            stream->write(std::string(100'000, 'x'));
            stream->finish();
        });
        WireClient client(io, "127.0.0.1", server->port());
        Received received;
        client.open("/data", {}, received.events())->finish();
        REQUIRE(runUntil(io, [&] { return received.done(); }));
        CHECK(received.body.size() == 100'000);
        CHECK(isDrained);
    }

    // Guards against reporting a request that was not sent as possibly executed, and the reverse.
    SECTION("a refused connection reports NotSent, a broken one ConnectionLost")
    {
        auto server = listen(io, [](std::shared_ptr<WireStream> stream) { stream->setEvents({}); });
        const auto port = server->port();
        WireClient client(io, "127.0.0.1", port);
        Received lost;
        client.open("/a", {}, lost.events())->finish();
        REQUIRE(runUntil(io, [&] { return client.connected() && server->connectionCount() == 1; }));
        server.reset();
        REQUIRE(runUntil(io, [&] { return lost.done(); }));
        REQUIRE(lost.error);
        CHECK(lost.error->code == ResultCode::ConnectionLost);
        Received refused;
        client.open("/b", {}, refused.events())->finish();
        REQUIRE(runUntil(io, [&] { return refused.done(); }));
        REQUIRE(refused.error);
        CHECK(refused.error->code == ResultCode::NotSent);
    }

    // Guards against waiting forever for a peer that failed without closing the connection.
    SECTION("a connection is closed when the heartbeat timeout expires")
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        tcp::socket silent(io);
        acceptor.async_accept(silent, [](boost::system::error_code) {});
        WireOptions options;
        options.heartbeatInterval = std::chrono::milliseconds(10);
        options.heartbeatTimeout = std::chrono::milliseconds(30);
        WireClient client(io, "127.0.0.1", acceptor.local_endpoint().port(), options);
        Received received;
        client.open("/a", {}, received.events())->finish();
        REQUIRE(runUntil(io, [&] { return received.done(); }));
        REQUIRE(received.error);
        CHECK(received.error->code == ResultCode::ConnectionSilent);
    }

    // Guards against retries that hang until their deadline because they are opened on the
    // connection whose failure triggered them.
    SECTION("a stream opened from the error callback of another one uses a new connection")
    {
        tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        WireOptions options;
        options.heartbeatInterval = std::chrono::milliseconds(10);
        options.heartbeatTimeout = std::chrono::milliseconds(30);
        WireClient client(io, "127.0.0.1", acceptor.local_endpoint().port(), options);
        Received second;
        StreamEvents events;
        events.onError = [&](const Error &) { client.open("/b", {}, second.events())->finish(); };
        client.open("/a", {}, std::move(events))->finish();
        REQUIRE(runUntil(io, [&] { return second.done(); }));
        REQUIRE(second.error);
        CHECK(second.error->code == ResultCode::ConnectionSilent);
    }

    // Guards against a backend server that keeps generating tokens for a disconnected client.
    SECTION("the server is notified if the client cancels after sending a complete request")
    {
        std::optional<Error> seen;
        auto server = listen(io, [&](std::shared_ptr<WireStream> stream) {
            StreamEvents events;
            events.onError = [&](const Error &error) { seen = error; };
            events.onEnd = [stream](const WireFields &) {
                stream->respond(200);
                stream->write("part");
            };
            stream->setEvents(std::move(events));
        });
        WireClient client(io, "127.0.0.1", server->port());
        Received received;
        auto stream = client.open("/a", {}, received.events());
        stream->finish();
        REQUIRE(runUntil(io, [&] { return received.body == "part"; }));
        stream->cancel();
        CHECK(runUntil(io, [&] { return seen.has_value(); }));
    }

    // Guards against a shutdown that aborts streams in progress.
    SECTION("streams in progress complete after stopAccepting()")
    {
        std::shared_ptr<WireStream> open;
        auto server = listen(io, [&](std::shared_ptr<WireStream> stream) {
            open = stream;
            stream->setEvents({});
            stream->respond(200);
            stream->write("a");
        });
        WireClient client(io, "127.0.0.1", server->port());
        Received received;
        client.open("/a", {}, received.events())->finish();
        REQUIRE(runUntil(io, [&] { return received.body == "a"; }));
        server->stopAccepting();
        open->write("b");
        open->finish();
        REQUIRE(runUntil(io, [&] { return received.done(); }));
        CHECK(received.body == "ab");
        CHECK_FALSE(received.error);
    }

    SECTION("calls")
    {
        auto server = listen(io, [](std::shared_ptr<WireStream> stream) {
            if (stream->request().path == "/silent")
                stream->setEvents({});
            else
                handleJsonMessage<std::vector<int>>(stream, 100, [](std::vector<int> numbers) {
                    return std::to_string(numbers.size());
                });
        });
        WireClient client(io, "127.0.0.1", server->port());
        std::optional<Outcome<std::string>> outcome;
        const auto done = [&](Outcome<std::string> it) { outcome = std::move(it); };

        SECTION("a message receives a reply")
        {
            client.call("/count", "[1,2,3]", std::chrono::seconds(30), done);
            REQUIRE(runUntil(io, [&] { return outcome.has_value(); }));
            CHECK(std::get<0>(*outcome) == "3");
        }
        // Guards against processing malformed messages from an older or faulty process.
        SECTION("malformed and oversized messages are rejected")
        {
            const auto body = GENERATE(std::string("{"), std::string("{}"), std::string(101, '['));
            client.call("/count", body, std::chrono::seconds(30), done);
            REQUIRE(runUntil(io, [&] { return outcome.has_value(); }));
            CHECK_FALSE(succeeded(*outcome));
        }
        SECTION("a call without a reply times out")
        {
            client.call("/silent", "", std::chrono::milliseconds(20), done);
            REQUIRE(runUntil(io, [&] { return outcome.has_value(); }));
            CHECK(std::get<1>(*outcome).code == ResultCode::PlatformTimeout);
        }
    }
}

// Guards against callbacks into a destroyed owner: a client that was destroyed before it had
// connected connected nevertheless, sent its requests, and called back when they failed or were
// answered.
TEST_CASE("A client that is closed before it has connected ends its streams at once")
{
    boost::asio::io_context io{1};
    int requests = 0;
    auto server = listen(io, [&](const std::shared_ptr<WireStream> &stream) {
        ++requests;
        echo(stream);
    });
    auto client = std::make_unique<WireClient>(io, "127.0.0.1", server->port());
    Received received;
    client->open("/a", {}, received.events())->finish();
    std::optional<Outcome<std::string>> outcome;
    client->call("/b", {}, std::chrono::seconds(30),
                 [&](Outcome<std::string> it) { outcome = std::move(it); });
    const bool isConnecting = GENERATE(false, true);
    if (isConnecting)
        io.poll_one(); // Begins to connect.

    SECTION("when it is destroyed")
    {
        client.reset();
        REQUIRE(received.error);
        CHECK(received.error->code == ResultCode::NotSent);
        REQUIRE(outcome);
        CHECK(std::get<1>(*outcome).code == ResultCode::NotSent);
        // A later client connects after everything that the first one had begun.
        WireClient later(io, "127.0.0.1", server->port());
        Received echoed;
        later.open("/echo", {}, echoed.events())->finish();
        REQUIRE(runUntil(io, [&] { return echoed.done(); }));
        CHECK(requests == 1);
    }
    SECTION("and connects again for the next stream")
    {
        client->close();
        REQUIRE(received.error);
        Received echoed;
        client->open("/echo", {}, echoed.events())->finish();
        REQUIRE(runUntil(io, [&] { return echoed.done(); }));
        CHECK_FALSE(echoed.error);
        CHECK(requests == 1);
    }
}

// Guards against a use of freed streams: a connection that was closed by a callback of one of its
// streams went on to send the others, and to accept the requests that it had already received.
TEST_CASE("A callback of a stream may close its connection")
{
    constexpr int Requests = 3;
    boost::asio::io_context io{1};
    int accepted = 0;
    int drained = 0;
    std::unique_ptr<WireServer> server;
    const bool closesOnAccept = GENERATE(false, true);
    server = listen(io, [&](const std::shared_ptr<WireStream> &stream) {
        ++accepted;
        if (closesOnAccept) {
            server.reset();
            return;
        }
        StreamEvents events;
        events.onDrained = [&] {
            ++drained;
            server.reset();
        };
        stream->setEvents(std::move(events));
        stream->respond(200);
        stream->write("x");
    });
    WireClient client(io, "127.0.0.1", server->port());
    std::array<Received, Requests> received;
    for (Received &it : received)
        client.open("/a", {}, it.events())->finish(); // All in one segment.
    REQUIRE(runUntil(io, [&] { return std::ranges::all_of(received, &Received::done); }));
    CHECK(accepted == (closesOnAccept ? 1 : Requests));
    CHECK(drained == (closesOnAccept ? 0 : 1));
}

// Guards against crashes and unbounded memory on input that is not HTTP/2.
TEST_CASE("A server stays available after input that is not HTTP/2")
{
    boost::asio::io_context io{1};
    auto server = listen(io, echo);
    const auto bytes =
            GENERATE(std::string("GET / HTTP/1.1\r\n\r\n"), std::string(100'000, '\0'),
                     std::string("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n") + std::string(64, '\xff'));
    tcp::socket raw(io);
    raw.connect(tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), server->port()));
    boost::system::error_code ec;
    raw.write_some(boost::asio::buffer(bytes), ec);
    WireClient client(io, "127.0.0.1", server->port());
    Received received;
    auto stream = client.open("/echo", {}, received.events());
    stream->write("still here");
    stream->finish();
    REQUIRE(runUntil(io, [&] { return received.done(); }));
    CHECK(received.body == "still here");
}

// Guards against memory that grows with every byte of a reply, and against a call that goes on
// until its timeout.
TEST_CASE("A call rejects a reply above its size limit")
{
    boost::asio::io_context io{1};
    WireOptions options;
    options.maxReplyBytes = 1000;
    const std::size_t size = GENERATE(1000, 1001, 100'000);
    auto server = listen(io, [size](const std::shared_ptr<WireStream> &stream) {
        stream->setEvents({});
        stream->respond(200);
        stream->write(std::string(size, 'x'));
        stream->finish();
    });
    WireClient client(io, "127.0.0.1", server->port(), options);
    std::optional<Outcome<std::string>> outcome;
    client.call("/x", {}, std::chrono::seconds(30),
                [&](Outcome<std::string> it) { outcome = std::move(it); });
    REQUIRE(runUntil(io, [&] { return outcome.has_value(); }));
    if (size <= options.maxReplyBytes)
        CHECK(std::get<0>(*outcome).size() == size);
    else
        CHECK(std::get<1>(*outcome).code == ResultCode::MessageTooLarge);
    CHECK(runUntil(io, [&] { return client.openStreams() == 0; }));
}

// Guards against a peer in trouble that sends header fields without end. A header block without an
// end would also keep the other streams of the connection from their frames.
TEST_CASE("A call ends although its peer sends header fields without end")
{
    constexpr std::uint8_t Headers = 1;
    constexpr std::uint8_t Settings = 4;
    constexpr std::uint8_t Continuation = 9;
    constexpr std::uint8_t EndStream = 1;
    constexpr std::uint8_t EndHeaders = 4;
    const std::string ok = "\x88"; // :status 200
    const std::string interim = "\x08\x03"
                                "100"; // :status 100
    std::string field = std::string(1, '\0') + "\x01x\x64" + std::string(100, 'a');
    struct Row
    {
        const char *what;
        std::string start;
        std::string part;
        bool closesConnection;
    };
    const auto row = GENERATE_COPY(
            Row{"a header block", frame(Headers, 0, ok), frame(Continuation, 0, field), true},
            Row{"an empty header block", frame(Headers, 0, ok), frame(Continuation, 0, {}), true},
            Row{"a trailer", frame(Headers, EndHeaders, ok) + frame(Headers, EndStream, field),
                frame(Continuation, 0, field), true},
            Row{"interim responses", {}, frame(Headers, EndHeaders, interim), false});
    INFO(row.what);
    constexpr std::size_t MaxAccepted = 16UL * 1024 * 1024; // mostly socket buffers
    boost::asio::io_context io{1};
    EndlessPeer peer(io, frame(Settings, 0, {}) + row.start, row.part);
    WireClient client(io, "127.0.0.1", peer.port());
    std::optional<Outcome<std::string>> outcome;
    client.call("/x", {}, std::chrono::seconds(30),
                [&](Outcome<std::string> it) { outcome = std::move(it); });
    REQUIRE(runUntil(io, [&] { return outcome.has_value() || peer.sent > MaxAccepted; }));
    REQUIRE(outcome.has_value());
    CHECK_FALSE(succeeded(*outcome));
    if (row.closesConnection) {
        CHECK(runUntil(io, [&] { return peer.hasFailed || peer.sent > MaxAccepted; }));
        CHECK(peer.hasFailed);
    }
}

// Guards against a broken response that is passed on as if it were one.
TEST_CASE("A stream fails if the status of its response is not one of HTTP")
{
    constexpr std::uint8_t Headers = 1;
    constexpr std::uint8_t Settings = 4;
    constexpr std::uint8_t Data = 0;
    constexpr std::uint8_t EndHeaders = 4;
    const std::string status = GENERATE("000", "001", "099", "600", "999", "1000", "+200", "-20",
                                        "2 0", "   ", "", "20", " 200");
    CAPTURE(status);
    const std::string field =
            std::string("\x08") + static_cast<char>(status.size()) + status; // :status
    boost::asio::io_context io{1};
    EndlessPeer peer(io, frame(Settings, 0, {}) + frame(Headers, EndHeaders, field),
                     frame(Data, 0, "ok"));
    WireClient client(io, "127.0.0.1", peer.port());
    bool hasHeaders = false;
    Received received;
    StreamEvents events = received.events();
    events.onHeaders = [&](const WireHeaders &) { hasHeaders = true; };
    const auto stream = client.open("/x", {}, std::move(events));
    stream->finish();
    constexpr std::size_t MaxAccepted = 16UL * 1024 * 1024; // mostly socket buffers
    REQUIRE(runUntil(io, [&] { return received.done() || peer.sent > MaxAccepted; }));
    CHECK(received.error.has_value());
    CHECK_FALSE(hasHeaders);
    CHECK(received.body.empty());
}
