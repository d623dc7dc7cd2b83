#include "entrydaemon.h"

#include "peermessages.h"

#include <godwit/base/rendezvous.h>

namespace godwit {

namespace {

constexpr Duration TickInterval = std::chrono::milliseconds(25);

} // namespace

EntryDaemon::EntryDaemon(DaemonSettings settings)
    : DaemonBase(std::move(settings))
{}

EntryDaemon::~EntryDaemon()
{
    if (m_control)
        m_control->stop();
    if (m_io)
        runAndWait(m_io->context(), [this] {
            m_server.reset();
            m_loadSubscriptions.reset();
        });
    m_shards.clear();
    m_io.reset();
}

Result<void> EntryDaemon::start()
{
    m_io = std::make_unique<ControlIo>(m_settings, m_metrics);
    createShards();
    m_control = std::make_unique<Control>([this] { return makeCore(); });
    m_io->setPostToControl(
            [this](std::function<void()> it) { m_control->post(CallCompleted{std::move(it)}); });
    Outcome<std::unique_ptr<WireServer>> server;
    runAndWait(m_io->context(), [&] {
        m_loadSubscriptions = std::make_unique<LoadSubscriptions>(
                m_io->peers(), m_metrics,
                LoadSubscriptions::Listener{
                        [this](HostReport it) { onReport(std::move(it)); },
                        [this](const HostId &it) { m_control->post(HostStreamEnded{it}); }});
        server = capture([&] {
            return WireServer::listen(
                    m_io->context(), m_settings.listen.address, m_settings.listen.peerPort,
                    [this](const std::shared_ptr<WireStream> &it) { accept(it); });
        });
        if (succeeded(server))
            m_server = std::move(std::get<0>(server));
    });
    if (!succeeded(server))
        return fail(std::get<1>(server));
    m_io->listenDatagrams(
            [this](const std::string &text) {
                if (auto event = parseDatagram(text))
                    m_control->post(std::move(*event));
            },
            m_settings.listen.peerPort);
    BOOST_LEAF_CHECK(startAdmin());
    m_io->startTimer(TickInterval, [this] { m_control->post(TimerTick{}); });
    for (const auto &shard : m_shards)
        BOOST_LEAF_CHECK(shard->listen());
    return {};
}

void EntryDaemon::createShards()
{
    const auto operatorHandler = [this](std::string body, std::shared_ptr<HttpReply> reply) {
        m_control->post(OperatorRequestArrived{
                std::move(body), [reply = std::move(reply)](std::string text) {
                    reply->send(HttpResponse::json(200, std::move(text)));
                }});
    };
    const auto publishPoison = [this](std::vector<PoisonRecord> records) {
        for (const auto &shard : m_shards)
            shard->mergePoison(records);
        m_control->post(PoisonFound{std::move(records)});
    };
    const auto enginesNeeded = [this](const EngineGroup &group) {
        m_control->post(godwit::EnginesNeeded{group});
    };
    const auto seed =
            static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    for (std::uint32_t i = 0; i < m_settings.trafficThreads; ++i)
        m_shards.push_back(
                std::make_unique<EntryShard>(m_settings, m_refusals, m_metrics, m_tracer,
                                             stableHash(m_settings.host.value(), seed + i),
                                             operatorHandler, publishPoison, enginesNeeded));
}

std::unique_ptr<EntryCore> EntryDaemon::makeCore()
{
    EntryCore::Outputs outputs;
    outputs.publishConfiguration = [this](const std::shared_ptr<const Configuration> &it) {
        for (const auto &shard : m_shards)
            shard->setConfiguration(it);
        setReady(true);
    };
    outputs.publishHosts = [this](const std::vector<HostUpdate> &hostUpdates) {
        hostsChanged(hostUpdates);
    };
    return std::make_unique<EntryCore>(m_settings, *m_io, m_refusals, m_metrics,
                                       std::move(outputs));
}

void EntryDaemon::hostsChanged(const std::vector<HostUpdate> &hostUpdates)
{
    for (const auto &shard : m_shards)
        shard->setHosts(hostUpdates);
    m_io->post([this, hostUpdates] {
        if (m_loadSubscriptions)
            m_loadSubscriptions->update(hostUpdates);
    });
}

void EntryDaemon::onReport(HostReport report)
{
    const auto shared = std::make_shared<const HostReport>(report);
    for (const auto &shard : m_shards)
        shard->applyReport(shared);
    m_control->post(HostReportArrived{std::move(report)});
}

void EntryDaemon::accept(const std::shared_ptr<WireStream> &stream)
{
    if (stream->request().path == "/poison")
        handleJsonMessage<std::vector<PoisonRecord>>(stream, PeerMessageLimit,
                                                     [this](auto records) {
                                                         for (const auto &shard : m_shards)
                                                             shard->mergePoison(records);
                                                         return std::string();
                                                     });
    else if (!acceptControlMessage(stream, *m_control))
        reply(*stream, 404, "unknown path");
}

void EntryDaemon::beginShutdown()
{
    setReady(false);
    m_control->post(ShutdownRequested{});
    for (const auto &shard : m_shards)
        shard->stopAccepting();
}

std::vector<std::string> EntryDaemon::inProgress()
{
    std::vector<std::string> names;
    for (const auto &shard : m_shards) {
        const auto more = shard->inProgress();
        names.insert(names.end(), more.begin(), more.end());
    }
    return names;
}

} // namespace godwit
