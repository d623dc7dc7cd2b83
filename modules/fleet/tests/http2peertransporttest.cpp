#include "http2peertransport.h"

#include "loopback.h"

#include <godwit/ports/asioscheduler.h>
#include <godwit/wire/wiremessage.h>

using namespace godwit;

namespace {

constexpr std::uint32_t ExpectedBytes = 1000;

/// A transport and a peer that answers requests for chunks as the test says.
struct Fixture
{
    boost::asio::io_context io{1};
    std::function<void(WireStream &)> respond;
    std::shared_ptr<WireStream> stream; ///< Of the last request.
    std::unique_ptr<WireServer> server = listen();
    AsioScheduler scheduler{io};
    Http2PeerTransport transport{io, scheduler, HostId("127.0.0.1"), server->port(), {}};

    std::unique_ptr<WireServer> listen()
    {
        auto outcome = capture([&] {
            return WireServer::listen(io, "127.0.0.1", 0,
                                      [this](const std::shared_ptr<WireStream> &requested) {
                                          stream = requested;
                                          stream->setEvents({});
                                          respond(*stream);
                                      });
        });
        REQUIRE(succeeded(outcome));
        return std::move(std::get<0>(outcome));
    }

    Outcome<std::string> fetch()
    {
        std::optional<Outcome<std::string>> result;
        const auto call = transport.fetch(
                HostId("127.0.0.1"), Digest(), ExpectedBytes, [] {},
                [&](Outcome<std::string> outcome) { result = std::move(outcome); });
        runUntil(io, [&] { return result.has_value(); });
        return std::move(*result);
    }
};

} // namespace

TEST_CASE("Http2PeerTransport fetches a chunk from a peer")
{
    Fixture it;

    SECTION("a chunk arrives")
    {
        it.respond = [](WireStream &stream) {
            reply(stream, 200, std::string(ExpectedBytes, 'x'));
        };
        const auto outcome = it.fetch();
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome).size() == ExpectedBytes);
    }
    SECTION("a refusal has the code of the peer")
    {
        it.respond = [](WireStream &stream) {
            stream.respond(503, {{"x-godwit-code", "4010"}});
            stream.finish();
        };
        CHECK(std::get<Error>(it.fetch()).code == static_cast<ResultCode>(4010));
    }
    // A peer of another version replies 404; the missing chunk was taken for a corrupt one.
    SECTION("any other reply is no chunk")
    {
        struct Row
        {
            int status;
            WireFields fields;
        };
        const auto row =
                GENERATE(Row{404, {}}, Row{400, {}}, Row{503, {}},
                         Row{503, {{"x-godwit-code", "0"}}}, Row{200, {{"x-godwit-code", "busy"}}});
        it.respond = [&row](WireStream &stream) {
            stream.respond(row.status, row.fields);
            stream.finish();
        };
        const auto outcome = it.fetch();
        REQUIRE_FALSE(succeeded(outcome));
        CHECK(std::get<Error>(outcome).code == ResultCode::MessageMalformed);
    }
    // A faulty peer that goes on sending counted as progress until it stopped.
    SECTION("a chunk without an end is cancelled once it is too long")
    {
        it.respond = [](WireStream &stream) {
            stream.respond(200);
            stream.write(std::string(ExpectedBytes + 1, 'x'));
        };
        const auto outcome = it.fetch();
        REQUIRE(succeeded(outcome));
        CHECK(std::get<0>(outcome).size() > ExpectedBytes); // Its verification fails.
        runUntil(it.io, [&] { return it.stream->ended(); });
    }
}
