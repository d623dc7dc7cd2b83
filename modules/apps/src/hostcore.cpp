#include "hostcore.h"

#include "storagereplies.h"

#include <godwit/base/rendezvous.h>
#include <godwit/observe/log.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr Duration ReportInterval = std::chrono::milliseconds(500);

std::string holderName(const Membership &membership)
{
    const Member &self = membership.self();
    return self.host.value() + '/' + std::to_string(self.incarnation.value);
}

AuthorLease::Settings leaseSettings(const DaemonSettings &settings)
{
    AuthorLease::Settings result;
    result.waitsForPreviousLease = std::ranges::any_of(settings.backends, [](const auto &backend) {
        return backend.kind == BackendKind::Engine && !backend.checksFencing;
    });
    return result;
}

} // namespace

HostCore::HostCore(const DaemonSettings &settings, ControlIo &io, MetricsRegistry &metrics,
                   Outputs outputs)
    : m_settings(settings)
    , m_io(io)
    , m_metrics(metrics)
    , m_outputs(std::move(outputs))
    , m_cluster(settings, io,
                {[this](std::shared_ptr<const Configuration> it) {
                     configurationChanged(std::move(it));
                 },
                 [this](const Member &member, bool replaced) { memberChanged(member, replaced); }})
    , m_lease(holderName(m_cluster.membership()), leaseSettings(settings),
              Random(m_cluster.membership().self().incarnation.value))
{
    WeightsAgent::Environment environment;
    environment.endpointOf = [this](const HostId &host) { return m_cluster.endpointOf(host); };
    environment.participants = [this](const std::vector<HostId> &hosts) {
        return participants(hosts);
    };
    environment.engines = [this] {
        std::vector<EngineAgent *> engines;
        for (const auto &engine : m_engines)
            engines.push_back(engine.get());
        return engines;
    };
    environment.serveUpload = m_outputs.serveUpload;
    environment.refuseUpload = m_outputs.refuseUpload;
    environment.cancelUploads = m_outputs.cancelUploads;
    m_weights = std::make_unique<WeightsAgent>(settings, io, std::move(environment),
                                               stableHash(settings.host.value()));
    createEngines();
}

void HostCore::createEngines()
{
    for (const auto &backend : m_settings.backends) {
        if (backend.kind != BackendKind::Engine)
            continue;
        EngineAgent::Listener listener;
        listener.onLoadRequested = [this](const LoadedModel &item) {
            m_weights->onLoadRequested(MonotonicClock::now(), item);
        };
        listener.onLoadStarted = [this](const LoadedModel &item) {
            m_weights->onLoadStarted(MonotonicClock::now(), item);
        };
        listener.onLoadEnded = [this](const LoadedModel &item, bool success) {
            m_weights->onLoadEnded(MonotonicClock::now(), item, success);
        };
        listener.onStateChanged = [this] { m_reportDue = true; };
        m_engines.push_back(std::make_unique<EngineAgent>(
                backend, m_io, holderName(m_cluster.membership()),
                Random(stableHash(backend.id.value())), std::move(listener)));
    }
}

void HostCore::handle(TimerTick)
{
    const TimePoint now = MonotonicClock::now();
    if (!std::exchange(m_started, true)) {
        m_cluster.start(now);
        run(m_lease.start(now));
    }
    m_cluster.tick(now);
    const bool needsLease =
            std::ranges::any_of(m_engines, [](const auto &engine) { return engine->needsLease(); });
    run(m_lease.setOrdersPending(now, needsLease));
    if (now >= m_lease.nextTimer())
        run(m_lease.onTimer(now));
    if (!m_cluster.dissemination().staleness(now).isolated) {
        for (const auto &engine : m_engines)
            engine->tick(now, m_lease);
    }
    m_weights->tick(now);
    if (m_reportDue || now >= m_nextReport)
        publishReport(now);
}

void HostCore::handle(GossipArrived event)
{
    m_cluster.handle(std::move(event), MonotonicClock::now());
}

void HostCore::handle(ConfigurationPushArrived event)
{
    m_cluster.handle(event, MonotonicClock::now());
}

void HostCore::handle(ConfigurationPullArrived event)
{
    m_cluster.handle(event, MonotonicClock::now());
}

void HostCore::handle(HaveUpdateArrived event)
{
    const auto update = capture([&] { return parseHaveUpdate(event.text); });
    if (succeeded(update))
        m_weights->onHaveUpdate(MonotonicClock::now(), event.from, std::get<0>(update));
}

void HostCore::handle(ChunkRequestArrived event)
{
    m_weights->chunkRequested(MonotonicClock::now(), event.from, event.digest, event.upload);
}

void HostCore::handle(UploadEnded event)
{
    m_weights->uploadFinished(MonotonicClock::now(), event.upload, event.isDelivered);
}

void HostCore::handle(ShutdownRequested)
{
    m_leaving = true;
    m_cluster.leave(MonotonicClock::now());
    publishReport(MonotonicClock::now());
}

void HostCore::configurationChanged(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_outputs.publishConfiguration(m_configuration);
    setDesired();
    m_weights->setConfiguration(MonotonicClock::now(), m_configuration);
    m_reportDue = true;
}

void HostCore::setDesired()
{
    const TimePoint now = MonotonicClock::now();
    for (const auto &engine : m_engines)
        engine->setDesired(now,
                           desiredEngine(*m_configuration, m_settings.host, engine->settings().id));
}

void HostCore::memberChanged(const Member &member, bool replaced)
{
    const TimePoint now = MonotonicClock::now();
    std::map<HostId, Endpoint> peers;
    for (const Member &it : m_cluster.membership().all()) {
        if (const auto endpoint = parsePeerAddress(it.address))
            peers.emplace(it.host, *endpoint);
    }
    m_outputs.publishPeers(std::move(peers));
    if (member.status == MemberStatus::Dead || replaced)
        m_weights->peerLeft(now, member.host);
    if (member.status != MemberStatus::Dead)
        m_weights->peerChanged(now, {member.host, member.zone, m_cluster.regionOf(member.zone)});
}

std::vector<Participant> HostCore::participants(const std::vector<HostId> &hosts) const
{
    std::vector<Participant> result;
    for (const auto &host : hosts) {
        if (host == m_settings.host) {
            result.push_back({host, m_settings.zone, m_settings.region});
            continue;
        }
        const Member *member = m_cluster.membership().find(host);
        if (member && member->status != MemberStatus::Dead)
            result.push_back({host, member->zone, m_cluster.regionOf(member->zone)});
    }
    return result;
}

void HostCore::run(const std::vector<LeaseAction> &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &it) { execute(it); }, action);
}

void HostCore::execute(const ReadAuthor &action)
{
    auto done = m_io.controlCallback<Outcome<std::optional<KeyValueEntry>>>(
            [this, call = action.call](const Outcome<std::optional<KeyValueEntry>> &outcome) {
                run(m_lease.onRead(MonotonicClock::now(), call, storageReply(outcome)));
            });
    m_io.post([&io = m_io, &settings = m_settings, done] {
        io.keyValue().get("/godwit/author/" + settings.host.value(), done);
    });
}

void HostCore::execute(const WriteAuthor &action)
{
    auto done = m_io.controlCallback<Outcome<StoreRevision>>(
            [this, call = action.call](const Outcome<StoreRevision> &outcome) {
                run(m_lease.onWrite(MonotonicClock::now(), call, storageReply(outcome)));
            });
    m_io.post([&io = m_io, &settings = m_settings, action, done] {
        io.keyValue().compareAndSwap("/godwit/author/" + settings.host.value(), {action.expected},
                                     action.value, {}, done);
    });
}

void HostCore::publishReport(TimePoint now)
{
    m_reportDue = false;
    m_nextReport = now + ReportInterval;
    m_outputs.publishReport(makeReport());
    updateMetrics();
}

HostReport HostCore::makeReport()
{
    HostReport report;
    report.host = m_settings.host;
    report.incarnation = m_cluster.membership().startIncarnation();
    report.leaving = m_leaving;
    for (const auto &engine : m_engines) {
        BackendReport backend;
        backend.backend = engine->settings().id;
        backend.up = engine->isUp();
        backend.problem = engine->problem();
        if (const auto &state = engine->state()) {
            backend.boots = state->boots;
            backend.role = state->role;
            // An engine that must become idle for an order gets no new requests.
            if (!engine->needsIdleEngine())
                backend.loaded = state->loaded;
            backend.blockCharacters = state->blockCharacters;
        }
        if (const auto &load = engine->load()) {
            backend.reportsLoad = true;
            backend.load = *load;
        }
        if (!engine->desired().loads.empty()) {
            backend.target = pinOf(*engine->desired().loads.begin());
            backend.transferPercent = m_weights->transferPercent(backend.target);
        }
        backend.cacheEvents = engine->takeCacheEvents();
        report.backends.push_back(std::move(backend));
    }
    for (const auto &plain : m_settings.backends) {
        if (plain.kind != BackendKind::Plain)
            continue;
        BackendReport backend;
        backend.backend = plain.id;
        backend.plain = true;
        backend.deployment = plain.deployment;
        backend.up = true;
        report.backends.push_back(std::move(backend));
    }
    return report;
}

void HostCore::updateMetrics()
{
    struct Row
    {
        const char *name;
        std::uint64_t TransferCounters::*member;
    };
    static constexpr Row Rows[] = {
            {"godwit_weights_bytes_from_origin", &TransferCounters::bytesFromOrigin},
            {"godwit_weights_bytes_from_region_peers", &TransferCounters::bytesFromRegionPeers},
            {"godwit_weights_bytes_from_other_regions", &TransferCounters::bytesFromOtherRegions},
            {"godwit_weights_bytes_served", &TransferCounters::bytesServed},
            {"godwit_weights_requests_stalled", &TransferCounters::requestsStalled},
            {"godwit_weights_requests_failed", &TransferCounters::requestsFailed},
            {"godwit_weights_chunks_corrupt", &TransferCounters::chunksCorrupt},
            {"godwit_weights_peers_excluded", &TransferCounters::peersExcluded},
            {"godwit_weights_origin_refusals", &TransferCounters::originRefusals},
            {"godwit_weights_origin_fallbacks", &TransferCounters::originFallbacks},
            {"godwit_weights_region_takeovers", &TransferCounters::regionTakeovers},
            {"godwit_weights_transfers_started", &TransferCounters::transfersStarted},
            {"godwit_weights_transfers_servable", &TransferCounters::transfersServable},
            {"godwit_weights_transfers_failed", &TransferCounters::transfersFailed},
    };
    for (const Row &row : Rows)
        m_metrics.gauge(row.name, "See docs/operators-weights.md.")
                .set(static_cast<double>(m_weights->counters().*row.member));
    m_metrics.gauge("godwit_configuration_revision", "Revision in effect.")
            .set(static_cast<double>(m_cluster.dissemination().applied().value));
    m_metrics.gauge("godwit_members_known", "Members of the membership view.")
            .set(static_cast<double>(m_cluster.membership().known()));
}

} // namespace godwit
