#pragma once

#include "backenddirectory.h"
#include "callerrequest.h"

#include <godwit/routing/router.h>

#include <map>
#include <string>
#include <vector>

namespace godwit {

/// Selects engines for model requests on one traffic thread. Keeps the Router up to date with the
/// directory and the host reports; the selection policy is in the Router.
class EngineSelector
{
public:
    /// \a settings must name a strategy that Router::create() knows; the settings parser checks
    /// that.
    EngineSelector(const DaemonSettings &settings, Random random);

    /// Applies changes of hosts, their engines and the configuration to the Router.
    void synchronize(const BackendDirectory &directory, TimePoint now);

    /// Applies the load and cache events of a report. Must be called after synchronize().
    void applyReport(const HostReport &report, TimePoint now);

    /// Creates the routing request for \a call, without pins and excluded engines.
    RoutingRequest routingRequest(const CallerRequest &call) const;

    /// See Router::choose(). Each choice must be followed by one call of finished().
    Result<Choice> choose(const RoutingRequest &request, TimePoint now)
    {
        return m_router.choose(request, now);
    }

    IneligibleCounts explain(const RoutingRequest &request) const
    {
        return m_router.countByReason(request);
    }

    /// Reports the end of a request that occupied \a engine for \a held.
    void finished(const BackendId &engine, Duration held, TimePoint now);

    /// Reports that the request was not sent to the chosen engine.
    void notSent(const BackendId &engine, TimePoint now) { m_router.recordFinished(engine, now); }

private:
    struct Engine
    {
        Backend backend;
        bool reachable = true;
        bool isCurrent = false; ///< Temporary mark of synchronize().
        std::uint64_t boots = 0;
        EngineLoad load;
        TimePoint loadAt;
        Duration meanHoldTime{0};
    };

    void update(const BackendDirectory &directory, const HostId &id,
                const BackendDirectory::Host &host, const BackendReport &report, TimePoint now);
    void updateLoad(Engine &engine, const BackendReport &report, TimePoint now);
    void updateCache(Engine &engine, const BackendReport &report, TimePoint now);

    std::map<ZoneId, RegionId> m_regions;
    Router m_router;
    std::map<BackendId, Engine> m_engines;
    /// Characters per block of the prefix cache of the engines that serve a model.
    std::map<ModelId, std::uint64_t> m_blockCharacters;
};

} // namespace godwit
