#include "loopback.h"

#include <godwit/ports/asioscheduler.h>
#include <godwit/ports/httpclient.h>
#include <godwit/ports/httpserver.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <thread>

using namespace godwit;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

const boost::asio::ip::address Loopback = boost::asio::ip::make_address("127.0.0.1");

/// Server that answers one request with `head` and then repeats `part`, every `interval` or as fast
/// as it can, until the client closes the connection.
class EndlessServer
{
public:
    EndlessServer(boost::asio::io_context &io, std::string head, std::string part,
                  Duration interval = Duration::zero())
        : m_acceptor(io, {Loopback, 0})
        , m_socket(io)
        , m_timer(io)
        , m_head(std::move(head))
        , m_part(std::move(part))
        , m_interval(interval)
    {
        m_acceptor.async_accept(m_socket, [this](auto) {
            m_socket.async_read_some(boost::asio::buffer(m_request),
                                     [this](auto, std::size_t) { write(m_head); });
        });
    }

    HttpCall call() const
    {
        HttpCall call;
        call.endpoint = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        call.correlation = HttpCorrelation{"X-Id", "2"};
        call.idleTimeout = 300ms;
        return call;
    }

    std::size_t sent = 0;

private:
    void write(const std::string &bytes)
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes),
                                 [this](auto ec, std::size_t n) {
                                     sent += n;
                                     if (!ec)
                                         scheduleNext();
                                 });
    }

    void scheduleNext()
    {
        m_timer.expires_after(m_interval);
        m_timer.async_wait([this](auto) { write(m_part); });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_head;
    std::string m_part;
    Duration m_interval;
    std::array<char, 4096> m_request{};
};

ResultCode callUntilError(boost::asio::io_context &io, const HttpCall &call)
{
    HttpClient client(io);
    std::optional<Outcome<HttpResponse>> result;
    client.call(call, [&](Outcome<HttpResponse> outcome) { result = std::move(outcome); });
    runUntil(io, [&] { return result.has_value(); });
    const auto *error = std::get_if<Error>(&*result);
    return error ? error->code : ResultCode::Ok;
}

} // namespace

// Guards against a server in trouble that sends bytes which are no answer until the caller closes:
// the call must end, and must not use more memory with every byte.
TEST_CASE("A call ends although its server sends bytes without end")
{
    struct Row
    {
        const char *what;
        std::string head;
        std::string part;
    };
    const std::string status = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = status + "X-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string kilobyte(1024, 'x');
    const auto row = GENERATE_COPY(
            Row{"no HTTP", kilobyte, kilobyte}, Row{"one header line", status + "X-A: ", kilobyte},
            Row{"header lines", status, "X-A: " + kilobyte + "\r\n"},
            Row{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
            Row{"a chunk extension", chunked + "5;", kilobyte},
            Row{"a chunk size", chunked, std::string(1024, '0')},
            Row{"a trailer", chunked + "0\r\nX-A: ", kilobyte},
            Row{"trailer lines", chunked + "0\r\n", "X-A: " + kilobyte + "\r\n"},
            Row{"a body without a length", status + "X-Id: 2\r\n\r\n", kilobyte},
            Row{"a body in chunks", chunked, "400\r\n" + kilobyte + "\r\n"},
            Row{"a body of a huge length",
                status + "X-Id: 2\r\nContent-Length: 99999999999\r\n\r\n", kilobyte},
            Row{"responses to earlier calls", "",
                status + "X-Id: 1\r\nContent-Length: 1024\r\n\r\n" + kilobyte});
    INFO(row.what);
    constexpr std::size_t MaxAccepted = 8UL * 1024 * 1024; // mostly socket buffers
    boost::asio::io_context io;
    EndlessServer server(io, row.head, row.part);
    HttpCall call = server.call();
    call.bodyLimit = 1024UL * 1024;
    const ResultCode code = callUntilError(io, call);
    CHECK((code == ResultCode::PlatformBadReply || code == ResultCode::PlatformTimeout));
    CHECK(server.sent < MaxAccepted);
}

// A server that sends a byte now and then restarted the timeout with each of them.
TEST_CASE("A call times out although its server sends a byte now and then")
{
    const std::string head = GENERATE(
            std::string("HTTP/1.1 200 OK\r\nX-A: "),
            std::string("HTTP/1.1 200 OK\r\nX-Id: 2\r\nTransfer-Encoding: chunked\r\n\r\n5;"),
            std::string("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9999\r\n\r\n"));
    boost::asio::io_context io;
    EndlessServer server(io, head, "x", 50ms);
    CHECK(callUntilError(io, server.call()) == ResultCode::PlatformTimeout);
}

// Each byte of a body restarts the idle timeout, so a body that never ends kept its call for ever.
TEST_CASE("A call with a total timeout ends although the body of its response goes on")
{
    const std::string head =
            GENERATE(std::string("HTTP/1.1 200 OK\r\nX-Id: 2\r\n\r\n"),
                     std::string("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 999999\r\n\r\n"));
    boost::asio::io_context io;
    EndlessServer server(io, head, "x", 50ms);
    HttpCall call = server.call();
    call.totalTimeout = 500ms;
    CHECK(callUntilError(io, call) == ResultCode::PlatformTimeout);
}

// Guards against a caller that gets an empty or short body as a whole one, because the server
// stopped within the header or the body of its response.
TEST_CASE("A call is complete only if its response is")
{
    struct Row
    {
        const char *what;
        std::string response;
        std::size_t framedFrom; ///< Length from which a close by FIN ends the response properly.
    };
    const std::string status = "HTTP/1.1 200 OK\r\nX-Id: 2\r\n";
    const std::string unframedHead = status + "Connection: close\r\n\r\n";
    const std::string withLength = status + "Content-Length: 12\r\n\r\nwhole answer";
    const std::string chunked =
            status + "Transfer-Encoding: chunked\r\n\r\n6;a=b\r\nwhole \r\n6\r\nanswer\r\n0\r\n";
    const auto row = GENERATE_COPY(
            Row{"with a length", withLength, withLength.size()},
            Row{"empty, with a length", status + "Content-Length: 0\r\n\r\n", status.size() + 21},
            Row{"in chunks", chunked + "\r\n", chunked.size() + 2},
            Row{"in chunks with a trailer", chunked + "X-A: b\r\n\r\n", chunked.size() + 10},
            Row{"without a length", unframedHead + "whole answer", unframedHead.size()},
            Row{"an interim response first", "HTTP/1.1 100 Continue\r\n\r\n" + withLength,
                withLength.size() + 25});
    const auto close = GENERATE(ClosingServer::Close::Fin, ClosingServer::Close::Reset);
    const bool isReset = close == ClosingServer::Close::Reset;
    for (std::size_t n = 0; n <= row.response.size(); ++n) {
        INFO(row.what << ", closed after " << n << " bytes" << (isReset ? " by a reset" : ""));
        boost::asio::io_context io;
        ClosingServer server(io, row.response.substr(0, n), close);
        HttpCall call;
        call.endpoint = server.endpoint();
        call.correlation = HttpCorrelation{"X-Id", "2"};
        const ResultCode code = callUntilError(io, call);
        if (!isReset)
            CHECK((code == ResultCode::Ok) == (n >= row.framedFrom));
        else if (n < row.response.size() || row.framedFrom < n)
            CHECK(code != ResultCode::Ok);
    }
}

// The system reports a reset once, to the write of the request or to the read of the response. If
// the write gets it, the read ends like after a proper close. Guards against a part of a response
// that is taken for a whole one, and against whole ones that are not.
TEST_CASE("A response to a long upload that ends with a reset is not complete")
{
    constexpr std::size_t UploadBytes = 3'500'000; // More than the buffers of both sockets hold.
    const std::string response = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";

    SECTION("whichever of write and read notices the reset")
    {
        // Of connections that write and read at once; which one notices it varies.
        constexpr int Calls = 40;
        for (int i = 0; i < Calls; ++i) {
            boost::asio::io_context io;
            ClosingServer server(io, response, ClosingServer::Close::Reset);
            HttpCall call;
            call.method = "POST";
            call.endpoint = server.endpoint();
            call.body = std::string(UploadBytes, 'a');
            CHECK(callUntilError(io, call) != ResultCode::Ok);
        }
    }
    SECTION("while one that ends properly is, although the upload goes on")
    {
        boost::asio::io_context io;
        tcp::acceptor acceptor(io, {Loopback, 0});
        tcp::socket socket(io);
        std::vector<char> upload(UploadBytes);
        acceptor.async_accept(socket, [&](auto) {
            boost::asio::write(socket, boost::asio::buffer(response));
            socket.shutdown(tcp::socket::shutdown_send);
            boost::asio::async_read(socket, boost::asio::buffer(upload), [](auto, std::size_t) {});
        });
        HttpCall call;
        call.method = "POST";
        call.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
        call.body = std::string(UploadBytes, 'a');
        CHECK(callUntilError(io, call) == ResultCode::Ok);
    }
}

// Guards against a response that reads as one with the beginning of a copy that broke off, and
// against the loss of a sound response that only names the protocol.
TEST_CASE("A call fails if the head of its response contains a second status line")
{
    struct Row
    {
        std::string head;
        bool isSound;
    };
    const Row row = GENERATE(Row{"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 desk\r\n", true},
                             Row{"HTTP/1.1 200 Not HTTP/1.0\r\n", true},
                             Row{"HTTP/1.1 200 OK\r\nServer: desk HTTP/1.1 20\r\n", true},
                             Row{"HTTP/1.1 200 OK\r\nServer: HTTP/1.HTTP/1.1 503 Busy\r\n", false},
                             Row{"HTTP/1.1 503 Busy\r\nServer: desHTTP/1.1 200 OK\r\n", false},
                             Row{"HTTP/1.1 421 MisHTTP/1.0 200\r\n", false});
    CAPTURE(row.head);
    boost::asio::io_context io;
    ClosingServer server(io, row.head + "Content-Length: 0\r\n\r\n", ClosingServer::Close::Fin);
    HttpClient client(io);
    HttpCall call;
    call.endpoint = server.endpoint();
    std::optional<Outcome<HttpResponse>> result;
    client.call(call, [&](Outcome<HttpResponse> outcome) { result = std::move(outcome); });
    runUntil(io, [&] { return result.has_value(); });
    CHECK(succeeded(*result) == row.isSound);
    if (!row.isSound)
        CHECK(std::get<Error>(*result).code == ResultCode::PlatformBadReply);
}

// Guards against an order that reaches its server long after the facts that it is based on.
TEST_CASE("A call is not sent after the time by which it has to be")
{
    boost::asio::io_context io;
    int requests = 0;
    auto outcome = capture([&] {
        return HttpServer::listen(io, {}, [&](const HttpRequest &, const auto &reply) {
            ++requests;
            reply->send({200, {}, ""});
        });
    });
    REQUIRE(succeeded(outcome));
    const auto server = std::move(std::get<0>(outcome));
    HttpCall call;
    call.endpoint = {"127.0.0.1", server->boundPort()};

    SECTION("on a new connection")
    {
        call.sendBefore = AsioScheduler(io).now() - 1ms;
        CHECK(callUntilError(io, call) == ResultCode::NotSent);
        CHECK(requests == 0);
    }
    SECTION("and is sent before that time")
    {
        call.sendBefore = AsioScheduler(io).now() + 1h;
        CHECK(callUntilError(io, call) == ResultCode::Ok);
        CHECK(requests == 1);
    }
}

// Guards against a copy of an earlier response that is taken for the response to the next call, and
// against a call that is lost because the server has just closed the connection.
TEST_CASE("A call uses no idle connection on which bytes or a close have arrived")
{
    boost::asio::io_context io;
    const std::string own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    const std::string copy = "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\ncopy";
    tcp::acceptor acceptor(io, {Loopback, 0});
    std::vector<std::shared_ptr<tcp::socket>> connections;
    std::array<char, 4096> request{};
    std::string response = own;
    std::function<void()> accept = [&] {
        auto socket = std::make_shared<tcp::socket>(io);
        acceptor.async_accept(*socket, [&, socket](auto) {
            connections.push_back(socket);
            socket->async_read_some(boost::asio::buffer(request), [&, socket](auto, std::size_t) {
                boost::asio::write(*socket, boost::asio::buffer(response));
            });
            accept();
        });
    };
    accept();
    HttpClient client(io);
    HttpCall call;
    call.endpoint = {"127.0.0.1", acceptor.local_endpoint().port()};
    call.method = "POST";
    std::optional<Outcome<HttpResponse>> result;
    const auto fetch = [&] {
        result.reset();
        client.call(call, [&](Outcome<HttpResponse> outcome) { result = std::move(outcome); });
        runUntil(io, [&] { return result.has_value(); });
        const auto *received = std::get_if<HttpResponse>(&*result);
        return received ? received->body : std::string("failed");
    };

    SECTION("a copy that arrives just before the next call")
    {
        REQUIRE(fetch() == "own");
        REQUIRE(client.idleConnections() == 1);
        boost::asio::write(*connections[0], boost::asio::buffer(copy));
        CHECK(fetch() == "own");
        CHECK(connections.size() == 2);
    }
    SECTION("a copy in the same read as the end of the response")
    {
        response = own + copy;
        REQUIRE(fetch() == "own");
        CHECK(client.idleConnections() == 0);
        CHECK(fetch() == "own");
        CHECK(connections.size() == 2);
    }
    SECTION("a close that arrives just before the next call")
    {
        REQUIRE(fetch() == "own");
        const bool isReset = GENERATE(false, true);
        if (isReset)
            connections[0]->set_option(boost::asio::socket_base::linger(true, 0));
        connections[0]->close();
        CHECK(fetch() == "own");
        CHECK(connections.size() == 2);
    }
    SECTION("a response that arrives while the request is being written")
    {
        call.body.assign(32UL * 1024 * 1024, 'x'); // More than fits into the socket buffers.
        REQUIRE(fetch() == "own");
        CHECK(client.idleConnections() == 0);
    }
}

// Guards against requests that are cut off without an answer because the server stops at the moment
// at which they arrive.
TEST_CASE("A server that stops answers the requests that have reached it")
{
    boost::asio::io_context io;
    constexpr std::size_t LargeBytes = 32UL * 1024 * 1024; // More than the socket buffers hold.
    std::shared_ptr<HttpReply> stream;
    bool isLargeSent = false;
    HttpServerOptions options;
    options.requestTimeout = 60s;
    auto outcome = capture([&] {
        return HttpServer::listen(io, options, [&](const HttpRequest &request, const auto &reply) {
            if (request.target == "/stream") {
                stream = reply;
                reply->start(200, {});
                reply->write("part");
            } else if (request.target == "/large") {
                isLargeSent = true;
                reply->send({200, {}, std::string(LargeBytes, 'x') + "end"});
            } else {
                reply->send({200, {}, request.target});
            }
        });
    });
    REQUIRE(succeeded(outcome));
    const auto server = std::move(std::get<0>(outcome));
    const std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string streamRequest = "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n";
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    const auto connect = [&]() -> tcp::socket & {
        sockets.push_back(std::make_unique<tcp::socket>(io));
        sockets.back()->connect({Loopback, server->boundPort()});
        return *sockets.back();
    };
    const auto responseTo = [&](tcp::socket &socket, const std::string &end = "/a") {
        std::string received;
        std::array<char, 4096> chunk{};
        bool isClosed = false;
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(chunk), [&](auto ec, std::size_t n) {
                received.append(chunk.data(), n);
                isClosed = ec || received.ends_with(end);
                if (!isClosed)
                    read();
            });
        };
        read();
        runUntil(io, [&] { return isClosed; });
        return received;
    };

    SECTION("in the listen queue")
    {
        constexpr int Connections = 20;
        for (int i = 0; i < Connections; ++i)
            boost::asio::write(connect(), boost::asio::buffer(request));
        server->stopAccepting();
        for (const auto &socket : sockets)
            CHECK(responseTo(*socket).ends_with("/a"));
    }
    SECTION("on a connection that was idle")
    {
        tcp::socket &socket = connect();
        boost::asio::write(socket, boost::asio::buffer(request));
        REQUIRE(responseTo(socket).ends_with("/a"));
        boost::asio::write(socket, boost::asio::buffer(request));
        server->stopAccepting();
        CHECK(responseTo(socket).ends_with("/a"));
    }
    SECTION("on a connection that has just been opened")
    {
        tcp::socket &socket = connect();
        runUntil(io, [&] { return server->openConnections() == 1; });
        server->stopAccepting();
        boost::asio::write(socket, boost::asio::buffer(request));
        CHECK(responseTo(socket).ends_with("/a"));
    }
    // The reply to a stream promises at its start that the connection stays open. The next request
    // was read and discarded.
    SECTION("on a connection that had to stay open after a stream")
    {
        tcp::socket &socket = connect();
        boost::asio::write(socket, boost::asio::buffer(streamRequest));
        REQUIRE(responseTo(socket, "part\r\n").find("Connection: close") == std::string::npos);
        server->stopAccepting();
        stream->finish();
        REQUIRE(responseTo(socket, "0\r\n\r\n").ends_with("0\r\n\r\n"));
        boost::asio::write(socket, boost::asio::buffer(request));
        const std::string response = responseTo(socket);
        CHECK(response.ends_with("/a"));
        CHECK(response.find("Connection: close") != std::string::npos);
    }
    SECTION("on a connection that had to stay open after a reply that was being written")
    {
        tcp::socket &socket = connect();
        boost::asio::write(
                socket, boost::asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")));
        runUntil(io, [&] { return isLargeSent; });
        server->stopAccepting();
        const std::string large = responseTo(socket, "end");
        REQUIRE(large.size() > LargeBytes);
        REQUIRE(large.find("Connection: close") == std::string::npos);
        boost::asio::write(socket, boost::asio::buffer(request));
        CHECK(responseTo(socket).ends_with("/a"));
    }
    SECTION("and closes such a connection if there is none")
    {
        tcp::socket &socket = connect();
        boost::asio::write(socket, boost::asio::buffer(streamRequest));
        REQUIRE(responseTo(socket, "part\r\n").ends_with("part\r\n"));
        server->stopAccepting();
        stream->finish();
        runUntil(io, [&] { return server->openConnections() == 0; });
    }
    // A client whose body arrived slowly could not tell whether its request had run.
    SECTION("also those that are still arriving shortly before it ends")
    {
        tcp::socket &socket = connect();
        boost::asio::write(socket, boost::asio::buffer(std::string(
                                           "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                                           "5\r\nExpect: 100-continue\r\n\r\n")));
        REQUIRE(responseTo(socket, "\r\n\r\n").starts_with("HTTP/1.1 100 "));
        boost::asio::write(socket, boost::asio::buffer(std::string("12")));
        server->stopAccepting();
        server->rejectIncomplete();
        const std::string response = responseTo(socket, "\r\n\r\n");
        CHECK(response.starts_with("HTTP/1.1 408 "));
        CHECK(response.find("Connection: close") != std::string::npos);
        boost::asio::write(socket, boost::asio::buffer(std::string("345")));
        CHECK(responseTo(socket).empty());
    }
    SECTION("but closes idle connections")
    {
        tcp::socket &socket = connect();
        boost::asio::write(socket, boost::asio::buffer(request));
        REQUIRE(responseTo(socket).ends_with("/a"));
        server->stopAccepting();
        runUntil(io, [&] { return server->openConnections() == 0; });
    }
}

// Guards against a request that is lost because it arrives while the server closes its connection
// as idle.
TEST_CASE("A server answers a request that has arrived by the end of the idle time")
{
    boost::asio::io_context io;
    HttpServerOptions options;
    options.idleTimeout = 500ms;
    auto outcome = capture([&] {
        return HttpServer::listen(io, options, [](const HttpRequest &request, const auto &reply) {
            reply->send({200, {}, request.target});
        });
    });
    REQUIRE(succeeded(outcome));
    const auto server = std::move(std::get<0>(outcome));
    tcp::socket socket(io);
    socket.connect({Loopback, server->boundPort()});
    runUntil(io, [&] { return server->openConnections() == 1; });

    // Both timers expire before the event loop goes on, and run in this order in one iteration.
    boost::asio::steady_timer arrival(io, 1ms);
    arrival.async_wait([&](auto) {
        boost::asio::write(socket,
                           boost::asio::buffer(std::string("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")));
    });
    std::this_thread::sleep_for(options.idleTimeout + 100ms);
    std::string received;
    std::array<char, 4096> chunk{};
    bool isDone = false;
    socket.async_read_some(boost::asio::buffer(chunk), [&](auto, std::size_t n) {
        received.assign(chunk.data(), n);
        isDone = true;
    });
    runUntil(io, [&] { return isDone; });
    CHECK(received.ends_with("/a"));
}

namespace {

/// Server that answers each request with given bytes and leaves the connections open.
class FixedReplyServer
{
public:
    FixedReplyServer(boost::asio::io_context &io, std::string bytes)
        : m_io(io)
        , m_acceptor(io, {Loopback, 0})
        , m_bytes(std::move(bytes))
    {
        accept();
    }

    HttpCall call() const
    {
        HttpCall call;
        call.endpoint = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        call.idleTimeout = 5s;
        return call;
    }

    std::size_t connections = 0;
    std::size_t requests = 0;

private:
    void accept()
    {
        auto socket = std::make_shared<tcp::socket>(m_io);
        m_acceptor.async_accept(*socket, [this, socket](auto ec) {
            if (ec)
                return;
            ++connections;
            read(socket);
            accept();
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        socket->async_read_some(boost::asio::buffer(m_request),
                                [this, socket](auto ec, std::size_t) {
                                    if (ec)
                                        return;
                                    ++requests;
                                    boost::asio::write(*socket, boost::asio::buffer(m_bytes), ec);
                                    read(socket);
                                });
    }

    boost::asio::io_context &m_io;
    tcp::acceptor m_acceptor;
    std::string m_bytes;
    std::array<char, 4096> m_request{};
};

} // namespace

// Guards against a broken response that is passed on as if it were one. The store, the origin and
// plain services are read as a whole, backend servers as a stream.
TEST_CASE("A call fails if the status of its response is not one of HTTP")
{
    const std::string status = GENERATE("000", "001", "099", "600", "999", "1000", "+200", "-20",
                                        "2 0", "   ", "", "20", " 200");
    CAPTURE(status);
    boost::asio::io_context io;
    FixedReplyServer server(io, "HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok");
    HttpClient client(io);

    SECTION("read as a whole")
    {
        for (std::size_t calls = 1; calls <= 2; ++calls) {
            std::optional<Outcome<HttpResponse>> result;
            client.call(server.call(), [&](auto outcome) { result = std::move(outcome); });
            runUntil(io, [&] { return result.has_value(); });
            REQUIRE_FALSE(succeeded(*result));
            CHECK(std::get<Error>(*result).code == ResultCode::PlatformBadReply);
            // The connection is not used again, and the request may have run: no retry.
            CHECK(server.connections == calls);
            CHECK(server.requests == calls);
        }
    }
    SECTION("read as a stream")
    {
        bool hasHead = false;
        std::string data;
        std::optional<Outcome<std::monostate>> result;
        HttpStreamHandlers handlers;
        handlers.onHeader = [&](int, const HttpHeaders &) { hasHead = true; };
        handlers.onOtherHeader = [&](int, const HttpHeaders &) { hasHead = true; };
        handlers.onData = [&](std::string_view bytes) { data += bytes; };
        handlers.onEnd = [&](const auto &outcome) { result = outcome; };
        const auto call = client.stream(server.call(), std::move(handlers));
        runUntil(io, [&] { return result.has_value(); });
        REQUIRE_FALSE(succeeded(*result));
        CHECK(std::get<Error>(*result).code == ResultCode::PlatformBadReply);
        CHECK_FALSE(hasHead);
        CHECK(data.empty());
    }
}

TEST_CASE("A call accepts each status of HTTP, and interim responses before it")
{
    const int status = GENERATE(200, 299, 404, 503, 599);
    boost::asio::io_context io;
    FixedReplyServer server(io, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 Other\r\n\r\nHTTP/1.1 "
                                        + std::to_string(status)
                                        + " OK\r\nContent-Length: 2\r\n\r\nok");
    HttpClient client(io);
    std::optional<Outcome<HttpResponse>> result;
    client.call(server.call(), [&](auto outcome) { result = std::move(outcome); });
    runUntil(io, [&] { return result.has_value(); });
    REQUIRE(succeeded(*result));
    CHECK(std::get<0>(*result).status == status);
    CHECK(std::get<0>(*result).body == "ok");
}
