#include "fleetindex.h"

#include <godwit/control/desiredengine.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace godwit {

namespace {

constexpr std::int64_t EndOfYear9999 = 253'402'300'800'000; // ms since 1970

} // namespace

FleetIndex::FleetIndex(const FleetView &view)
    : m_view(view)
{
    for (const MemberView &member : view.members)
        m_members.emplace(member.member.host, &member);
    for (const BackendView &backend : view.backends)
        m_backends[backend.host].push_back(&backend);
}

const MemberView *FleetIndex::member(const HostId &host) const
{
    const auto it = m_members.find(host);
    return it == m_members.end() ? nullptr : it->second;
}

ZoneId FleetIndex::zone(const HostId &host) const
{
    const MemberView *found = member(host);
    return found ? found->member.zone : ZoneId();
}

RegionId FleetIndex::region(const HostId &host) const
{
    const MemberView *found = member(host);
    return found ? found->region : RegionId();
}

const std::vector<const BackendView *> &FleetIndex::backends(const HostId &host) const
{
    static const std::vector<const BackendView *> none;
    const auto it = m_backends.find(host);
    return it == m_backends.end() ? none : it->second;
}

const BackendView *FleetIndex::backend(const BackendId &id) const
{
    const auto it = std::ranges::find(m_view.backends, id, &BackendView::backend);
    return it == m_view.backends.end() ? nullptr : &*it;
}

std::vector<const BackendView *> FleetIndex::engines(const HostId &host,
                                                     const DeploymentId &deployment) const
{
    std::vector<const BackendView *> engines;
    const auto it = configuration().deployments.find(deployment);
    if (it == configuration().deployments.end())
        return engines;
    for (const BackendView *backend : backends(host)) {
        if (backend->service.empty() && isAllowed(it->second, host, backend->backend))
            engines.push_back(backend);
    }
    return engines;
}

bool FleetIndex::isReady(const HostId &host, const LoadOrder &order, const VersionId &version) const
{
    const auto candidates = engines(host, order.deployment);
    return !candidates.empty() && std::ranges::all_of(candidates, [&](const BackendView *backend) {
        return serves(*backend, order, version);
    });
}

DeploymentId FleetIndex::deploymentOf(const LoadView &load) const
{
    const auto model = configuration().models.find(load.load.model);
    return model == configuration().models.end() ? DeploymentId() : model->second.deployment;
}

OperationId FleetIndex::orderOf(const HostId &host, const LoadView &load) const
{
    for (const auto &[id, order] : configuration().orders) {
        if (order.model == load.load.model && order.adapter == load.load.adapter
            && wantedVersion(order, host))
            return id;
    }
    return {};
}

std::optional<VersionId> wantedVersion(const LoadOrder &order, const HostId &host)
{
    const auto it = std::ranges::find(order.hosts, host);
    if (order.state == OrderState::Cancelled || it == order.hosts.end())
        return std::nullopt;
    return versionAt(order, static_cast<std::size_t>(it - order.hosts.begin()));
}

const LoadView *findLoad(const BackendView &backend, const LoadOrder &order,
                         const VersionId &version)
{
    const LoadedModel wanted{order.model, order.adapter, version};
    const auto it = std::ranges::find(backend.loads, wanted, &LoadView::load);
    return it == backend.loads.end() ? nullptr : &*it;
}

bool serves(const BackendView &backend, const LoadOrder &order, const VersionId &version)
{
    const LoadView *load = findLoad(backend, order, version);
    return load && load->state == LoadState::Serving && backend.state == BackendState::Up;
}

std::string utcTime(std::int64_t millisecondsSince1970)
{
    if (millisecondsSince1970 < 0 || millisecondsSince1970 >= EndOfYear9999)
        return std::to_string(millisecondsSince1970);
    const std::chrono::sys_seconds time(std::chrono::seconds(millisecondsSince1970 / 1000));
    const auto day = std::chrono::floor<std::chrono::days>(time);
    const std::chrono::year_month_day date(day);
    const std::chrono::hh_mm_ss clock(time - day);
    std::array<char, 80> buf{};
    std::snprintf(buf.data(), buf.size(), "%04d-%02u-%02uT%02d:%02d:%02dZ", int(date.year()),
                  unsigned(date.month()), unsigned(date.day()), int(clock.hours().count()),
                  int(clock.minutes().count()), int(clock.seconds().count()));
    return buf.data();
}

} // namespace godwit
