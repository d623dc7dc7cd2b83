#include "http2peertransport.h"

#include <godwit/base/json.h>
#include <godwit/wire/wireclient.h>
#include <godwit/wire/wiremessage.h>
#include <godwit/wire/wireserver.h>

#include <charconv>
#include <map>
#include <utility>

namespace godwit {

namespace {

constexpr const char *HavePath = "/chunks/have";
constexpr const char *ChunkPath = "/chunks/get";
constexpr const char *ManifestPath = "/manifest/get";
constexpr const char *ModelHeader = "x-godwit-model";
constexpr const char *VersionHeader = "x-godwit-version";
constexpr const char *HostHeader = "x-godwit-host";
constexpr const char *DigestHeader = "x-godwit-digest";
/// An announcement that takes longer is outdated.
constexpr Duration AnnounceTimeout = std::chrono::seconds(2);
/// A peer answers when it has the manifest itself. One that takes longer may be gone, and another
/// one is asked.
constexpr Duration ManifestTimeout = std::chrono::milliseconds(600);
constexpr std::size_t MaxAnnouncementBytes = 64UL * 1024;

WireOptions wireOptions()
{
    WireOptions options;
    // Connections exist only while weights are being transferred.
    options.heartbeatInterval = std::chrono::milliseconds(700);
    options.heartbeatTimeout = std::chrono::milliseconds(2000);
    options.connectionWindow = 512 * 1024;
    options.streamWindow = 64 * 1024;
    return options;
}

class StreamHandle : public CallHandle
{
public:
    explicit StreamHandle(std::shared_ptr<WireStream> stream)
        : m_stream(std::move(stream))
    {}

    void cancel() override
    {
        if (const auto stream = std::exchange(m_stream, nullptr))
            stream->cancel();
    }

private:
    std::shared_ptr<WireStream> m_stream;
};

} // namespace

/// State that callbacks of streams and timers use. They hold weak references, which expire before
/// the first member is destroyed: closing the connections reports the end of each open stream.
struct Http2PeerTransport::Private : std::enable_shared_from_this<Private>
{
    struct Connection
    {
        std::unique_ptr<WireClient> client;
        bool idle = false;
    };

    struct Upload
    {
        std::shared_ptr<WireStream> stream;
        std::function<void(bool)> onFinished; ///< Empty until the upload has started.
    };

    Private(boost::asio::io_context &context, Scheduler &timers, HostId host,
            std::uint16_t peerPort, const UploadLinks &links)
        : io(context)
        , scheduler(timers)
        , self(std::move(host))
        , port(peerPort)
        , sender(links)
    {}

    /// Wraps \a function, whose first parameter is this object, in a callback that does nothing
    /// once the transport has been destroyed. Every callback of a stream or a timer must be wrapped
    /// by it unless it uses nothing of the transport and of its users.
    template <typename Function>
    auto bindWeak(Function function)
    {
        return [weak = weak_from_this(), function = std::move(function)](auto &&...arguments) {
            if (const auto d = weak.lock())
                function(*d, std::forward<decltype(arguments)>(arguments)...);
        };
    }

    WireClient &client(const HostId &peer);
    void serve(const ServeChunk &chunk, std::function<void(bool)> onFinished);
    void finishUpload(UploadId upload, bool delivered);
    void sendUploads();
    void scheduleUploads();
    void dispatch(const std::shared_ptr<WireStream> &stream);
    void handleHaveUpdate(const std::shared_ptr<WireStream> &stream);
    void handleChunkRequest(const std::shared_ptr<WireStream> &stream);
    void handleManifestRequest(const std::shared_ptr<WireStream> &stream);

    boost::asio::io_context &io;
    Scheduler &scheduler;
    HostId self;
    std::uint16_t port;
    Handlers handlers;
    std::unique_ptr<WireServer> server;
    std::map<HostId, Connection> connections;
    UploadId lastUpload = 0;
    std::map<UploadId, Upload> uploads;
    UploadSender sender;
    std::unique_ptr<Timer> sendTimer;
};

Http2PeerTransport::Http2PeerTransport(boost::asio::io_context &io, Scheduler &scheduler,
                                       HostId self, std::uint16_t port, const UploadLinks &links)
    : m_d(std::make_shared<Private>(io, scheduler, std::move(self), port, links))
{}

Http2PeerTransport::~Http2PeerTransport() = default;

Result<void> Http2PeerTransport::listen(Handlers handlers)
{
    m_d->handlers = std::move(handlers);
    BOOST_LEAF_ASSIGN(
            m_d->server,
            WireServer::listen(
                    m_d->io, m_d->self.value(), m_d->port,
                    m_d->bindWeak([](Private &d, const std::shared_ptr<WireStream> &stream) {
                        d.dispatch(stream);
                    }),
                    wireOptions()));
    return {};
}

void Http2PeerTransport::closeIdleConnections()
{
    for (auto it = m_d->connections.begin(); it != m_d->connections.end();) {
        const bool idle = it->second.client->openStreams() == 0;
        const bool wasIdle = std::exchange(it->second.idle, idle);
        it = idle && wasIdle ? m_d->connections.erase(it) : std::next(it);
    }
}

WireClient &Http2PeerTransport::Private::client(const HostId &peer)
{
    Connection &connection = connections[peer];
    if (!connection.client)
        connection.client = std::make_unique<WireClient>(io, peer.value(), port, wireOptions());
    connection.idle = false;
    return *connection.client;
}

std::shared_ptr<CallHandle> Http2PeerTransport::fetch(const HostId &peer, const Digest &chunk,
                                                      std::uint32_t bytes,
                                                      std::function<void()> onProgress,
                                                      Completion<std::string> done)
{
    struct Received
    {
        std::string bytes;
        ResultCode code = ResultCode::Ok;
        std::weak_ptr<WireStream> stream;
    };
    const auto received = std::make_shared<Received>();
    StreamEvents events;
    events.onHeaders = [received, bytes](const WireHeaders &headers) {
        received->code = resultCodeOf(headers);
        if (received->code == ResultCode::Ok)
            received->bytes.reserve(bytes);
    };
    const auto finish = [received, done] {
        if (received->code == ResultCode::Ok)
            done(std::move(received->bytes));
        else
            done(Error{received->code, "peer refused the chunk"});
    };
    events.onData = m_d->bindWeak([received, bytes, finish, onProgress = std::move(onProgress)](
                                          Private &, std::string_view data) {
        if (received->bytes.size() <= bytes)
            received->bytes += data;
        if (received->bytes.size() <= bytes) {
            onProgress();
            return;
        }
        // Verification fails as soon as the chunk is one byte too long. The peer may never stop.
        const auto openStream = received->stream.lock();
        if (!openStream)
            return;
        openStream->cancel();
        finish();
    });
    events.onEnd = m_d->bindWeak([finish](Private &, const WireFields &) { finish(); });
    events.onError = m_d->bindWeak([done](Private &, const Error &error) { done(error); });
    auto stream = m_d->client(peer).open(
            ChunkPath, {{HostHeader, m_d->self.value()}, {DigestHeader, chunk.toHex()}},
            std::move(events));
    received->stream = stream;
    stream->finish();
    return std::make_shared<StreamHandle>(std::move(stream));
}

void Http2PeerTransport::fetchManifest(const HostId &peer, const ModelId &model,
                                       std::uint64_t version, Completion<Manifest> done)
{
    m_d->client(peer).call(
            ManifestPath, {}, ManifestTimeout,
            m_d->bindWeak([done = std::move(done)](Private &, const Outcome<std::string> &outcome) {
                if (const auto *error = std::get_if<Error>(&outcome))
                    done(*error);
                else
                    done(capture([&] { return parseManifest(std::get<0>(outcome)); }));
            }),
            {{ModelHeader, model.value()}, {VersionHeader, std::to_string(version)}});
}

void Http2PeerTransport::announce(const HostId &peer, const HaveUpdate &update)
{
    m_d->client(peer).call(HavePath, toJsonText(update), AnnounceTimeout,
                           [](const Outcome<std::string> &) {}, {{HostHeader, m_d->self.value()}});
}

void Http2PeerTransport::Private::dispatch(const std::shared_ptr<WireStream> &stream)
{
    if (stream->request().path == HavePath) {
        handleHaveUpdate(stream);
    } else if (stream->request().path == ChunkPath) {
        handleChunkRequest(stream);
    } else if (stream->request().path == ManifestPath) {
        handleManifestRequest(stream);
    } else {
        stream->respond(404);
        stream->finish();
    }
}

void Http2PeerTransport::Private::handleHaveUpdate(const std::shared_ptr<WireStream> &stream)
{
    const auto body = std::make_shared<std::string>();
    StreamEvents events;
    events.onData = [body](std::string_view data) {
        if (body->size() <= MaxAnnouncementBytes)
            *body += data;
    };
    events.onEnd = bindWeak([body, weak = std::weak_ptr(stream)](Private &d, const WireFields &) {
        const auto stream = weak.lock();
        if (!stream)
            return;
        stream->respond(200);
        stream->finish();
        const auto update = capture([&] { return parseHaveUpdate(*body); });
        const HostId peer{std::string(fieldValue(stream->request().fields, HostHeader))};
        if (succeeded(update) && !peer.empty())
            d.handlers.onHaveUpdate(peer, std::get<0>(update));
    });
    stream->setEvents(std::move(events));
}

void Http2PeerTransport::Private::handleChunkRequest(const std::shared_ptr<WireStream> &stream)
{
    const auto &fields = stream->request().fields;
    const HostId peer{std::string(fieldValue(fields, HostHeader))};
    const auto digest = capture([&] { return Digest::parse(fieldValue(fields, DigestHeader)); });
    if (peer.empty() || !succeeded(digest)) {
        stream->respond(400);
        stream->finish();
        return;
    }
    const UploadId upload = ++lastUpload;
    uploads[upload].stream = stream;
    StreamEvents events;
    events.onError =
            bindWeak([upload](Private &d, const Error &) { d.finishUpload(upload, false); });
    stream->setEvents(std::move(events));
    handlers.onChunkRequested(peer, std::get<0>(digest), upload);
}

void Http2PeerTransport::Private::handleManifestRequest(const std::shared_ptr<WireStream> &stream)
{
    const auto &fields = stream->request().fields;
    const std::string_view number = fieldValue(fields, VersionHeader);
    ManifestRequest request;
    request.model = ModelId(std::string(fieldValue(fields, ModelHeader)));
    const auto [end, ec] =
            std::from_chars(number.data(), number.data() + number.size(), request.version);
    if (request.model.empty() || ec != std::errc() || end != number.data() + number.size()) {
        stream->respond(400);
        stream->finish();
        return;
    }
    request.reply =
            [weak = std::weak_ptr(stream)](const std::shared_ptr<const Manifest> &manifest) {
                const auto requested = weak.lock();
                if (!requested)
                    return;
                requested->respond(manifest ? 200 : 503);
                if (manifest)
                    requested->write(toJsonText(*manifest));
                requested->finish();
            };
    handlers.onManifestRequested(std::move(request));
}

void Http2PeerTransport::Private::serve(const ServeChunk &chunk,
                                        std::function<void(bool)> onFinished)
{
    const auto it = uploads.find(chunk.upload);
    if (it == uploads.end()) {
        onFinished(false);
        return;
    }
    it->second.onFinished = std::move(onFinished);
    StreamEvents events;
    events.onError = bindWeak(
            [upload = chunk.upload](Private &d, const Error &) { d.finishUpload(upload, false); });
    events.onDrained = bindWeak([upload = chunk.upload](Private &d) {
        if (d.sender.pieceSent(upload))
            d.scheduleUploads();
        else
            d.finishUpload(upload, true);
    });
    it->second.stream->setEvents(std::move(events));
    it->second.stream->respond(200);
    sender.add(scheduler.now(),
               {chunk.upload, chunk.bytes, chunk.transfer, chunk.weight, chunk.region});
    sendUploads();
}

void Http2PeerTransport::Private::finishUpload(UploadId upload, bool delivered)
{
    const auto it = uploads.find(upload);
    if (it == uploads.end())
        return;
    const auto onFinished = std::move(it->second.onFinished);
    uploads.erase(it);
    sender.remove(scheduler.now(), upload);
    if (onFinished)
        onFinished(delivered);
    else
        handlers.onUploadFailed(upload);
    scheduleUploads();
}

void Http2PeerTransport::Private::sendUploads()
{
    for (const UploadPiece &piece : sender.send(scheduler.now())) {
        const auto it = uploads.find(piece.upload);
        if (it == uploads.end())
            continue;
        const auto stream = it->second.stream;
        stream->write(piece.bytes());
        if (piece.isLast)
            stream->finish();
    }
    scheduleUploads();
}

void Http2PeerTransport::Private::scheduleUploads()
{
    const TimePoint now = scheduler.now();
    const auto due = sender.nextSend(now);
    if (!due) {
        sendTimer.reset();
        return;
    }
    sendTimer = scheduler.after(*due - now, bindWeak([](Private &d) {
        const auto timer = std::move(d.sendTimer);
        d.sendUploads();
    }));
}

void Http2PeerTransport::serve(const ServeChunk &chunk, std::function<void(bool)> onFinished)
{
    m_d->serve(chunk, std::move(onFinished));
}

void Http2PeerTransport::refuse(UploadId upload, ResultCode code)
{
    const auto it = m_d->uploads.find(upload);
    if (it == m_d->uploads.end())
        return;
    const auto stream = it->second.stream;
    m_d->uploads.erase(it);
    stream->respond(503, {{std::string(ResultCodeField), std::to_string(static_cast<int>(code))}});
    stream->finish();
}

} // namespace godwit
