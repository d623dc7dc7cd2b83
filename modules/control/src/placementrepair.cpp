#include <godwit/base/rendezvous.h>
#include <godwit/control/placementrepair.h>

#include <algorithm>

namespace godwit {

PlacementRepair::PlacementRepair(HostId self, Settings settings, Random random)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(random)
{}

void PlacementRepair::onConfiguration(TimePoint now,
                                      std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    std::map<HostId, TimePoint> missing;
    for (const auto &[id, order] : m_configuration->orders) {
        for (const HostId &host : order.hosts) {
            if (m_liveHosts.contains(host))
                continue;
            const auto known = m_missingSince.find(host);
            missing.emplace(host, known == m_missingSince.end() ? now : known->second);
        }
    }
    m_missingSince = std::move(missing);
    std::erase_if(m_retryAfter, [now](const auto &retry) { return now >= retry.second; });
    std::erase_if(m_steps, [&](const auto &step) {
        const auto it = m_configuration->orders.find(step.first);
        return it == m_configuration->orders.end() || it->second.state != OrderState::Rolling;
    });
}

void PlacementRepair::onMembers(TimePoint now, std::vector<HostLocation> entries,
                                const std::vector<HostLocation> &hosts)
{
    m_entryProcesses.clear();
    for (const HostLocation &entry : entries)
        m_entryProcesses.push_back(entry.host.value());
    m_liveHosts.clear();
    for (const HostLocation &host : hosts) {
        m_liveHosts.insert(host.host);
        m_missingSince.erase(host.host);
    }
    if (m_configuration)
        onConfiguration(now, m_configuration);
}

void PlacementRepair::onHostReport(const HostId &host, std::set<LoadedModel> serving,
                                   std::set<LoadedModel> failed)
{
    m_reports[host] = {std::move(serving), std::move(failed)};
}

std::set<HostId> PlacementRepair::observedHosts() const
{
    std::set<HostId> hosts;
    if (!m_configuration)
        return hosts;
    for (const auto &[id, order] : m_configuration->orders) {
        if (order.state == OrderState::Rolling && isResponsibleFor(id))
            hosts.insert(order.hosts.begin(), order.hosts.end());
    }
    return hosts;
}

bool PlacementRepair::isResponsibleFor(const OperationId &order) const
{
    const auto top = rendezvousTop("placement/" + order.value(), m_entryProcesses, 1);
    return !top.empty() && top.front() == m_self.value();
}

bool PlacementRepair::isLost(TimePoint now, const HostId &host) const
{
    if (m_configuration->drained.contains(host))
        return true;
    const auto it = m_missingSince.find(host);
    return it != m_missingSince.end() && now - it->second >= m_settings.repairDelay;
}

PlacementRepair::Submission PlacementRepair::submit(TimePoint now, Command command)
{
    m_nextCommand =
            now + m_settings.commandInterval
            + Duration(static_cast<std::int64_t>(m_random.below(
                    static_cast<std::uint64_t>(m_settings.commandInterval.count()) / 2 + 1)));
    const std::uint64_t suffix = stableHash(m_self.value(), m_random());
    return {OperationId("repair-" + std::to_string(suffix) + '-'
                        + std::to_string(++m_commandCount)),
            std::move(command)};
}

std::vector<PlacementRepair::Submission> PlacementRepair::onTimer(TimePoint now, bool safe)
{
    if (!safe || !m_configuration || now < m_nextCommand)
        return {};
    for (const auto &[id, order] : m_configuration->orders) {
        if (order.state == OrderState::Cancelled || !isResponsibleFor(id))
            continue;
        auto commands = repair(now, id, order);
        if (commands.empty() && order.state == OrderState::Rolling)
            commands = step(now, id, order);
        if (!commands.empty())
            return commands;
    }
    return {};
}

std::vector<PlacementRepair::Submission>
PlacementRepair::repair(TimePoint now, const OperationId &id, const LoadOrder &order)
{
    const auto lost = std::ranges::count_if(
            order.hosts, [&](const HostId &host) { return m_missingSince.contains(host); });
    const double limit = m_settings.maxLostShare * static_cast<double>(order.hosts.size());
    if (static_cast<double>(lost) > std::max(1.0, limit))
        return {};
    for (const HostId &host : order.hosts) {
        const auto retry = m_retryAfter.find({id, host});
        if (!isLost(now, host) || (retry != m_retryAfter.end() && now < retry->second))
            continue;
        m_retryAfter[{id, host}] = now + m_settings.retryDelay;
        return {submit(now, RepairPlacement{id, host})};
    }
    return {};
}

std::vector<PlacementRepair::Submission> PlacementRepair::step(TimePoint now, const OperationId &id,
                                                               const LoadOrder &order)
{
    Step &current = m_steps[id];
    if (current.steppedHosts != order.steppedHosts || current.version != order.version)
        current = {order.steppedHosts, order.version, now};
    const bool timedOut = now - current.since >= m_settings.stepTimeout;
    const LoadedModel target{order.model, order.adapter, order.version};
    std::uint32_t errors = 0;
    std::uint32_t unfinished = 0;
    for (std::size_t i = 0; i < order.steppedHosts; ++i) {
        const auto report = m_reports.find(order.hosts[i]);
        const bool known = report != m_reports.end();
        if (known && report->second.serving.contains(target))
            continue;
        const bool loadFailed = known && report->second.failed.contains(target);
        errors += loadFailed || timedOut ? 1 : 0;
        unfinished += loadFailed || timedOut ? 0 : 1;
    }
    // More errors than the limit stop the change without waiting for the rest of the step.
    if (unfinished > 0 && errors <= order.errorLimit)
        return {};
    const std::uint32_t newErrors = errors > order.errors ? errors - order.errors : 0;
    return {submit(now, StepOrder{id, order.steppedHosts, newErrors})};
}

} // namespace godwit
