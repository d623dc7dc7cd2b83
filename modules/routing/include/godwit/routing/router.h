#pragma once

#include <godwit/base/result.h>
#include <godwit/routing/capability.h>
#include <godwit/routing/loadestimate.h>
#include <godwit/routing/prefixindex.h>
#include <godwit/routing/ramp.h>
#include <godwit/routing/strategy.h>
#include <godwit/routing/subset.h>
#include <godwit/routing/zonecosts.h>

#include <array>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace godwit {

struct RouterOptions
{
    HostId self;
    Location location;
    std::string strategy = "predicted_ttft";
    std::size_t subsetSize = Subset::DefaultSize;
    std::size_t prefixCapacity = PrefixIndex::DefaultCapacity; ///< Blocks per deployment.
};

/// Result of a server selection.
struct Choice
{
    BackendId backend;
    HostId host;
    ModelPin pin;              ///< RoutingRequest::pin or one of its alternatives.
    Duration predictedTtft{0}; ///< Estimated time to first token.
    float cachedBlocks = 0;

    friend bool operator==(const Choice &, const Choice &) = default;
};

/// Selects backend servers for the requests of an entry process. Not thread-safe. Time and random
/// numbers are passed in, so that the same seed and calls always give the same selections.
class Router
{
public:
    /// Fails with StrategyUnknown.
    static Result<Router> create(RouterOptions options, ZoneCosts costs, Random random);

    Router(Router &&) noexcept;
    ~Router();

    /// Adds a server or replaces its description. A server that is leaving or drained is no longer
    /// selected from the next call of choose() on. A server that is new or serves again starts with
    /// reduced load, see Ramp. Before the first selection no server does, because all are new.
    void updateBackend(const Backend &backend, TimePoint now);
    void removeBackend(const BackendId &id, TimePoint now);

    /// Sets whether cluster membership considers the server's host reachable.
    void setReachable(const BackendId &id, bool reachable, TimePoint now);

    /// Sets the entry processes that are alive, from which the subsets are computed.
    void updateEntries(const std::vector<HostId> &entries);

    /// Applies the load report of a server. Reports of unknown servers are ignored.
    void updateLoad(const LoadReport &report, TimePoint now);
    /// Applies a cache event of a server. Events of servers outside the subsets are ignored.
    void updateCache(const BackendId &id, const PrefixEvent &event, TimePoint now);

    /// Selects a server and records the request as sent to it. Fails with NoBackendKnown or
    /// NoBackendEligible.
    Result<Choice> choose(const RoutingRequest &request, TimePoint now);

    /// Records that a request sent to \a id has ended, successfully or not.
    void recordFinished(const BackendId &id, TimePoint now);

    /// Counts all known servers by the reason why they may not run \a request. Servers that may run
    /// it are counted under None.
    IneligibleCounts countByReason(const RoutingRequest &request) const;

    /// Servers whose load reports and cache events this process needs, which are those of the
    /// subsets.
    std::vector<BackendId> subscriptions();

private:
    struct Server;
    struct DeploymentPool;
    struct SubsetMember;

    /// A server that may run the current request.
    struct EligibleServer
    {
        Server *server = nullptr;
        /// Slot in the prefix index. NoPrefixSlot if the server is outside the subset.
        std::size_t prefixSlot = 0;
    };

    static constexpr std::size_t NoPrefixSlot = PrefixIndex::MaxServers;

    Router(RouterOptions options, ZoneCosts costs, Random random,
           std::unique_ptr<Strategy> strategy);

    void updatePools(const std::shared_ptr<Server> &server);
    void removeFromPool(const DeploymentId &id, const BackendId &backend);
    void refreshMembers(DeploymentPool &pool);
    void addIfEligible(Server &server, std::size_t prefixSlot, const RoutingRequest &request);
    void collectOutsideSubset(const RoutingRequest &request);
    void applyRamp(TimePoint now);
    void fillCandidates(DeploymentPool &pool, const RoutingRequest &request, TimePoint now);
    /// Raises the estimates of servers with old reports towards the confidence-weighted mean of all
    /// candidates, so that a server that stopped reporting does not appear idle.
    void adjustStaleEstimates(double meanLoad, double meanQueueing, TimePoint now);
    Error ineligibleError(const RoutingRequest &request) const;

    RouterOptions m_options;
    ZoneCosts m_costs;
    Random m_random;
    std::unique_ptr<Strategy> m_strategy;
    std::vector<HostId> m_entries;
    bool m_hasChosen = false;
    std::unordered_map<BackendId, std::shared_ptr<Server>> m_servers;
    std::map<DeploymentId, std::unique_ptr<DeploymentPool>> m_pools;
    std::vector<EligibleServer> m_eligible; ///< Scratch buffer of choose().
    std::vector<Candidate> m_candidates;
};

} // namespace godwit
