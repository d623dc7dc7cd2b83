#include "peerlinks.h"

#include <godwit/base/json.h>

#include <charconv>

namespace godwit {

namespace {

constexpr const char *HavePath = "/chunks/have";
constexpr const char *ChunkPath = "/chunks/get";
constexpr const char *HostField = "x-godwit-host";
constexpr const char *DigestField = "x-godwit-digest";
constexpr const char *CodeField = "x-godwit-code";
/// An announcement that takes longer is out of date.
constexpr Duration AnnounceTimeout = std::chrono::seconds(2);
constexpr std::size_t LargestAnnouncement = 64UL * 1024;

WireOptions wireOptions()
{
    WireOptions options;
    // Connections exist only while weights are on their way.
    options.heartbeatInterval = std::chrono::milliseconds(700);
    options.heartbeatTimeout = std::chrono::milliseconds(2000);
    options.connectionWindow = 512 * 1024;
    options.streamWindow = 64 * 1024;
    return options;
}

/// Cancels a stream.
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

ResultCode codeOf(const WireHeaders &headers)
{
    const auto text = fieldValue(headers.fields, CodeField);
    int code = 0;
    std::from_chars(text.data(), text.data() + text.size(), code);
    return static_cast<ResultCode>(code);
}

} // namespace

PeerLinks::PeerLinks(boost::asio::io_context &io, Scheduler &scheduler, HostId self,
                     std::uint16_t port, const UploadLinks &links)
    : m_io(io)
    , m_scheduler(scheduler)
    , m_self(std::move(self))
    , m_port(port)
    , m_sender(links)
{}

PeerLinks::~PeerLinks() = default;

Result<void> PeerLinks::listen(Handlers handlers)
{
    m_handlers = std::move(handlers);
    BOOST_LEAF_ASSIGN(m_server,
                      WireServer::listen(
                              m_io, m_self.value(), m_port,
                              [this](const std::shared_ptr<WireStream> &stream) { accept(stream); },
                              wireOptions()));
    return {};
}

void PeerLinks::closeIdle()
{
    for (auto it = m_links.begin(); it != m_links.end();) {
        const bool idle = it->second.client->openStreams() == 0;
        const bool wasIdle = std::exchange(it->second.idle, idle);
        it = idle && wasIdle ? m_links.erase(it) : std::next(it);
    }
}

WireClient &PeerLinks::client(const HostId &peer)
{
    Link &link = m_links[peer];
    if (!link.client)
        link.client = std::make_unique<WireClient>(m_io, peer.value(), m_port, wireOptions());
    link.idle = false;
    return *link.client;
}

std::shared_ptr<CallHandle> PeerLinks::fetch(const HostId &peer, const Digest &chunk,
                                             std::uint32_t bytes, std::function<void()> progressed,
                                             Completion<std::string> done)
{
    struct Received
    {
        std::string bytes;
        ResultCode code = ResultCode::Ok;
    };
    const auto received = std::make_shared<Received>();
    StreamEvents events;
    events.onHeaders = [received, bytes](const WireHeaders &headers) {
        received->code = codeOf(headers);
        if (received->code == ResultCode::Ok)
            received->bytes.reserve(bytes);
    };
    events.onData = [received, bytes, progressed = std::move(progressed)](std::string_view data) {
        // One byte too many is enough to recognise the chunk as wrong.
        if (received->bytes.size() <= bytes)
            received->bytes += data;
        progressed();
    };
    events.onEnd = [received, done](const WireFields &) {
        if (received->code == ResultCode::Ok)
            done(std::move(received->bytes));
        else
            done(Error{received->code, "the peer refused the chunk"});
    };
    events.onError = [done](const Error &error) { done(error); };
    auto stream = client(peer).open(ChunkPath,
                                    {{HostField, m_self.value()}, {DigestField, chunk.toHex()}},
                                    std::move(events));
    stream->finish();
    return std::make_shared<StreamHandle>(std::move(stream));
}

void PeerLinks::announce(const HostId &peer, const HaveUpdate &update)
{
    client(peer).call(HavePath, toJsonText(update), AnnounceTimeout,
                      [](const Outcome<std::string> &) {}, {{HostField, m_self.value()}});
}

void PeerLinks::accept(const std::shared_ptr<WireStream> &stream)
{
    if (stream->request().path == HavePath) {
        acceptHave(stream);
    } else if (stream->request().path == ChunkPath) {
        acceptRequest(stream);
    } else {
        stream->respond(404);
        stream->finish();
    }
}

void PeerLinks::acceptHave(const std::shared_ptr<WireStream> &stream)
{
    const auto body = std::make_shared<std::string>();
    StreamEvents events;
    events.onData = [body](std::string_view data) {
        if (body->size() <= LargestAnnouncement)
            *body += data;
    };
    events.onEnd = [this, body, weak = std::weak_ptr(stream)](const WireFields &) {
        const auto stream = weak.lock();
        if (!stream)
            return;
        stream->respond(200);
        stream->finish();
        const auto update = capture([&] { return parseHaveUpdate(*body); });
        const HostId peer{std::string(fieldValue(stream->request().fields, HostField))};
        if (succeeded(update) && !peer.empty())
            m_handlers.onHave(peer, std::get<0>(update));
    };
    stream->setEvents(std::move(events));
}

void PeerLinks::acceptRequest(const std::shared_ptr<WireStream> &stream)
{
    const auto &fields = stream->request().fields;
    const HostId peer{std::string(fieldValue(fields, HostField))};
    const auto digest = capture([&] { return Digest::parse(fieldValue(fields, DigestField)); });
    if (peer.empty() || !succeeded(digest)) {
        stream->respond(400);
        stream->finish();
        return;
    }
    const UploadId upload = ++m_lastUpload;
    m_uploads[upload].stream = stream;
    StreamEvents events;
    events.onError = [this, upload](const Error &) { uploadEnded(upload, false); };
    stream->setEvents(std::move(events));
    m_handlers.onChunkRequested(peer, std::get<0>(digest), upload);
}

void PeerLinks::serve(const ServeChunk &chunk, std::function<void(bool)> ended)
{
    const auto it = m_uploads.find(chunk.upload);
    if (it == m_uploads.end()) {
        ended(false);
        return;
    }
    it->second.ended = std::move(ended);
    StreamEvents events;
    events.onError = [this, upload = chunk.upload](const Error &) { uploadEnded(upload, false); };
    events.onDrained = [this, upload = chunk.upload] {
        if (m_sender.drained(upload))
            scheduleUploads();
        else
            uploadEnded(upload, true);
    };
    it->second.stream->setEvents(std::move(events));
    it->second.stream->respond(200);
    m_sender.add(m_scheduler.now(),
                 {chunk.upload, chunk.bytes, chunk.transfer, chunk.weight, chunk.region});
    sendUploads();
}

void PeerLinks::uploadEnded(UploadId upload, bool delivered)
{
    const auto it = m_uploads.find(upload);
    if (it == m_uploads.end())
        return;
    const auto ended = std::move(it->second.ended);
    m_uploads.erase(it);
    m_sender.remove(m_scheduler.now(), upload);
    if (ended)
        ended(delivered);
    else
        m_handlers.onUploadFailed(upload);
    scheduleUploads();
}

void PeerLinks::sendUploads()
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

void PeerLinks::scheduleUploads()
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

void PeerLinks::refuse(UploadId upload, ResultCode code)
{
    const auto it = m_uploads.find(upload);
    if (it == m_uploads.end())
        return;
    const auto stream = it->second.stream;
    m_uploads.erase(it);
    stream->respond(503, {{CodeField, std::to_string(static_cast<int>(code))}});
    stream->finish();
}

} // namespace godwit
