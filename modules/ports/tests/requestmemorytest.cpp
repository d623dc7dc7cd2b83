#include "loopback.h"

#include <godwit/ports/httpserver.h>

#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t Limit = 1024UL * 1024;

/// Server with a limit of memory and connections. Its handler keeps replies while isHolding is set.
struct LimitedServer
{
    boost::asio::io_context io;
    HttpServerOptions options;
    std::vector<std::shared_ptr<HttpReply>> held;
    std::map<ServerRejection, int> rejections;
    std::unique_ptr<HttpServer> server;
    std::size_t handled = 0;
    bool isHolding = false;
    std::string response = "ok";

    void listen()
    {
        auto outcome = capture([&] {
            return HttpServer::listen(io, options, [this](const HttpRequest &, const auto &reply) {
                ++handled;
                if (isHolding)
                    held.push_back(reply);
                else
                    reply->send({200, {}, response});
            });
        });
        REQUIRE(succeeded(outcome));
        server = std::move(std::get<0>(outcome));
        server->setOnRejected([this](ServerRejection reason) { ++rejections[reason]; });
    }
};

/// Client that sends in parts and collects what the server answers.
struct RawCaller
{
    explicit RawCaller(LimitedServer &it)
        : owner(it)
        , socket(it.io)
    {
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), it.server->boundPort()});
        read();
    }

    void send(const std::string &text)
    {
        isWriting = true;
        boost::asio::async_write(socket, boost::asio::buffer(text),
                                 [this](auto, std::size_t) { isWriting = false; });
        runUntil(owner.io, [this] { return !isWriting; });
        settle();
    }

    /// Lets the server handle what has arrived.
    void settle() const
    {
        for (int i = 0; i < 5; ++i) {
            owner.io.restart();
            owner.io.run_for(5ms);
        }
    }

    void read()
    {
        const auto onRead = [this, alive = std::weak_ptr(life)](auto ec, std::size_t n) {
            if (alive.expired())
                return;
            received.append(chunk.data(), n);
            isClosed = static_cast<bool>(ec);
            if (!isClosed)
                read();
        };
        socket.async_read_some(boost::asio::buffer(chunk), onRead);
    }

    bool isRejectedWith(const std::string &status) const
    {
        return received.starts_with("HTTP/1.1 " + status);
    }

    LimitedServer &owner;
    tcp::socket socket;
    std::array<char, 4096> chunk{};
    std::string received;
    bool isClosed = false;
    bool isWriting = false;
    std::shared_ptr<bool> life = std::make_shared<bool>(); ///< Ends the callbacks.
};

std::string postHead(const std::string &framing)
{
    return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
}

std::string announced(std::size_t length)
{
    return postHead("Content-Length: " + std::to_string(length));
}

std::string chunk(std::size_t size)
{
    std::ostringstream text;
    text << std::hex << size << "\r\n" << std::string(size, 'x') << "\r\n";
    return text.str();
}

const std::string Get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

} // namespace

// Guards against a process that runs out of memory because of bodies that are never completed.
TEST_CASE("HTTP server rejects the incomplete request without progress when its memory is used up")
{
    LimitedServer it;
    it.options.requestMemoryLimit = Limit;
    it.listen();
    const bool isChunked = GENERATE(false, true);
    // Two of these fit, also with a quarter more for growth, and three do not.
    constexpr std::size_t Part = Limit / 16 * 5;
    const std::string head =
            isChunked ? postHead("Transfer-Encoding: chunked") : announced(Part + 1000);
    const std::string part = isChunked ? chunk(Part) : std::string(Part, 'x');
    RawCaller first(it);
    RawCaller second(it);
    first.send(head + part);
    second.send(head + part);
    // Progress of the first one makes the second one the next to be rejected.
    first.send(isChunked ? chunk(1) : "x");
    RawCaller third(it);
    third.send(head + part);
    runUntil(it.io, [&] { return second.isClosed; });
    CHECK(second.isRejectedWith("408"));
    CHECK(first.received.empty());
    CHECK(third.received.empty());
    CHECK(it.rejections[ServerRejection::IncompleteForMemory] == 1);
    CHECK(it.server->requestBytes() <= Limit);
    CHECK(it.handled == 0);
    first.socket.close();
    third.socket.close();
    runUntil(it.io, [&] { return it.server->openConnections() == 0; });
    CHECK(it.server->requestBytes() == 0);
}

// Guards against memory that counts as held although it has been released: the server would refuse
// all requests after a while.
TEST_CASE("HTTP server releases the memory of requests")
{
    LimitedServer it;
    it.options.requestMemoryLimit = Limit;
    it.options.bodyLimit = Limit / 2;
    it.listen();
    std::vector<std::string> requests{
            Get,
            announced(Limit / 4) + std::string(Limit / 4, 'x'),
            announced(Limit) + std::string(1000, 'x'),
            postHead("Transfer-Encoding: chunked") + chunk(Limit / 4) + chunk(Limit / 4)
                    + chunk(Limit / 4),
            postHead("Transfer-Encoding: chunked") + chunk(Limit / 4) + "0\r\n\r\n",
            postHead("Transfer-Encoding: chunked") + chunk(Limit / 4),
            "GET / HTTP/1.1\r\nHost: h\r\nX-Fill: " + std::string(15'000, 'x'),
            Get + Get + Get + Get,
            "nonsense\r\n\r\n",
    };
    for (const std::string &request : requests) {
        for (int i = 0; i < 3; ++i) {
            RawCaller caller(it);
            caller.send(request);
        }
        runUntil(it.io, [&] { return it.server->openConnections() == 0; });
        CHECK(it.server->requestBytes() == 0);
    }
}

// Guards against handlers that hold more bodies than the memory allows, and against ordinary
// requests that are refused together with long ones.
TEST_CASE("HTTP server refuses complete requests for which it has no memory")
{
    LimitedServer it;
    it.options.requestMemoryLimit = Limit;
    it.options.handlerCopies = 2;
    it.isHolding = true;
    it.listen();
    const std::string request = announced(Limit / 4) + std::string(Limit / 4, 'x');
    RawCaller first(it);
    first.send(request);
    CHECK(it.handled == 1);
    RawCaller second(it);
    second.send(request);
    runUntil(it.io, [&] { return !second.received.empty(); });
    CHECK(second.isRejectedWith("503"));
    CHECK(second.received.find("Retry-After: ") != std::string::npos);
    CHECK(it.handled == 1);
    CHECK(it.rejections[ServerRejection::CompleteForMemory] == 1);
    // The connection of the refused request is still usable, and a small request gets through.
    second.send(Get);
    CHECK(it.handled == 2);
    // What the handler has released can be used again.
    it.held.clear();
    RawCaller third(it);
    third.send(request);
    CHECK(it.handled == 3);
    it.held.clear();
    runUntil(it.io, [&] { return third.received.starts_with("HTTP/1.1 500"); });
    CHECK(it.server->requestBytes() == 0);
}

// Guards against headers that take more memory than their bytes: a field takes two strings.
TEST_CASE("HTTP server counts the memory of parsed headers")
{
    LimitedServer it;
    it.options.requestMemoryLimit = Limit;
    it.listen();
    std::string fields = "Content-Length: 10";
    for (int i = 0; i < 3000; ++i)
        fields += "\r\na:";
    RawCaller caller(it);
    caller.send(postHead(fields));
    CHECK(it.server->requestBytes() > 3000 * sizeof(HttpHeaders::Field));
}

// Guards against clients that request large responses and read none of them.
TEST_CASE("HTTP server closes the connection that has not read its reply for the longest time")
{
    LimitedServer it;
    it.options.outputMemoryLimit = 64 * Limit;
    it.response = std::string(24 * Limit, 'x');
    it.listen();
    std::vector<std::unique_ptr<tcp::socket>> clients;
    for (int i = 0; i < 4; ++i) {
        clients.push_back(std::make_unique<tcp::socket>(it.io));
        clients.back()->connect(
                {boost::asio::ip::make_address("127.0.0.1"), it.server->boundPort()});
        boost::asio::write(*clients.back(), boost::asio::buffer(Get));
        runUntil(it.io, [&] { return it.handled == clients.size(); });
    }
    runUntil(it.io, [&] { return it.rejections[ServerRejection::OutputMemory] == 2; });
    CHECK(it.server->openConnections() == 2);
}

// Guards against idle or slow clients that occupy all connections.
TEST_CASE("HTTP server closes the connection that is needed least for a new one")
{
    LimitedServer it;
    it.options.connectionLimit = 2;
    it.listen();
    SECTION("the one that has been idle for the longest time")
    {
        RawCaller first(it);
        first.send(Get);
        RawCaller second(it);
        second.send(Get);
        first.send(Get);
        RawCaller third(it);
        third.send(Get);
        runUntil(it.io, [&] { return second.isClosed; });
        CHECK_FALSE(first.isClosed);
        CHECK(third.isRejectedWith("200"));
        CHECK(it.rejections[ServerRejection::IdleForConnection] == 1);
    }
    SECTION("without idle ones, the incomplete request without progress")
    {
        RawCaller first(it);
        first.send("GET / HT");
        RawCaller second(it);
        second.send("GET / HT");
        RawCaller third(it);
        third.send(Get);
        runUntil(it.io, [&] { return first.isClosed; });
        CHECK(first.isRejectedWith("408"));
        CHECK_FALSE(second.isClosed);
        CHECK(third.isRejectedWith("200"));
        CHECK(it.rejections[ServerRejection::IncompleteForConnection] == 1);
    }
    SECTION("the new one if all others are busy")
    {
        it.isHolding = true;
        RawCaller first(it);
        first.send(Get);
        RawCaller second(it);
        second.send(Get);
        RawCaller third(it);
        runUntil(it.io, [&] { return third.isClosed; });
        CHECK_FALSE(first.isClosed);
        CHECK_FALSE(second.isClosed);
        CHECK(it.rejections[ServerRejection::Connection] == 1);
        it.held.clear();
    }
}

// Guards against a rejected client that occupies the thread with the rest of its body.
TEST_CASE("HTTP server reads a limited number of bytes after a rejection")
{
    LimitedServer it;
    it.options.bodyLimit = 1000;
    it.listen();
    RawCaller caller(it);
    const std::string part(Limit, 'x');
    std::size_t sent = 0;
    std::function<void()> write = [&] {
        boost::asio::async_write(caller.socket, boost::asio::buffer(part),
                                 [&](auto ec, std::size_t n) {
                                     sent += n;
                                     if (!ec)
                                         write();
                                 });
    };
    caller.send(announced(Limit * 1000));
    CHECK(caller.isRejectedWith("413"));
    write();
    runUntil(it.io, [&] { return it.server->openConnections() == 0; });
    CHECK(sent < 64 * Limit);
    CHECK(it.rejections[ServerRejection::BodyLimit] == 1);
    CHECK(it.handled == 0);
}
