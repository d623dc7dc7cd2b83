#include "loopback.h"

#include <godwit/ports/httpserver.h>

#include <boost/asio/steady_timer.hpp>

using namespace godwit;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

/// Server that records the requests that its handler receives.
struct RecordingServer
{
    boost::asio::io_context io;
    HttpServerOptions options;
    std::vector<HttpRequest> requests;
    std::unique_ptr<HttpServer> server;

    void listen()
    {
        auto outcome = capture([&] {
            return HttpServer::listen(io, options, [this](HttpRequest request, const auto &reply) {
                requests.push_back(std::move(request));
                reply->send({200, {}, "ok"});
            });
        });
        REQUIRE(succeeded(outcome));
        server = std::move(std::get<0>(outcome));
    }

    /// Sends \a bytes, and \a more repeatedly until the server closes the connection. Returns what
    /// the server sent.
    std::string exchange(const std::string &bytes, const std::string &more = {})
    {
        tcp::socket socket(io);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), server->boundPort()});
        std::string received;
        std::array<char, 4096> chunk{};
        bool isClosed = false;
        bool isWriting = false;
        std::function<void(const std::string &)> write = [&](const std::string &part) {
            isWriting = true;
            boost::asio::async_write(socket, boost::asio::buffer(part),
                                     [&](auto ec, std::size_t n) {
                                         isWriting = false;
                                         sent += n;
                                         if (!ec && !isClosed && !more.empty())
                                             write(more);
                                     });
        };
        std::function<void()> read = [&] {
            socket.async_read_some(boost::asio::buffer(chunk), [&](auto ec, std::size_t n) {
                received.append(chunk.data(), n);
                isClosed = static_cast<bool>(ec);
                if (!isClosed)
                    read();
            });
        };
        write(bytes);
        read();
        runUntil(io, [&] { return isClosed; });
        boost::system::error_code ec;
        socket.close(ec);
        runUntil(io, [&] { return !isWriting; });
        return received;
    }

    std::size_t sent = 0;
};

} // namespace

// Guards against a caller that makes the process use more memory with every byte, within the
// framing of a request that it never ends.
TEST_CASE("HTTP server limits the framing of a chunked request")
{
    RecordingServer it;
    it.options.requestTimeout = 5s;
    it.listen();
    struct Row
    {
        const char *what;
        std::string head;
        std::string part;
    };
    const std::string kilobyte(1024, 'x');
    const auto row = GENERATE_COPY(Row{"a chunk extension", "5;", kilobyte},
                                   Row{"a chunk size", "0", std::string(1024, '0')},
                                   Row{"a trailer", "0\r\nX-A: ", kilobyte},
                                   Row{"trailer lines", "0\r\n", "X-A: " + kilobyte + "\r\n"});
    INFO(row.what);
    constexpr std::size_t MaxAccepted = 8UL * 1024 * 1024; // mostly socket buffers
    const std::string received = it.exchange(
            "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + row.head,
            row.part);
    CHECK((received.starts_with("HTTP/1.1 4") || received.empty()));
    CHECK(received.find("HTTP/1.1 408") == std::string::npos);
    CHECK(it.requests.empty());
    CHECK(it.sent < MaxAccepted);
}

// Guards against the body of a request that is read as a further request.
TEST_CASE("HTTP server runs no request out of the body of another one")
{
    RecordingServer it;
    it.options.idleTimeout = 100ms;
    it.options.requestTimeout = 100ms;
    it.listen();
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: h\r\n\r\n";
    const std::string length = std::to_string(inner.size());
    const std::string chunk = "20\r\n" + inner + "\r\n0\r\n\r\n";
    REQUIRE(inner.size() == 0x20);
    struct Row
    {
        const char *what;
        std::string framing;
        std::string body;
    };
    const auto row = GENERATE_COPY(
            Row{"an encoding other than chunked", "Transfer-Encoding: gzip\r\n", inner},
            Row{"an encoding after chunked", "Transfer-Encoding: chunked, gzip\r\n", inner},
            Row{"an encoding before chunked", "Transfer-Encoding: gzip, chunked\r\n", chunk},
            Row{"an unknown encoding", "Transfer-Encoding: xchunked\r\n", inner},
            Row{"an encoding in quotes", "Transfer-Encoding: \"chunked\"\r\n", inner},
            Row{"an empty encoding", "Transfer-Encoding:\r\n", inner},
            Row{"two encodings", "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
                chunk},
            Row{"two encodings, the first one unknown",
                "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunk},
            Row{"an encoding and a length",
                "Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n", inner},
            Row{"a length and an encoding", "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
                chunk},
            Row{"an unknown encoding and a length",
                "Transfer-Encoding: gzip\r\nContent-Length: 0\r\n", inner},
            Row{"a length and an unknown encoding",
                "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n", inner},
            Row{"two lengths", "Content-Length: 0\r\nContent-Length: " + length + "\r\n", inner},
            Row{"a list of lengths", "Content-Length: 0, " + length + "\r\n", inner},
            Row{"a negative length", "Content-Length: -1\r\n", inner},
            Row{"a length with a sign", "Content-Length: +0\r\n", inner},
            Row{"a hexadecimal length", "Content-Length: 0x20\r\n", inner},
            Row{"an empty length", "Content-Length:\r\n", inner},
            Row{"a length that overflows", "Content-Length: 18446744073709551616\r\n", inner},
            Row{"a space before the colon", "Content-Length : " + length + "\r\n", inner},
            Row{"a folded encoding", "Transfer-Encoding:\r\n chunked\r\n", inner},
            Row{"a bare line feed", "X-A: b\nTransfer-Encoding: chunked\r\n", inner},
            Row{"a bare carriage return", "X-A: b\rContent-Length: 0\r\n", inner},
            Row{"a chunk size that overflows", "Transfer-Encoding: chunked\r\n",
                "10000000000000000\r\n" + inner},
            Row{"a negative chunk size", "Transfer-Encoding: chunked\r\n", "-1\r\n" + inner},
            Row{"a chunk longer than its size", "Transfer-Encoding: chunked\r\n",
                "1\r\n" + inner + "\r\n0\r\n\r\n"},
            Row{"a length in a trailer", "Transfer-Encoding: chunked\r\n",
                "0\r\nContent-Length: " + length + "\r\n\r\n" + inner});
    INFO(row.what);
    const std::string received =
            it.exchange("POST /outer HTTP/1.1\r\nHost: h\r\n" + row.framing + "\r\n" + row.body);
    CAPTURE(received);
    for (const HttpRequest &request : it.requests)
        CHECK(request.target != "/inner");
    CHECK(received.starts_with("HTTP/1.1 4"));
}

// Guards against a request that is changed by its trailers: they are not part of its headers.
TEST_CASE("HTTP server ignores the trailers of a request")
{
    RecordingServer it;
    it.options.idleTimeout = 100ms;
    it.listen();
    const std::string received =
            it.exchange("POST / HTTP/1.1\r\nHost: h\r\nX-A: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "2;a=b\r\nab\r\n0;c\r\nX-B: 2\r\nAuthorization: t\r\n\r\n");
    CHECK(received.starts_with("HTTP/1.1 200"));
    REQUIRE(it.requests.size() == 1);
    CHECK(it.requests[0].body == "ab");
    CHECK(it.requests[0].headers.value("X-A") == "1");
    CHECK(it.requests[0].headers.find("X-B") == nullptr);
    CHECK(it.requests[0].headers.find("Authorization") == nullptr);
}
