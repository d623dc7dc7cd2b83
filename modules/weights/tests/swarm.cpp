#include "swarm.h"

#include <godwit/base/rendezvous.h>

#include <algorithm>

namespace godwit::test {

namespace {

using namespace std::chrono_literals;

constexpr Duration MessageDelay = 2ms;

} // namespace

std::string chunkBytes(const std::string &name, ChunkIndex index, std::uint32_t size)
{
    std::string bytes(size, '\0');
    Random random(stableHash(name, index));
    for (char &byte : bytes)
        byte = static_cast<char>(random());
    return bytes;
}

Manifest makeManifest(const std::string &version, const std::vector<std::string> &contents)
{
    Manifest manifest{DeploymentId("desk"),
                      ModelId("model"),
                      {},
                      VersionId(version),
                      {},
                      1024 * contents.size(),
                      1024,
                      {}};
    for (const std::string &content : contents)
        manifest.chunks.push_back(Digest::of(chunkBytes(content, 0, 1024)));
    return manifest;
}

namespace {

std::vector<std::string> ownContents(const std::string &version, ChunkIndex chunks)
{
    std::vector<std::string> contents;
    for (ChunkIndex i = 0; i < chunks; ++i)
        contents.push_back(version + '/' + std::to_string(i));
    return contents;
}

} // namespace

Manifest makeManifest(const std::string &version, ChunkIndex chunks)
{
    return makeManifest(version, ownContents(version, chunks));
}

TransferSettings Swarm::testSettings()
{
    TransferSettings settings;
    settings.hostRate = 1e6;
    settings.originRate = 2e6;
    settings.regionLinkRate = 1e5;
    return settings;
}

Swarm::Swarm(std::uint64_t seed, TransferSettings settings)
    : m_settings(settings)
    , m_seed(seed)
{}

void Swarm::addHost(const std::string &name, const std::string &region)
{
    m_hosts.emplace(name,
                    Host{TransferPlanner(HostId(name), m_settings, m_seed * 1000 + m_hosts.size()),
                         Participant{HostId(name), ZoneId(region + "a"), RegionId(region)},
                         true,
                         {},
                         {},
                         {},
                         {}});
}

void Swarm::publish(const Manifest &manifest, const std::vector<std::string> &contents)
{
    m_manifests[manifest.digest()] = manifest;
    for (const std::string &content : contents) {
        auto bytes = std::make_shared<const std::string>(chunkBytes(content, 0, 1024));
        m_origin[Digest::of(*bytes)] = bytes;
    }
}

void Swarm::publish(const Manifest &manifest)
{
    publish(manifest, ownContents(manifest.version.value(), manifest.chunkCount()));
}

TransferOrder Swarm::order(const Manifest &manifest) const
{
    TransferOrder order{manifest, RegionId("r1"), TransferPolicy::TimeFirst, 1, {}};
    for (const auto &[name, host] : m_hosts) {
        if (host.alive)
            order.participants.push_back(host.participant);
    }
    return order;
}

void Swarm::start(const std::string &host, const Manifest &manifest)
{
    apply(host, planner(host).start(localTime(host), order(manifest)));
}

void Swarm::startAll(const Manifest &manifest)
{
    for (auto &[name, host] : m_hosts) {
        if (host.alive)
            start(name, manifest);
    }
}

void Swarm::kill(const std::string &name, bool announced)
{
    m_hosts.at(name).alive = false;
    if (!announced)
        return;
    for (auto &[other, host] : m_hosts) {
        if (host.alive)
            apply(other, host.planner.peerLeft(localTime(other), HostId(name)));
    }
}

void Swarm::at(TimePoint time, std::function<void()> run)
{
    m_events.push(Event{time, m_nextNumber++, std::move(run)});
}

void Swarm::atHost(TimePoint time, const std::string &host,
                   std::function<TransferActions(Host &)> run)
{
    at(time, [this, host, run = std::move(run)] {
        Host &target = m_hosts.at(host);
        if (target.alive)
            apply(host, run(target));
    });
}

bool Swarm::reachable(const std::string &a, const std::string &b) const
{
    return m_hosts.at(b).alive && (!connected || connected(a, b));
}

void Swarm::scheduleTick(const std::string &name)
{
    Host &host = m_hosts.at(name);
    const auto next = host.planner.nextTick();
    if (!next)
        return;
    const TimePoint time = std::max(now + 1ms, now + (*next - localTime(name)));
    if (host.tickAt && *host.tickAt > now && *host.tickAt <= time)
        return;
    host.tickAt = time;
    atHost(time, name, [this, name](Host &target) { return target.planner.tick(localTime(name)); });
}

void Swarm::apply(const std::string &host, TransferActions actions)
{
    for (const TransferAction &action : actions)
        std::visit([&](const auto &value) { execute(host, value); }, action);
    check(planner(host).store().usedBytes() <= planner(host).store().windowBytes(),
          host + " exceeds its memory window");
    scheduleTick(host);
}

void Swarm::run(Duration span)
{
    const TimePoint end = now + span;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        now = std::max(now, event.at);
        event.run();
    }
    now = end;
}

bool Swarm::runUntilServable(const Manifest &manifest, Duration limit)
{
    const TimePoint end = now + limit;
    while (now < end) {
        run(100ms);
        if (std::ranges::all_of(m_hosts, [&](const auto &entry) {
                return !entry.second.alive || servable(entry.first, manifest);
            }))
            return true;
    }
    return false;
}

bool Swarm::servable(const std::string &host, const Manifest &manifest) const
{
    return m_hosts.at(host).servable.contains(manifest.digest());
}

std::uint64_t Swarm::sum(std::uint64_t TransferCounters::*counter) const
{
    std::uint64_t total = 0;
    for (const auto &[name, host] : m_hosts)
        total += host.planner.counters().*counter;
    return total;
}

void Swarm::reply(const std::string &from, const std::string &to, ChunkRequestId request,
                  const Digest &digest, ChunkBytes bytes)
{
    const Reply reply = onReply ? onReply(from, to, digest) : Reply();
    if (reply.lost)
        return;
    if (reply.change) {
        auto changed = std::make_shared<std::string>(*bytes);
        reply.change(*changed);
        bytes = changed;
    }
    for (int copy = 0; copy < reply.copies; ++copy) {
        atHost(now + reply.delay, to, [this, from, to, request, bytes, reply](Host &host) {
            if (!from.empty() && !reachable(from, to))
                return TransferActions();
            if (reply.code != ResultCode::Ok)
                return host.planner.chunkFailed(localTime(to), request, reply.code,
                                                reply.retryAfter);
            return host.planner.chunkArrived(localTime(to), request, bytes);
        });
    }
}

void Swarm::execute(const std::string &host, const RequestChunk &action)
{
    if (!action.source) {
        ++m_originRequests;
        const auto it = m_origin.find(action.digest);
        check(it != m_origin.end(), "requested chunk is not at the origin");
        if (it != m_origin.end())
            reply("", host, action.request, action.digest, it->second);
        return;
    }
    const std::string peer = action.source->value();
    check(peer != host, host + " requests a chunk from itself");
    if (!m_hosts.contains(peer) || !reachable(host, peer))
        return;
    const UploadId upload = m_nextUpload++;
    m_uploads[upload] = {host, action.request};
    atHost(now + MessageDelay, peer,
           [this, peer, host, upload, digest = action.digest](Host &target) {
               return target.planner.chunkRequested(localTime(peer), HostId(host), digest, upload);
           });
}

void Swarm::execute(const std::string &, const CancelRequest &) {}

void Swarm::execute(const std::string &host, const AnnounceHave &action)
{
    const std::string peer = action.peer.value();
    if (!m_hosts.contains(peer) || !reachable(host, peer))
        return;
    atHost(now + MessageDelay, peer, [this, peer, host, update = action.update](Host &target) {
        return target.planner.peerHave(localTime(peer), HostId(host), update);
    });
}

void Swarm::execute(const std::string &host, const ServeChunk &action)
{
    check(Digest::of(*action.bytes) == action.digest, host + " serves unverified bytes");
    const auto [peer, request] = m_uploads.at(action.upload);
    reply(host, peer, request, action.digest, action.bytes);
    atHost(now + 1ms, host, [this, host, upload = action.upload](Host &target) {
        return target.planner.uploadFinished(localTime(host), upload);
    });
}

void Swarm::execute(const std::string &host, const RefuseChunk &action)
{
    const auto [peer, request] = m_uploads.at(action.upload);
    if (!reachable(host, peer))
        return;
    atHost(now + MessageDelay, peer,
           [this, peer = peer, request = request, code = action.code](Host &target) {
               return target.planner.chunkFailed(localTime(peer), request, code);
           });
}

void Swarm::execute(const std::string &host, const DeliverToEngine &action)
{
    const Manifest &manifest = m_manifests.at(action.transfer);
    check(action.bytes && Digest::of(*action.bytes) == manifest.chunks.at(action.chunk),
          host + " delivers unverified bytes");
    check(m_hosts.at(host).engine[action.transfer].insert(action.chunk).second,
          host + " delivers a chunk twice");
    atHost(now + 1ms, host, [this, host, id = action.transfer, chunk = action.chunk](Host &target) {
        return target.planner.engineAccepted(localTime(host), id, chunk);
    });
}

void Swarm::execute(const std::string &host, const FinishLoad &action)
{
    check(m_hosts.at(host).engine[action.transfer].size()
                  == m_manifests.at(action.transfer).chunkCount(),
          host + " finishes an incomplete load");
    atHost(now + 1ms, host, [this, host, id = action.transfer](Host &target) {
        target.loaded.insert(id);
        return target.planner.engineLoaded(localTime(host), id);
    });
}

void Swarm::execute(const std::string &host, const ReportServable &action)
{
    check(m_hosts.at(host).loaded.contains(action.transfer),
          host + " reports a version servable that the engine has not confirmed");
    m_hosts.at(host).servable.insert(action.transfer);
}

void Swarm::execute(const std::string &host, const ReportFailed &action)
{
    failures[host].push_back(action.error);
    m_hosts.at(host).engine.erase(action.transfer);
    m_hosts.at(host).servable.erase(action.transfer);
}

void Swarm::check(bool condition, const std::string &what)
{
    if (!condition)
        violations.push_back(what);
}

} // namespace godwit::test
