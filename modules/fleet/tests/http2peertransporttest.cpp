#include "http2peertransport.h"

#include "loopback.h"

#include <godwit/ports/asioscheduler.h>
#include <godwit/wire/wireclient.h>
#include <godwit/wire/wiremessage.h>
#include <godwit/wire/wireserver.h>

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

/// A transport that sends chunks to a peer and can be destroyed.
struct SendingFixture
{
    explicit SendingFixture(const UploadLinks &links = {})
    {
        transport = std::make_unique<Http2PeerTransport>(io, scheduler, HostId("127.0.0.2"),
                                                         server->port(), links);
        const auto listening = capture([&]() -> Result<int> {
            BOOST_LEAF_CHECK(transport->listen(
                    {[this](const HostId &, const HaveUpdate &) { ++calls; },
                     [this](const HostId &, const Digest &, UploadId upload) {
                         ++calls;
                         uploads.push_back(upload);
                     },
                     [this](UploadId) { ++calls; }, [this](const ManifestRequest &) { ++calls; }}));
            return 0;
        });
        REQUIRE(succeeded(listening));
    }

    void requestChunk()
    {
        StreamEvents events;
        events.onData = [this](std::string_view data) { received += data.size(); };
        request = peer.open("/chunks/get",
                            {{"x-godwit-host", "127.0.0.1"}, {"x-godwit-digest", Digest().toHex()}},
                            std::move(events));
        request->finish();
    }

    void serve(UploadId upload)
    {
        ServeChunk chunk;
        chunk.upload = upload;
        chunk.peer = HostId("127.0.0.1");
        chunk.bytes = std::make_shared<const std::string>(ChunkSize, 'x');
        transport->serve(chunk, [this](bool) { ++calls; });
    }

    /// Destroys the transport and returns how often it has called back since then, including what
    /// the event loop does until the last request of the peer has failed.
    int callsAfterDestruction()
    {
        calls = 0;
        transport.reset();
        runUntil(io, [&] { return request->ended(); });
        return calls;
    }

    static constexpr std::size_t ChunkSize = 1'000'000;

    boost::asio::io_context io{1};
    AsioScheduler scheduler{io};
    int calls = 0; ///< Of handlers and completions.
    std::size_t received = 0;
    std::vector<UploadId> uploads;
    std::shared_ptr<WireStream> request; ///< Last one of the peer.
    /// All hosts listen on the same port; the port of this server is free on the other address.
    std::unique_ptr<WireServer> server = listenSilently(io);
    WireClient peer{io, "127.0.0.2", server->port()};
    std::unique_ptr<Http2PeerTransport> transport;

    static std::unique_ptr<WireServer> listenSilently(boost::asio::io_context &io)
    {
        auto outcome = capture([&] {
            return WireServer::listen(
                    io, "127.0.0.1", 0,
                    [](const std::shared_ptr<WireStream> &stream) { stream->setEvents({}); });
        });
        REQUIRE(succeeded(outcome));
        return std::move(std::get<0>(outcome));
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

// Guards against a use of destroyed uploads, which made host processes crash or hang at SIGTERM.
TEST_CASE("Http2PeerTransport is destroyed during transfers without a call back")
{
    SECTION("chunks are requested, sent or wait for the link")
    {
        constexpr std::size_t Uploads = 3;
        UploadLinks links;
        links.hostRate = 100'000;
        SendingFixture it(links);
        for (std::size_t i = 0; i < Uploads; ++i)
            it.requestChunk();
        runUntil(it.io, [&] { return it.uploads.size() == Uploads; });
        it.serve(it.uploads[0]);
        it.serve(it.uploads[1]);
        runUntil(it.io, [&] { return it.received > 0; });
        CHECK(it.callsAfterDestruction() == 0);
    }
    SECTION("chunks are sent as fast as the peer reads")
    {
        SendingFixture it;
        it.requestChunk();
        runUntil(it.io, [&] { return !it.uploads.empty(); });
        it.serve(it.uploads.front());
        runUntil(it.io, [&] { return it.received > 0; });
        CHECK(it.received < SendingFixture::ChunkSize);
        CHECK(it.callsAfterDestruction() == 0);
    }
    SECTION("an announcement is incomplete")
    {
        SendingFixture it;
        const auto announcement =
                it.peer.open("/chunks/have", {{"x-godwit-host", "127.0.0.1"}}, {});
        it.requestChunk(); // Arrives after the announcement.
        runUntil(it.io, [&] { return !it.uploads.empty(); });
        CHECK(it.callsAfterDestruction() == 0);
    }
    SECTION("a chunk and a manifest are being fetched")
    {
        SendingFixture it;
        const HostId peer("127.0.0.1");
        const auto call = it.transport->fetch(
                peer, Digest(), ExpectedBytes, [&] { ++it.calls; },
                [&](const Outcome<std::string> &) { ++it.calls; });
        it.transport->fetchManifest(peer, ModelId("m"), 1,
                                    [&](const Outcome<Manifest> &) { ++it.calls; });
        it.requestChunk();
        const bool isConnected = GENERATE(false, true);
        if (isConnected)
            runUntil(it.io,
                     [&] { return it.server->connectionCount() > 0 && !it.uploads.empty(); });
        CHECK(it.callsAfterDestruction() == 0);
    }
}
