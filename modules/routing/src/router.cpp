#include <godwit/routing/router.h>

#include <godwit/base/rendezvous.h>

#include <algorithm>
#include <set>

namespace godwit {

/// One known backend server.
struct Router::Server
{
    Backend backend;
    bool reachable = true;
    std::uint64_t hash = 0; ///< Hash of the server's id.
    Duration penalty{0};
    LoadEstimate load;
    Ramp ramp;

    bool isServing() const { return reachable && backend.servingState == ServingState::Serving; }
};

/// A server that belongs to the subset of a deployment.
struct Router::SubsetMember
{
    std::shared_ptr<Server> server;
    std::size_t prefixSlot = 0; ///< Slot in the prefix index.
};

/// The subset of servers and the prefix index of one deployment.
struct Router::DeploymentPool
{
    Subset subset;
    PrefixIndex prefixes;
    std::map<BackendId, SubsetMember> members;
    bool membersOutdated = false; ///< The subset has changed since `members` was updated.
};

Result<Router> Router::create(RouterOptions options, ZoneCosts costs, Random random)
{
    BOOST_LEAF_AUTO(strategy, makeStrategy(options.strategy));
    return Router(std::move(options), std::move(costs), random, std::move(strategy));
}

Router::Router(RouterOptions options, ZoneCosts costs, Random random,
               std::unique_ptr<Strategy> strategy)
    : m_options(std::move(options))
    , m_costs(std::move(costs))
    , m_random(random)
    , m_strategy(std::move(strategy))
{}

Router::Router(Router &&) noexcept = default;
Router::~Router() = default;

void Router::updateBackend(const Backend &backend, TimePoint now)
{
    auto &server = m_servers[backend.id];
    const bool wasServing = server && server->isServing();
    if (!server)
        server = std::make_shared<Server>();
    const std::set<DeploymentId> previous =
            std::exchange(server->backend, backend).allowedDeployments;
    server->hash = stableHash(backend.id.value());
    server->penalty = m_costs.penalty(m_options.location, {backend.zone, backend.region});
    for (const DeploymentId &id : previous) {
        if (!backend.allowedDeployments.contains(id))
            removeFromPool(id, backend.id);
    }
    updatePools(server);
    if (!wasServing && server->isServing() && m_hasChosen)
        server->ramp.start(now, m_random);
}

void Router::removeBackend(const BackendId &id, TimePoint)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return;
    for (const DeploymentId &deployment : it->second->backend.allowedDeployments)
        removeFromPool(deployment, id);
    m_servers.erase(it);
}

void Router::setReachable(const BackendId &id, bool reachable, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end() || it->second->reachable == reachable)
        return;
    it->second->reachable = reachable;
    updatePools(it->second);
    if (it->second->isServing() && m_hasChosen)
        it->second->ramp.start(now, m_random);
}

void Router::updateEntries(const std::vector<HostId> &entries)
{
    m_entries = entries;
    for (auto &[id, pool] : m_pools) {
        pool->subset.setEntries(entries);
        pool->membersOutdated = true;
    }
}

void Router::updateLoad(const LoadReport &report, TimePoint)
{
    const auto it = m_servers.find(report.backend);
    if (it != m_servers.end())
        it->second->load.applyReport(report);
}

void Router::updateCache(const BackendId &id, const PrefixEvent &event, TimePoint)
{
    const auto server = m_servers.find(id);
    if (server == m_servers.end())
        return;
    for (const DeploymentId &deployment : server->second->backend.allowedDeployments) {
        DeploymentPool &pool = *m_pools.at(deployment);
        refreshMembers(pool);
        const auto it = pool.members.find(id);
        if (it != pool.members.end())
            pool.prefixes.apply(it->second.prefixSlot, event);
    }
}

Result<Choice> Router::choose(const RoutingRequest &request, TimePoint now)
{
    const auto it = m_pools.find(request.deployment);
    if (it == m_pools.end())
        return fail(ResultCode::NoBackendKnown, "deployment " + request.deployment.value());
    DeploymentPool &pool = *it->second;
    refreshMembers(pool);
    m_eligible.clear();
    for (const auto &[id, member] : pool.members)
        addIfEligible(*member.server, member.prefixSlot, request);
    if (m_eligible.empty())
        collectOutsideSubset(request);
    if (m_eligible.empty())
        return fail(ineligibleError(request));
    applyRamp(now);
    fillCandidates(pool, request, now);

    const Candidate &best = m_candidates[m_strategy->choose(m_candidates, m_random)];
    const EligibleServer &member = m_eligible[best.index];
    // Use the larger estimate: adjustStaleEstimates() raises only the queueing time.
    const Duration wait = std::max(best.queueing, member.server->load.admissionWait(now));
    const Duration predictedTtft = wait + best.prefill + best.penalty;
    const double cached = static_cast<double>(best.cachedBlocks) * request.tokensPerBlock;
    member.server->load.recordSent(std::max(0.0, request.promptTokens - cached), now);
    if (member.prefixSlot != NoPrefixSlot)
        pool.prefixes.recordSent(member.prefixSlot, request.prefix);
    m_hasChosen = true;
    const Backend &backend = member.server->backend;
    return Choice{backend.id, backend.host, *findMatchingPin(backend, request), predictedTtft,
                  best.cachedBlocks};
}

void Router::recordFinished(const BackendId &id, TimePoint now)
{
    const auto it = m_servers.find(id);
    if (it != m_servers.end())
        it->second->load.recordFinished(now);
}

IneligibleCounts Router::countByReason(const RoutingRequest &request) const
{
    IneligibleCounts counts{};
    for (const auto &[id, server] : m_servers) {
        const IneligibleReason reason =
                checkEligibility(server->backend, server->reachable, request);
        ++counts[static_cast<std::size_t>(reason)];
    }
    return counts;
}

std::vector<BackendId> Router::subscriptions()
{
    std::set<BackendId> ids;
    for (auto &[deployment, pool] : m_pools) {
        refreshMembers(*pool);
        for (const auto &[id, member] : pool->members)
            ids.insert(id);
    }
    return {ids.begin(), ids.end()};
}

void Router::updatePools(const std::shared_ptr<Server> &server)
{
    for (const DeploymentId &id : server->backend.allowedDeployments) {
        auto &pool = m_pools[id];
        if (!pool) {
            pool = std::make_unique<DeploymentPool>(
                    DeploymentPool{Subset(m_options.self, m_options.subsetSize),
                                   PrefixIndex(m_options.prefixCapacity),
                                   {}});
            pool->subset.setEntries(m_entries);
        }
        // Servers that do not serve requests must not take up places in the subset.
        if (server->isServing())
            pool->subset.add(server->backend.id);
        else
            pool->subset.remove(server->backend.id);
        pool->membersOutdated = true;
    }
}

void Router::removeFromPool(const DeploymentId &id, const BackendId &backend)
{
    DeploymentPool &pool = *m_pools.at(id);
    pool.subset.remove(backend);
    pool.membersOutdated = true;
    // The member must be removed: a server that is added again with this id is a different object.
    const auto it = pool.members.find(backend);
    if (it == pool.members.end())
        return;
    pool.prefixes.removeServer(it->second.prefixSlot);
    pool.members.erase(it);
}

void Router::refreshMembers(DeploymentPool &pool)
{
    if (!pool.membersOutdated)
        return;
    pool.membersOutdated = false;
    const std::vector<BackendId> ids = pool.subset.members();
    const std::set<BackendId> present(ids.begin(), ids.end());
    std::array<bool, PrefixIndex::MaxServers> usedSlots{};
    for (auto it = pool.members.begin(); it != pool.members.end();) {
        if (present.contains(it->first)) {
            usedSlots[it->second.prefixSlot] = true;
            ++it;
        } else {
            pool.prefixes.removeServer(it->second.prefixSlot);
            it = pool.members.erase(it);
        }
    }
    for (const BackendId &id : ids) {
        if (pool.members.contains(id))
            continue;
        const auto freeSlot = std::ranges::find(usedSlots, false);
        *freeSlot = true;
        pool.members[id] = {m_servers.at(id),
                            static_cast<std::size_t>(freeSlot - usedSlots.begin())};
    }
    for (const auto &[id, member] : pool.members)
        member.server->load.setSenderCount(pool.subset.senderCount());
}

void Router::addIfEligible(Server &server, std::size_t prefixSlot, const RoutingRequest &request)
{
    if (checkEligibility(server.backend, server.reachable, request) == IneligibleReason::None)
        m_eligible.push_back({&server, prefixSlot});
}

void Router::collectOutsideSubset(const RoutingRequest &request)
{
    for (const auto &[id, server] : m_servers)
        addIfEligible(*server, NoPrefixSlot, request);
}

void Router::applyRamp(TimePoint now)
{
    const auto isThrottled = [&](const EligibleServer &member) {
        const double loadShare = member.server->ramp.loadShare(now);
        return loadShare < 1 && !m_random.chance(loadShare);
    };
    const auto throttled =
            std::partition(m_eligible.begin(), m_eligible.end(),
                           [&](const EligibleServer &it) { return !isThrottled(it); });
    // If all servers are throttled, all remain eligible: slow start must not reject requests.
    if (throttled != m_eligible.begin())
        m_eligible.erase(throttled, m_eligible.end());
}

void Router::fillCandidates(DeploymentPool &pool, const RoutingRequest &request, TimePoint now)
{
    const auto cached = pool.prefixes.match(request.prefix);
    m_candidates.clear();
    double totalConfidence = 0;
    double meanLoad = 0;
    double meanQueueing = 0;
    for (std::size_t i = 0; i < m_eligible.size(); ++i) {
        const Server &server = *m_eligible[i].server;
        const LoadEstimate &load = server.load;
        Candidate it;
        it.index = i;
        it.loadPerSlot = load.requests() / load.slots();
        it.queueing = load.queueingTime(now);
        it.penalty = server.penalty;
        it.affinity = request.prefix.empty() ? 0 : Random(server.hash ^ request.prefix.front())();
        if (m_eligible[i].prefixSlot != NoPrefixSlot)
            it.cachedBlocks = cached[m_eligible[i].prefixSlot];
        const double tokens = request.promptTokens
                              - static_cast<double>(it.cachedBlocks) * request.tokensPerBlock;
        it.prefill = fromSeconds(std::max(1.0, tokens) / load.prefillRate());
        const double confidence = load.confidence(now);
        totalConfidence += confidence;
        meanLoad += confidence * it.loadPerSlot;
        meanQueueing += confidence * toSeconds(it.queueing);
        m_candidates.push_back(it);
    }
    if (totalConfidence > 0)
        adjustStaleEstimates(meanLoad / totalConfidence, meanQueueing / totalConfidence, now);
}

void Router::adjustStaleEstimates(double meanLoad, double meanQueueing, TimePoint now)
{
    for (Candidate &it : m_candidates) {
        const double uncertainty = 1 - m_eligible[it.index].server->load.confidence(now);
        if (uncertainty <= 0)
            continue;
        it.loadPerSlot += uncertainty * std::max(0.0, meanLoad - it.loadPerSlot);
        it.queueing +=
                fromSeconds(uncertainty * std::max(0.0, meanQueueing - toSeconds(it.queueing)));
    }
}

Error Router::ineligibleError(const RoutingRequest &request) const
{
    return {ResultCode::NoBackendEligible,
            "deployment " + request.deployment.value() + ": " + toString(countByReason(request))};
}

} // namespace godwit
