#pragma once

#include "backenddirectory.h"
#include "callerrequest.h"

#include <godwit/routing/router.h>

#include <map>
#include <string>
#include <vector>

namespace godwit {

/// Server selection for model requests on one traffic thread: feeds the Router from the directory
/// and the reports, and asks it. Holds no policy of its own.
class EngineSelector
{
public:
    /// \a settings name a strategy that Router::create() knows, which their parser has checked.
    EngineSelector(const DaemonSettings &settings, Random random);

    /// Passes changes of hosts, their engines and the configuration on to the Router.
    void synchronize(const BackendDirectory &directory, TimePoint now);

    /// Takes load and cache events of the engines over. Must follow synchronize() with the report.
    void report(const HostReport &report, TimePoint now);

    /// What the Router needs to know of \a call, without pins and excluded servers.
    RoutingRequest request(const CallerRequest &call) const;

    /// See Router::choose(). Each choice must be followed by one call of finished().
    Result<Choice> choose(const RoutingRequest &request, TimePoint now)
    {
        return m_router.choose(request, now);
    }

    IneligibleCounts explain(const RoutingRequest &request) const
    {
        return m_router.countByReason(request);
    }

    /// A request ended that occupied \a engine for \a held.
    void finished(const BackendId &engine, Duration held, TimePoint now);

    /// A chosen request was not sent after all.
    void notSent(const BackendId &engine, TimePoint now) { m_router.recordFinished(engine, now); }

private:
    struct Engine
    {
        Backend backend;
        bool reachable = true;
        bool isCurrent = false; ///< Scratch memory of synchronize().
        std::uint64_t boots = 0;
        EngineLoad load;
        TimePoint loadAt;
        Duration meanHold{0};
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
