#include "hostdaemon.h"

#include "peermessages.h"

#include <godwit/ports/calleffect.h>
#include <godwit/wire/wiremessage.h>

#include <future>

namespace godwit {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);
// Reports to a subscriber with more unsent bytes than this are skipped to bound memory.
constexpr std::size_t MaxSubscriberQueueBytes = 256UL * 1024;
constexpr Duration SlotReportInterval = std::chrono::seconds(5);
constexpr Duration SlotTickInterval = std::chrono::milliseconds(5);
constexpr Duration PromiseTimeout = std::chrono::seconds(1);

SlotStorageReply::Status slotStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::CompareFailed:
        return SlotStorageReply::Status::CompareFailed;
    case ResultCode::PlatformRefused:
        return SlotStorageReply::Status::RateLimited;
    default:
        return mayHaveTakenEffect(code) ? SlotStorageReply::Status::Timeout
                                        : SlotStorageReply::Status::Unreachable;
    }
}

UploadLinks uploadLinks(const LinkSettings &links)
{
    constexpr double BitsPerByte = 8;
    UploadLinks result;
    result.hostRate = static_cast<double>(links.uploadBitsPerSecond) / BitsPerByte;
    result.regionRate = static_cast<double>(links.interRegionBitsPerSecond) / BitsPerByte;
    // The planners of the receiving region request one chunk and a window of further chunks.
    result.regionUploads = TransferSettings().regionWindow + 1;
    return result;
}

} // namespace

HostDaemon::HostDaemon(DaemonSettings settings)
    : DaemonBase(std::move(settings))
    , m_uploadSender(uploadLinks(m_settings.links))
{}

HostDaemon::~HostDaemon()
{
    if (m_control)
        m_control->stop();
    if (!m_trafficThread)
        return;
    // The slot service posts to the io thread until it is destroyed, so the io thread is stopped
    // last.
    runAndWait(m_trafficThread->io(), [this] {
        m_slotTimer.reset();
        m_uploadTimer.reset();
        m_server.reset();
        m_subscribers.clear();
        m_uploads.clear();
        m_peerPool.reset();
        m_runService.reset();
    });
    m_io.reset();
}

Result<void> HostDaemon::start()
{
    m_trafficThread = std::make_unique<IoThread>();
    m_uploadTimer = std::make_unique<boost::asio::steady_timer>(m_trafficThread->io());
    m_io = std::make_unique<ControlIo>(m_settings, m_metrics);
    // The traffic thread waits until the control thread exists; connections queue in the kernel
    // meanwhile.
    std::promise<Outcome<std::unique_ptr<WireServer>>> listening;
    std::promise<void> ready;
    boost::asio::post(
            m_trafficThread->io(),
            [&listening, this, future = std::make_shared<std::future<void>>(ready.get_future())] {
                listening.set_value(capture([&] {
                    return WireServer::listen(
                            m_trafficThread->io(), m_settings.listen.address,
                            m_settings.listen.peerPort,
                            [this](const std::shared_ptr<WireStream> &it) { accept(it); });
                }));
                future->wait();
            });
    auto server = listening.get_future().get();
    if (!succeeded(server)) {
        ready.set_value();
        return fail(std::get<1>(server));
    }
    m_server = std::move(std::get<0>(server));
    m_settings.listen.peerPort = m_server->port();
    m_control = std::make_unique<Control>([this] { return makeCore(); });
    m_io->setPostToControl(
            [this](std::function<void()> it) { m_control->post(CallCompleted{std::move(it)}); });
    m_io->listenDatagrams(
            [this](const std::string &text) {
                if (auto event = parseDatagram(text))
                    m_control->post(std::move(*event));
            },
            m_settings.listen.peerPort);
    ready.set_value();
    BOOST_LEAF_CHECK(startAdmin());
    m_io->startTimer(TickInterval, [this] { m_control->post(TimerTick{}); });
    return {};
}

std::unique_ptr<HostCore> HostDaemon::makeCore()
{
    HostCore::Outputs outputs;
    outputs.publishReport = [this](HostReport report) {
        boost::asio::post(m_trafficThread->io(), [this, report = std::move(report)]() mutable {
            publishReport(std::move(report));
        });
    };
    outputs.publishConfiguration = [this](std::shared_ptr<const Configuration> configuration) {
        setReady(true);
        boost::asio::post(m_trafficThread->io(), [this, configuration = std::move(configuration)] {
            m_configuration = configuration;
            if (m_runService)
                m_runService->slotService().setConfiguration(*configuration);
        });
    };
    outputs.publishPeers = [this](std::map<HostId, Endpoint> peers) {
        boost::asio::post(m_trafficThread->io(), [this, peers = std::move(peers)]() mutable {
            m_peers = std::move(peers);
        });
    };
    outputs.serveUpload = [this](PacedUpload upload) {
        boost::asio::post(m_trafficThread->io(), [this, upload = std::move(upload)]() mutable {
            serveUpload(std::move(upload));
        });
    };
    outputs.refuseUpload = [this](UploadId upload, ResultCode code) {
        boost::asio::post(m_trafficThread->io(),
                          [this, upload, code] { refuseUpload(upload, code); });
    };
    outputs.cancelUploads = [this](const Digest &transfer) {
        boost::asio::post(m_trafficThread->io(), [this, transfer] { cancelUploads(transfer); });
    };
    return std::make_unique<HostCore>(m_settings, *m_io, m_metrics, std::move(outputs));
}

void HostDaemon::accept(const std::shared_ptr<WireStream> &stream)
{
    const std::string &path = stream->request().path;
    if (path == "/run" && m_runService)
        m_runService->run(stream);
    else if (path == "/withdraw" && m_runService)
        handleJsonMessage<WithdrawMessage>(stream, PeerMessageLimit, [this](const auto &message) {
            return m_runService->withdraw(message);
        });
    else if (path == "/slots" && m_runService)
        handlePromiseRequest(stream);
    else if (path == "/load")
        subscribe(stream);
    else if (path == "/chunks/get")
        acceptChunkRequest(stream);
    else if (path == "/chunks/have")
        acceptHaveUpdate(stream);
    else if (!acceptControlMessage(stream, *m_control))
        reply(*stream, 404, "unknown path");
}

void HostDaemon::acceptChunkRequest(const std::shared_ptr<WireStream> &stream)
{
    const auto digest = capture(
            [&] { return Digest::parse(fieldValue(stream->request().fields, "x-godwit-digest")); });
    if (!succeeded(digest)) {
        reply(*stream, 400, toString(std::get<1>(digest)));
        return;
    }
    const UploadId upload = m_nextUpload++;
    m_uploads.emplace(upload, stream);
    StreamEvents events;
    events.onError = [this, upload](const Error &) { uploadEnded(upload, false); };
    stream->setEvents(std::move(events));
    m_control->post(ChunkRequestArrived{senderOf(*stream), std::get<0>(digest), upload});
}

void HostDaemon::refuseUpload(UploadId upload, ResultCode code)
{
    const auto it = m_uploads.find(upload);
    if (it == m_uploads.end())
        return;
    const auto stream = it->second;
    m_uploads.erase(it);
    stream->respond(200, {{std::string(ResultCodeField), std::to_string(static_cast<int>(code))}});
    stream->finish();
}

void HostDaemon::serveUpload(PacedUpload upload)
{
    const auto it = m_uploads.find(upload.id);
    if (it == m_uploads.end() || !m_uploadTimer)
        return;
    StreamEvents events;
    events.onError = [this, id = upload.id](const Error &) { uploadEnded(id, false); };
    events.onDrained = [this, id = upload.id] {
        if (m_uploadSender.pieceSent(id))
            startUploadTimer();
        else
            uploadEnded(id, true);
    };
    it->second->setEvents(std::move(events));
    it->second->respond(200);
    m_uploadSender.add(MonotonicClock::now(), std::move(upload));
    sendUploads();
}

void HostDaemon::cancelUploads(const Digest &transfer)
{
    for (const UploadId upload : m_uploadSender.removeTransfer(MonotonicClock::now(), transfer)) {
        const auto it = m_uploads.find(upload);
        if (it == m_uploads.end())
            continue;
        it->second->cancel();
        uploadEnded(upload, false);
    }
}

void HostDaemon::uploadEnded(UploadId upload, bool isDelivered)
{
    m_uploadSender.remove(MonotonicClock::now(), upload);
    if (m_uploads.erase(upload) > 0)
        m_control->post(UploadEnded{upload, isDelivered});
    startUploadTimer();
}

void HostDaemon::sendUploads()
{
    for (const UploadPiece &piece : m_uploadSender.send(MonotonicClock::now())) {
        const auto it = m_uploads.find(piece.upload);
        if (it == m_uploads.end())
            continue;
        it->second->write(piece.bytes());
        if (piece.isLast)
            it->second->finish();
    }
    startUploadTimer();
}

void HostDaemon::startUploadTimer()
{
    const TimePoint now = MonotonicClock::now();
    const auto due = m_uploadSender.nextSend(now);
    if (!due || !m_uploadTimer || (m_uploadDue && *m_uploadDue <= *due))
        return;
    m_uploadDue = due;
    m_uploadTimer->expires_after(*due - now);
    m_uploadTimer->async_wait([this](boost::system::error_code ec) {
        if (ec || !m_uploadTimer)
            return;
        m_uploadDue.reset();
        sendUploads();
    });
}

void HostDaemon::acceptHaveUpdate(const std::shared_ptr<WireStream> &stream)
{
    const HostId from = senderOf(*stream);
    collectBody(stream, PeerMessageLimit, [this, stream, from](Outcome<std::string> body) {
        if (!succeeded(body))
            return;
        m_control->post(HaveUpdateArrived{from, std::move(std::get<0>(body))});
        reply(*stream, 200, {});
    });
}

void HostDaemon::subscribe(const std::shared_ptr<WireStream> &stream)
{
    StreamEvents events;
    events.onError = [this, weak = std::weak_ptr(stream)](const Error &) {
        if (const auto it = weak.lock())
            m_subscribers.erase(it);
    };
    stream->setEvents(std::move(events));
    stream->respond(200);
    m_subscribers.insert(stream);
    sendReport(*stream);
}

void HostDaemon::publishReport(HostReport report)
{
    m_report = std::move(report);
    if (!m_runService)
        createRunService();
    for (const auto &backend : m_report.backends)
        m_runService->setBoots(backend.backend, backend.boots);
    auto slots = m_runService->slotService().documents();
    const TimePoint now = MonotonicClock::now();
    if (slots != m_reportedSlots || now >= m_nextSlotReport) {
        m_nextSlotReport = now + SlotReportInterval;
        m_reportedSlots = slots;
        m_report.slots = std::move(slots);
    }
    for (const auto &stream : m_subscribers)
        sendReport(*stream);
}

void HostDaemon::createRunService()
{
    m_peerPool = std::make_unique<PeerPool>(m_trafficThread->io());
    m_runService =
            std::make_unique<RunService>(m_settings, m_trafficThread->io(), m_report.incarnation,
                                         m_metrics, m_tracer, slotEnvironment());
    m_runService->setBytesSentListener([this](std::size_t bytes) {
        m_uploadSender.recordLiveTraffic(MonotonicClock::now(), bytes);
    });
    if (m_configuration)
        m_runService->slotService().setConfiguration(*m_configuration);
    m_slotTimer = std::make_unique<boost::asio::steady_timer>(m_trafficThread->io());
    tickSlotService();
}

void HostDaemon::tickSlotService()
{
    m_runService->slotService().tick();
    m_slotTimer->expires_after(SlotTickInterval);
    m_slotTimer->async_wait([this](boost::system::error_code ec) {
        // A handler that was already queued when the timer is destroyed still runs without an
        // error.
        if (!ec && m_slotTimer)
            tickSlotService();
    });
}

SlotService::Environment HostDaemon::slotEnvironment()
{
    SlotService::Environment environment;
    environment.storage = [this](const SlotStorageCall &call,
                                 std::function<void(SlotStorageReply)> done) {
        const auto finish = [this, id = call.id, done = std::move(done)](SlotStorageReply reply) {
            reply.id = id;
            boost::asio::post(m_trafficThread->io(), [this, done, reply = std::move(reply)] {
                if (m_runService)
                    done(reply);
            });
        };
        m_io->post([this, call, finish] { callStorage(call, finish); });
    };
    environment.ask = [this](const HostId &to, const DeploymentId &deployment,
                             const PromiseRequest &request,
                             std::function<void(PromiseReply)> done) {
        const auto it = m_peers.find(to);
        if (it == m_peers.end())
            return;
        m_peerPool->client(it->second)
                .call("/slots", toJsonText(request), PromiseTimeout,
                      [done = std::move(done)](const Outcome<std::string> &body) {
                          if (!succeeded(body))
                              return;
                          const auto reply = capture(
                                  [&] { return parseJson<PromiseReply>(std::get<0>(body)); });
                          if (succeeded(reply))
                              done(std::get<0>(reply));
                      },
                      {{"x-godwit-deployment", deployment.value()}});
    };
    return environment;
}

void HostDaemon::callStorage(const SlotStorageCall &call,
                             const std::function<void(SlotStorageReply)> &done)
{
    using Status = SlotStorageReply::Status;
    KeyValuePort &port = m_io->keyValue();
    switch (call.kind) {
    case SlotStorageCall::Kind::Read:
        port.get(call.key, [done](const Outcome<std::optional<KeyValueEntry>> &outcome) {
            SlotStorageReply reply;
            if (const auto *error = std::get_if<Error>(&outcome)) {
                reply.status = slotStatus(error->code);
            } else if (const auto &entry = std::get<0>(outcome)) {
                reply.revision = {entry->modified.value};
                reply.value = entry->value;
            } else {
                reply.status = Status::NotFound;
            }
            done(std::move(reply));
        });
        return;
    case SlotStorageCall::Kind::CompareAndSwap:
        port.compareAndSwap(call.key, {call.expected.value}, call.value, {},
                            [done](const Outcome<StoreRevision> &outcome) {
                                SlotStorageReply reply;
                                if (const auto *error = std::get_if<Error>(&outcome))
                                    reply.status = slotStatus(error->code);
                                else
                                    reply.revision = {std::get<0>(outcome).value};
                                done(std::move(reply));
                            });
        return;
    case SlotStorageCall::Kind::Delete:
        port.deleteKey(call.key, {}, [done](const Outcome<Done> &outcome) {
            SlotStorageReply reply;
            if (const auto *error = std::get_if<Error>(&outcome))
                reply.status = slotStatus(error->code);
            done(std::move(reply));
        });
        return;
    }
}

void HostDaemon::handlePromiseRequest(const std::shared_ptr<WireStream> &stream)
{
    const DeploymentId deployment(
            std::string(fieldValue(stream->request().fields, "x-godwit-deployment")));
    handleJsonMessage<PromiseRequest>(
            stream, PeerMessageLimit, [this, deployment](const PromiseRequest &request) {
                return toJsonText(
                        m_runService->slotService().handlePromiseRequest(deployment, request));
            });
}

void HostDaemon::sendReport(WireStream &stream)
{
    if (m_report.host.empty() || stream.bufferedBytes() > MaxSubscriberQueueBytes)
        return;
    HostReport report = m_report;
    report.clock = MonotonicClock::now().time_since_epoch().count();
    if (m_runService) {
        const auto running = m_runService->running();
        for (auto &backend : report.backends) {
            const auto it = running.find(backend.backend);
            backend.running = it == running.end() ? 0 : it->second;
        }
    }
    const std::string line = toJsonText(report) + '\n';
    stream.write(line);
    m_uploadSender.recordLiveTraffic(MonotonicClock::now(), line.size());
}

void HostDaemon::beginShutdown()
{
    setReady(false);
    m_control->post(ShutdownRequested{});
    runAndWait(m_trafficThread->io(), [this] {
        if (m_runService)
            m_runService->stopAccepting();
    });
}

std::vector<std::string> HostDaemon::inProgress()
{
    std::vector<std::string> names;
    runAndWait(m_trafficThread->io(), [&] {
        if (m_runService)
            names = m_runService->runningRequests();
    });
    return names;
}

} // namespace godwit
