#include "engineselector.h"

#include <godwit/base/rendezvous.h>
#include <godwit/ports/cacheblocks.h>

#include <algorithm>
#include <charconv>

namespace godwit {

namespace {

// Requests do not state the number of prompt tokens; about four characters per token are typical
// of English.
constexpr std::uint32_t CharactersPerToken = 4;
constexpr std::uint64_t DefaultBlockCharacters = 64;
// Delay that is equivalent to one unit of ZoneSettings::cost. It is below the queueing delay of a
// loaded engine, so that cost decides only between engines of similar load.
constexpr Duration DelayPerCostUnit = std::chrono::milliseconds(1);
// An equal load report within this time is a repetition, sent because another part of the host
// report changed; its age must not be counted from the second arrival.
constexpr Duration DuplicateLoadReportWindow = std::chrono::milliseconds(400);
// Weight of a new sample in the moving average of the time that requests occupy an engine.
constexpr double HoldTimeSampleWeight = 0.05;

Router makeRouter(const DaemonSettings &settings, Random random)
{
    RouterOptions options;
    options.self = settings.host;
    options.location = {settings.zone, settings.region};
    options.strategy = settings.routing.strategy;
    // Only hosts of the subset report here, so the Router may use all of them.
    options.subsetSize = Subset::MaxSize;
    ZoneCosts costs({}, {}, DelayPerCostUnit);
    for (const ZoneSettings &zone : settings.zones)
        costs.setPairCost(settings.zone, zone.id, {zone.delay, zone.cost});
    return Router::create(std::move(options), std::move(costs), random).value();
}

EngineRole roleOf(std::string_view name)
{
    if (name == "prefill")
        return EngineRole::Prefill;
    return name == "decode" ? EngineRole::Decode : EngineRole::Mixed;
}

/// Hash of a block for one set of weights. It does not include the version, because engines report
/// that their cache is empty after a change of version.
std::uint64_t blockHash(std::string_view hex, const ModelId &model, const AdapterId &adapter)
{
    std::uint64_t block = 0;
    std::from_chars(hex.data(), hex.data() + hex.size(), block, 16);
    return block ^ stableHash(adapter.value(), stableHash(model.value()));
}

PrefixEvent::Kind kindOf(CacheEventKind kind)
{
    switch (kind) {
    case CacheEventKind::Stored:
        return PrefixEvent::Kind::Stored;
    case CacheEventKind::Evicted:
        return PrefixEvent::Kind::Evicted;
    case CacheEventKind::Cleared:
        break;
    }
    return PrefixEvent::Kind::Cleared;
}

} // namespace

EngineSelector::EngineSelector(const DaemonSettings &settings, Random random)
    : m_router(makeRouter(settings, random))
{
    for (const ZoneSettings &zone : settings.zones)
        m_regions[zone.id] = zone.region;
    m_regions.emplace(settings.zone, settings.region);
}

void EngineSelector::synchronize(const BackendDirectory &directory, TimePoint now)
{
    for (auto &[id, engine] : m_engines)
        engine.isCurrent = false;
    for (const auto &[id, host] : directory.hosts()) {
        for (const auto &[backend, report] : host.backends) {
            if (!report.plain)
                update(directory, id, host, report, now);
        }
    }
    std::erase_if(m_engines, [&](const auto &it) {
        if (!it.second.isCurrent)
            m_router.removeBackend(it.first, now);
        return !it.second.isCurrent;
    });
}

void EngineSelector::update(const BackendDirectory &directory, const HostId &id,
                            const BackendDirectory::Host &host, const BackendReport &report,
                            TimePoint now)
{
    Backend backend;
    backend.id = report.backend;
    backend.host = id;
    backend.zone = host.zone;
    if (const auto region = m_regions.find(host.zone); region != m_regions.end())
        backend.region = region->second;
    backend.role = roleOf(report.role);
    backend.loaded = report.loaded;
    const Configuration *configuration = directory.configuration();
    if (configuration && configuration->drained.contains(id))
        backend.servingState = ServingState::Drained;
    else if (!directory.drain().acceptsRequests(id))
        backend.servingState = ServingState::Leaving;
    if (configuration) {
        for (const auto &[deployment, it] : configuration->deployments) {
            if (it.options.kind == DeploymentKind::Model && isAllowed(it, id, report.backend))
                backend.allowedDeployments.insert(deployment);
        }
    }
    const bool isReachable = host.usable && host.hasReport && report.up;
    for (const ModelPin &pin : report.loaded)
        m_blockCharacters[pin.model] = report.blockCharacters;

    auto [it, isNew] = m_engines.try_emplace(report.backend);
    Engine &engine = it->second;
    engine.isCurrent = true;
    if (isNew || engine.backend != backend) {
        engine.backend = backend;
        m_router.updateBackend(backend, now);
    }
    if (isNew || engine.reachable != isReachable) {
        engine.reachable = isReachable;
        m_router.setReachable(report.backend, isReachable, now);
    }
}

void EngineSelector::applyReport(const HostReport &report, TimePoint now)
{
    for (const auto &backend : report.backends) {
        const auto it = m_engines.find(backend.backend);
        if (it == m_engines.end())
            continue;
        updateLoad(it->second, backend, now);
        updateCache(it->second, backend, now);
    }
}

void EngineSelector::updateLoad(Engine &engine, const BackendReport &report, TimePoint now)
{
    const bool isSame =
            engine.load == report.load && now - engine.loadAt < DuplicateLoadReportWindow;
    if (!report.reportsLoad || isSame)
        return;
    engine.load = report.load;
    engine.loadAt = now;
    LoadReport load;
    load.backend = report.backend;
    load.takenAt = now - report.load.age;
    load.running = static_cast<std::uint32_t>(report.load.running);
    load.waiting = static_cast<std::uint32_t>(report.load.queued);
    load.slots = static_cast<std::uint32_t>(report.load.slots);
    load.queuedTokens = report.load.queuedPromptTokens;
    load.prefillTokensPerSecond = report.load.prefillTokensPerSecond;
    load.meanHoldTime = engine.meanHoldTime;
    m_router.updateLoad(load, now);
}

void EngineSelector::updateCache(Engine &engine, const BackendReport &report, TimePoint now)
{
    if (engine.boots != report.boots) {
        // The sequence numbers of cache events start again.
        engine.boots = report.boots;
        m_router.updateCache(report.backend, {0, PrefixEvent::Kind::Cleared, {}}, now);
    }
    for (const CacheEvent &event : report.cacheEvents) {
        PrefixEvent change{event.sequence, kindOf(event.kind), {}};
        if (event.kind != CacheEventKind::Cleared)
            change.blocks.push_back(blockHash(event.block, event.pin.model, event.pin.adapter));
        m_router.updateCache(report.backend, change, now);
    }
}

RoutingRequest EngineSelector::routingRequest(const CallerRequest &call) const
{
    RoutingRequest request;
    request.deployment = call.deployment;
    const auto known = m_blockCharacters.find(call.model);
    const std::uint64_t characters =
            known == m_blockCharacters.end() ? DefaultBlockCharacters : known->second;
    request.tokensPerBlock =
            std::max(1U, static_cast<std::uint32_t>(characters) / CharactersPerToken);
    request.promptTokens = static_cast<std::uint32_t>(call.prompt.size()) / CharactersPerToken;
    for (const std::string &block : cacheBlocks(call.prompt, characters))
        request.prefix.push_back(blockHash(block, call.model, call.adapter));
    return request;
}

void EngineSelector::finished(const BackendId &engine, Duration held, TimePoint now)
{
    m_router.recordFinished(engine, now);
    const auto it = m_engines.find(engine);
    if (it == m_engines.end())
        return;
    Duration &mean = it->second.meanHoldTime;
    mean = mean == Duration::zero()
                   ? held
                   : mean + fromSeconds(HoldTimeSampleWeight * toSeconds(held - mean));
}

} // namespace godwit
