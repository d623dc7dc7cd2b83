#include "backenddirectory.h"

#include <algorithm>

namespace godwit {

namespace {

bool appliesTo(const LoadOrder &order, const DeploymentId &deployment, const ModelId &model,
               const AdapterId &adapter)
{
    return order.state != OrderState::Cancelled && order.deployment == deployment
           && order.model == model && order.adapter == adapter;
}

void addUnique(std::vector<VersionId> &versions, const VersionId &version)
{
    if (!version.empty() && std::ranges::find(versions, version) == versions.end())
        versions.push_back(version);
}

} // namespace

void BackendDirectory::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    if (m_configuration) {
        for (const auto &host : m_configuration->drained) {
            if (!configuration->drained.contains(host))
                m_drain.clearOperatorDrain(host);
        }
    }
    for (const auto &host : configuration->drained)
        m_drain.markLeaving(host, DrainState::Source::OperatorDrain, {}, MonotonicClock::now());
    m_configuration = std::move(configuration);
}

void BackendDirectory::setHost(const HostId &id, const Endpoint &endpoint, const ZoneId &zone,
                               bool usable, bool subscribed)
{
    Host &host = m_hosts[id];
    host.endpoint = endpoint;
    host.zone = zone;
    host.usable = usable;
    host.subscribed = subscribed;
    // The host may return with a new process, which refuses attempts addressed to the old one.
    if (!usable || !subscribed)
        clearReport(id);
    if (!subscribed)
        host.backends.clear();
}

void BackendDirectory::clearReport(const HostId &id)
{
    if (Host *host = find(id)) {
        host->hasReport = false;
        // The new process has a smaller incarnation if the wall clock of its machine is behind.
        host->incarnation = {};
        host->clock = {};
    }
}

BackendDirectory::Host *BackendDirectory::find(const HostId &id)
{
    const auto it = m_hosts.find(id);
    return it == m_hosts.end() ? nullptr : &it->second;
}

bool BackendDirectory::applyReport(const HostReport &report, TimePoint now)
{
    Host *host = find(report.host);
    if (!host || !host->subscribed || report.incarnation < host->incarnation)
        return false;
    host->incarnation = report.incarnation;
    host->hasReport = true;
    host->clock.recordMessage(report.incarnation, TimePoint(Duration(report.clock)), now);
    if (report.leaving)
        m_drain.markLeaving(report.host, DrainState::Source::Gossip, report.incarnation, now);
    else
        m_drain.recordProcess(report.host, report.incarnation);
    for (const auto &[deployment, document] : report.slots) {
        if (!document.slots.empty() && document.slots.size() <= SlotDocument::MaxSlots)
            m_slotRouters[deployment].update(document);
    }
    for (auto &[deployment, router] : m_slotRouters)
        router.markResponsive(report.host);
    host->backends.clear();
    for (const auto &backend : report.backends)
        host->backends[backend.backend] = backend;
    return true;
}

std::vector<VersionId> BackendDirectory::allowedVersions(const DeploymentId &deployment,
                                                         const ModelId &model,
                                                         const AdapterId &adapter) const
{
    std::vector<VersionId> versions;
    if (!m_configuration)
        return versions;
    for (const auto &[id, order] : m_configuration->orders) {
        if (!appliesTo(order, deployment, model, adapter))
            continue;
        addUnique(versions, order.version);
        addUnique(versions, order.previousVersion);
    }
    return versions;
}

std::vector<BackendDirectory::Target>
BackendDirectory::eligibleEngines(const DeploymentId &deployment, const ModelId &model,
                                  const AdapterId &adapter) const
{
    std::vector<Target> targets;
    const auto allowed = allowedVersions(deployment, model, adapter);
    for (const auto &[id, host] : m_hosts) {
        if (!mayReceive(id, host))
            continue;
        for (const auto &[backend, report] : host.backends) {
            if (report.plain || !report.up
                || !isAllowed(m_configuration->deployments.at(deployment), id, backend))
                continue;
            for (const auto &pin : report.loaded) {
                const bool fits = pin.model == model && pin.adapter == adapter
                                  && std::ranges::find(allowed, pin.version) != allowed.end();
                if (fits)
                    targets.push_back({id, backend, pin});
            }
        }
    }
    return targets;
}

std::vector<BackendDirectory::Target>
BackendDirectory::eligibleServices(const DeploymentId &deployment) const
{
    std::vector<Target> targets;
    for (const auto &[id, host] : m_hosts) {
        if (!mayReceive(id, host))
            continue;
        for (const auto &[backend, report] : host.backends) {
            if (report.plain && report.up && report.deployment == deployment)
                targets.push_back({id, backend, {}});
        }
    }
    return targets;
}

bool BackendDirectory::mayReceive(const HostId &id, const Host &host) const
{
    return host.usable && host.hasReport && m_drain.acceptsRequests(id);
}

} // namespace godwit
