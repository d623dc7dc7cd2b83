#include "http2peertransport.h"

#include <godwit/base/json.h>
#include <godwit/wire/wiremessage.h>

#include <charconv>

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

Http2PeerTransport::Http2PeerTransport(boost::asio::io_context &io, Scheduler &scheduler,
                                       HostId self, std::uint16_t port, const UploadLinks &links)
    : m_io(io)
    , m_scheduler(scheduler)
    , m_self(std::move(self))
    , m_port(port)
    , m_sender(links)
{}

Http2PeerTransport::~Http2PeerTransport() = default;

Result<void> Http2PeerTransport::listen(Handlers handlers)
{
    m_handlers = std::move(handlers);
    BOOST_LEAF_ASSIGN(m_server, WireServer::listen(
                                        m_io, m_self.value(), m_port,
                                        [this](const std::shared_ptr<WireStream> &stream) {
                                            dispatch(stream);
                                        },
                                        wireOptions()));
    return {};
}

void Http2PeerTransport::closeIdleConnections()
{
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        const bool idle = it->second.client->openStreams() == 0;
        const bool wasIdle = std::exchange(it->second.idle, idle);
        it = idle && wasIdle ? m_connections.erase(it) : std::next(it);
    }
}

WireClient &Http2PeerTransport::client(const HostId &peer)
{
    Connection &connection = m_connections[peer];
    if (!connection.client)
        connection.client = std::make_unique<WireClient>(m_io, peer.value(), m_port, wireOptions());
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
    events.onData = [received, bytes, finish,
                     onProgress = std::move(onProgress)](std::string_view data) {
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
    };
    events.onEnd = [finish](const WireFields &) { finish(); };
    events.onError = [done](const Error &error) { done(error); };
    auto stream = client(peer).open(ChunkPath,
                                    {{HostHeader, m_self.value()}, {DigestHeader, chunk.toHex()}},
                                    std::move(events));
    received->stream = stream;
    stream->finish();
    return std::make_shared<StreamHandle>(std::move(stream));
}

void Http2PeerTransport::fetchManifest(const HostId &peer, const ModelId &model,
                                       std::uint64_t version, Completion<Manifest> done)
{
    client(peer).call(ManifestPath, {}, ManifestTimeout,
                      [done = std::move(done)](const Outcome<std::string> &outcome) {
                          if (const auto *error = std::get_if<Error>(&outcome))
                              done(*error);
                          else
                              done(capture([&] { return parseManifest(std::get<0>(outcome)); }));
                      },
                      {{ModelHeader, model.value()}, {VersionHeader, std::to_string(version)}});
}

void Http2PeerTransport::announce(const HostId &peer, const HaveUpdate &update)
{
    client(peer).call(HavePath, toJsonText(update), AnnounceTimeout,
                      [](const Outcome<std::string> &) {}, {{HostHeader, m_self.value()}});
}

void Http2PeerTransport::dispatch(const std::shared_ptr<WireStream> &stream)
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

void Http2PeerTransport::handleHaveUpdate(const std::shared_ptr<WireStream> &stream)
{
    const auto body = std::make_shared<std::string>();
    StreamEvents events;
    events.onData = [body](std::string_view data) {
        if (body->size() <= MaxAnnouncementBytes)
            *body += data;
    };
    events.onEnd = [this, body, weak = std::weak_ptr(stream)](const WireFields &) {
        const auto stream = weak.lock();
        if (!stream)
            return;
        stream->respond(200);
        stream->finish();
        const auto update = capture([&] { return parseHaveUpdate(*body); });
        const HostId peer{std::string(fieldValue(stream->request().fields, HostHeader))};
        if (succeeded(update) && !peer.empty())
            m_handlers.onHaveUpdate(peer, std::get<0>(update));
    };
    stream->setEvents(std::move(events));
}

void Http2PeerTransport::handleChunkRequest(const std::shared_ptr<WireStream> &stream)
{
    const auto &fields = stream->request().fields;
    const HostId peer{std::string(fieldValue(fields, HostHeader))};
    const auto digest = capture([&] { return Digest::parse(fieldValue(fields, DigestHeader)); });
    if (peer.empty() || !succeeded(digest)) {
        stream->respond(400);
        stream->finish();
        return;
    }
    const UploadId upload = ++m_lastUpload;
    m_uploads[upload].stream = stream;
    StreamEvents events;
    events.onError = [this, upload](const Error &) { finishUpload(upload, false); };
    stream->setEvents(std::move(events));
    m_handlers.onChunkRequested(peer, std::get<0>(digest), upload);
}

void Http2PeerTransport::handleManifestRequest(const std::shared_ptr<WireStream> &stream)
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
    m_handlers.onManifestRequested(std::move(request));
}

void Http2PeerTransport::serve(const ServeChunk &chunk, std::function<void(bool)> onFinished)
{
    const auto it = m_uploads.find(chunk.upload);
    if (it == m_uploads.end()) {
        onFinished(false);
        return;
    }
    it->second.onFinished = std::move(onFinished);
    StreamEvents events;
    events.onError = [this, upload = chunk.upload](const Error &) { finishUpload(upload, false); };
    events.onDrained = [this, upload = chunk.upload] {
        if (m_sender.pieceSent(upload))
            scheduleUploads();
        else
            finishUpload(upload, true);
    };
    it->second.stream->setEvents(std::move(events));
    it->second.stream->respond(200);
    m_sender.add(m_scheduler.now(),
                 {chunk.upload, chunk.bytes, chunk.transfer, chunk.weight, chunk.region});
    sendUploads();
}

void Http2PeerTransport::finishUpload(UploadId upload, bool delivered)
{
    const auto it = m_uploads.find(upload);
    if (it == m_uploads.end())
        return;
    const auto onFinished = std::move(it->second.onFinished);
    m_uploads.erase(it);
    m_sender.remove(m_scheduler.now(), upload);
    if (onFinished)
        onFinished(delivered);
    else
        m_handlers.onUploadFailed(upload);
    scheduleUploads();
}

void Http2PeerTransport::sendUploads()
{
    for (const UploadPiece &piece : m_sender.send(m_scheduler.now())) {
        const auto it = m_uploads.find(piece.upload);
        if (it == m_uploads.end())
            continue;
        const auto stream = it->second.stream;
        stream->write(piece.bytes());
        if (piece.isLast)
            stream->finish();
    }
    scheduleUploads();
}

void Http2PeerTransport::scheduleUploads()
{
    const TimePoint now = m_scheduler.now();
    const auto due = m_sender.nextSend(now);
    if (!due) {
        m_sendTimer.reset();
        return;
    }
    m_sendTimer = m_scheduler.after(*due - now, [this] {
        const auto timer = std::move(m_sendTimer);
        sendUploads();
    });
}

void Http2PeerTransport::refuse(UploadId upload, ResultCode code)
{
    const auto it = m_uploads.find(upload);
    if (it == m_uploads.end())
        return;
    const auto stream = it->second.stream;
    m_uploads.erase(it);
    stream->respond(503, {{std::string(ResultCodeField), std::to_string(static_cast<int>(code))}});
    stream->finish();
}

} // namespace godwit
