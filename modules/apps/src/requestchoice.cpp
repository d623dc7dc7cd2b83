// RequestService: selects the backend server for a request, and reports missing engines if none is
// eligible.
#include "requeststate.h"

#include <algorithm>

namespace godwit {

namespace {

// Every waiting request looks for engines at each change; the control thread is notified at most
// once per engine group in this interval.
constexpr Duration EnginesNeededInterval = std::chrono::milliseconds(200);

} // namespace

bool RequestService::hasCapacity(const DeploymentId &deployment) const
{
    for (const auto &[id, host] : m_directory.hosts()) {
        for (const auto &[backend, report] : host.backends) {
            const bool fits = !report.plain || report.deployment == deployment;
            if (fits && report.up && m_limiter.inUse(backend) < m_limiter.limit(backend))
                return true;
        }
    }
    return false;
}

std::optional<BackendDirectory::Target> RequestService::choose(Request &request, TimePoint now)
{
    const auto &call = request.call;
    if (!request.atMostOnce)
        return call.isPlain ? chooseService(request, now) : chooseEngine(request, now);
    auto targets = call.isPlain
                           ? m_directory.eligibleServices(call.deployment)
                           : m_directory.eligibleEngines(call.deployment, call.model, call.adapter);
    const auto owner = m_directory.slotRouter(call.deployment).selectHost(call.key, now);
    std::erase_if(targets, [&](const BackendDirectory::Target &target) {
        return !owner || target.host != *owner;
    });
    if (targets.empty())
        return std::nullopt;
    return targets.front();
}

std::optional<BackendDirectory::Target> RequestService::chooseService(const Request &request,
                                                                      TimePoint now)
{
    auto targets = m_directory.eligibleServices(request.call.deployment);
    std::erase_if(targets, [&](const BackendDirectory::Target &target) {
        return m_limiter.inUse(target.backend) >= m_limiter.limit(target.backend)
               || m_poisonDetector.decide(request.call.content, target.backend, now)
                          == PoisonDetector::Decision::Wait;
    });
    std::vector<BackendDirectory::Target> untried;
    std::ranges::copy_if(targets, std::back_inserter(untried), [&](const auto &it) {
        return !request.triedBackends.contains(it.backend);
    });
    const auto &candidates = untried.empty() ? targets : untried;
    if (candidates.empty())
        return std::nullopt;
    return *std::ranges::min_element(candidates, {}, [&](const BackendDirectory::Target &target) {
        return m_limiter.inUse(target.backend);
    });
}

std::optional<BackendDirectory::Target> RequestService::chooseEngine(Request &request,
                                                                     TimePoint now)
{
    prepareRouting(request, now);
    auto &routing = request.routing;
    const std::size_t excludedCount = routing.excluded.size();
    routing.excluded.insert(routing.excluded.end(), request.triedBackends.begin(),
                            request.triedBackends.end());
    auto choice = capture([&] { return m_selector.choose(routing, now); });
    routing.excluded.resize(excludedCount);
    if (!succeeded(choice) && !request.triedBackends.empty())
        choice = capture([&] { return m_selector.choose(routing, now); });
    if (succeeded(choice)) {
        const auto &it = std::get<0>(choice);
        return BackendDirectory::Target{it.host, it.backend, it.pin};
    }
    // Engines at their concurrency limit, or withheld from a suspected poison request, become
    // available again.
    const auto counts = m_selector.explain(routing);
    if (counts[static_cast<std::size_t>(IneligibleReason::Excluded)] == 0)
        notifyEnginesNeeded({request.call.deployment, request.call.model, request.call.adapter},
                            now);
    return std::nullopt;
}

void RequestService::prepareRouting(Request &request, TimePoint now)
{
    const auto &call = request.call;
    auto &routing = request.routing;
    if (routing.deployment.empty())
        routing = m_selector.routingRequest(call);
    routing.pin = {call.model, call.adapter, {}};
    routing.alternatives.clear();
    if (request.tracker && request.tracker->position() > 0) {
        routing.pin = request.pin;
    } else {
        for (const auto &version :
             m_directory.allowedVersions(call.deployment, call.model, call.adapter))
            routing.alternatives.push_back({call.model, call.adapter, version});
    }
    routing.excluded.clear();
    for (const auto &[id, host] : m_directory.hosts()) {
        for (const auto &[backend, report] : host.backends) {
            const bool isFull = m_limiter.inUse(backend) >= m_limiter.limit(backend);
            if (!report.plain
                && (isFull
                    || m_poisonDetector.decide(call.content, backend, now)
                               == PoisonDetector::Decision::Wait))
                routing.excluded.push_back(backend);
        }
    }
}

std::string RequestService::ineligibleReasons(Request &request, TimePoint now)
{
    if (request.call.isPlain || request.atMostOnce)
        return {};
    prepareRouting(request, now);
    return "; ineligible engines: " + toString(m_selector.explain(request.routing));
}

void RequestService::reportNotSent(const Request &request, const BackendDirectory::Target &target,
                                   TimePoint now)
{
    if (!request.call.isPlain && !request.atMostOnce)
        m_selector.notSent(target.backend, now);
}

void RequestService::requestEnginesForQueued(TimePoint now)
{
    // Requests stay queued while no engine has capacity, so chooseEngine() would never report the
    // missing engines for them.
    for (const auto &[id, host] : m_directory.hosts()) {
        const bool hasEngine = std::ranges::any_of(
                host.backends, [](const auto &it) { return !it.second.plain && it.second.up; });
        if (hasEngine)
            return;
    }
    std::set<EngineGroup> groups;
    for (const auto &[id, request] : m_requests) {
        const auto &call = request->call;
        if (request->queued && !call.isPlain)
            groups.insert({call.deployment, call.model, call.adapter});
    }
    for (const auto &group : groups)
        notifyEnginesNeeded(group, now);
}

void RequestService::notifyEnginesNeeded(const EngineGroup &group, TimePoint now)
{
    // Callers may name any model; entries are kept only for models of load orders to bound memory.
    if (m_directory.allowedVersions(group.deployment, group.model, group.adapter).empty())
        return;
    auto &next = m_nextEnginesNeeded[group];
    if (now < next)
        return;
    next = now + EnginesNeededInterval;
    m_enginesNeeded(group);
}

} // namespace godwit
