#include "subscriptionplan.h"

#include <godwit/base/rendezvous.h>

#include <algorithm>

namespace godwit {

namespace {

// Maximum delay until the end of a period takes effect.
constexpr Duration RefreshInterval = std::chrono::seconds(1);
// A report that precedes a query by at most this time counts as an answer to it; hosts report every
// 500 ms.
constexpr Duration MaxReportAge = std::chrono::milliseconds(700);

bool isServing(const Configuration &configuration, const LoadOrder &order)
{
    return order.state != OrderState::Cancelled
           && configuration.deployments.contains(order.deployment);
}

} // namespace

SubscriptionPlan::SubscriptionPlan(HostId self, std::size_t subsetSize)
    : m_self(std::move(self))
    , m_subsetSize(std::max<std::size_t>(1, subsetSize))
{}

void SubscriptionPlan::setConfiguration(std::shared_ptr<const Configuration> configuration)
{
    m_configuration = std::move(configuration);
    m_dirty = true;
}

void SubscriptionPlan::setHosts(std::vector<Host> hosts)
{
    std::map<HostId, Host> known;
    for (Host &host : hosts) {
        HostId id = host.id;
        known.emplace(std::move(id), std::move(host));
    }
    if (known == m_hosts)
        return;
    m_hosts = std::move(known);
    std::erase_if(m_inventories, [&](const auto &it) { return !m_hosts.contains(it.first); });
    std::erase_if(m_discoveries, [&](const auto &it) { return !m_hosts.contains(it.first); });
    m_dirty = true;
}

void SubscriptionPlan::setEntries(std::vector<HostId> entries)
{
    if (entries == m_entries)
        return;
    m_entries = std::move(entries);
    m_dirty = true;
}

void SubscriptionPlan::setSupervised(std::set<HostId> hosts)
{
    if (hosts == m_supervised)
        return;
    m_supervised = std::move(hosts);
    m_dirty = true;
}

void SubscriptionPlan::onReport(const HostReport &report, TimePoint now)
{
    Inventory inventory;
    inventory.incarnation = report.incarnation;
    inventory.leaving = report.leaving;
    for (const auto &backend : report.backends) {
        if (backend.plain)
            inventory.services.insert(backend.deployment);
        else
            ++inventory.engines;
    }
    for (const auto &[deployment, document] : report.slots) {
        std::set<HostId> hosts;
        for (const SlotEntry &slot : document.slots) {
            hosts.insert(slot.journal.host);
            hosts.insert(slot.successors.begin(), slot.successors.end());
        }
        auto &known = m_slotHosts[deployment];
        m_dirty = m_dirty || known != hosts;
        known = std::move(hosts);
    }
    auto &known = m_inventories[report.host];
    inventory.reportedAt = known.reportedAt;
    m_dirty = m_dirty || known != inventory;
    known = std::move(inventory);
    known.reportedAt = now;
    m_discoveries.erase(report.host);
}

void SubscriptionPlan::onEnginesNeeded(const EngineGroup &group, TimePoint now)
{
    const auto it = m_groups.find(group);
    if (it == m_groups.end())
        return;
    it->second.extraHostsUntil = now + ExtraHostsRetention;
    if (now < it->second.nextExtraHosts)
        return;
    it->second.nextExtraHosts = now + ExtraHostsInterval;
    if (it->second.extraHosts >= MaxExtraHosts)
        it->second.firstExtraHost += MaxExtraHosts;
    it->second.extraHosts = std::min(it->second.extraHosts + it->second.size, MaxExtraHosts);
    m_dirty = true;
}

void SubscriptionPlan::onOperatorQuery(TimePoint now)
{
    m_lastQueryAt = now;
    m_dirty = m_dirty || now >= m_querySubscriptionEnd;
    m_querySubscriptionEnd = now + QuerySubscriptionPeriod;
}

bool SubscriptionPlan::isComplete() const
{
    return std::ranges::all_of(m_hosts, [this](const auto &it) {
        const auto inventory = m_inventories.find(it.first);
        return !it.second.usable
               || (inventory != m_inventories.end()
                   && inventory->second.reportedAt >= m_lastQueryAt - MaxReportAge);
    });
}

const std::set<HostId> &SubscriptionPlan::subscriptions(TimePoint now)
{
    if (m_dirty || now >= m_nextRefresh)
        refresh(now);
    return m_subscriptions;
}

void SubscriptionPlan::refresh(TimePoint now)
{
    m_dirty = false;
    m_nextRefresh = now + RefreshInterval;
    m_subscriptions.clear();
    if (now < m_querySubscriptionEnd) {
        for (const auto &[id, host] : m_hosts)
            m_subscriptions.insert(id);
    }
    for (const HostId &host : m_supervised)
        m_subscriptions.insert(host);
    if (m_configuration) {
        collectCandidates();
        for (auto &[id, group] : m_groups) {
            if (now >= group.extraHostsUntil)
                group.extraHosts = group.firstExtraHost = 0;
            addGroup(group);
        }
        addServices();
    }
    std::erase_if(m_subscriptions, [this](const HostId &host) { return !m_hosts.contains(host); });
    addDiscoveries(now);
}

void SubscriptionPlan::collectCandidates()
{
    for (auto &[id, group] : m_groups)
        group.candidates.clear();
    for (const auto &[operation, order] : m_configuration->orders) {
        if (!isServing(*m_configuration, order))
            continue;
        auto &candidates = m_groups[{order.deployment, order.model, order.adapter}].candidates;
        for (const HostId &host : order.hosts) {
            const auto known = m_hosts.find(host);
            const auto inventory = m_inventories.find(host);
            const bool isLeaving = inventory != m_inventories.end() && inventory->second.leaving
                                   && known != m_hosts.end()
                                   && inventory->second.incarnation == known->second.incarnation;
            if (known != m_hosts.end() && known->second.usable && !isLeaving
                && !m_configuration->drained.contains(host))
                candidates.insert(host);
        }
    }
    std::erase_if(m_groups, [](const auto &it) { return it.second.candidates.empty(); });
}

void SubscriptionPlan::addGroup(Group &group)
{
    const std::size_t size = subsetHostCount(group.candidates);
    if (!group.subset || group.size != size) {
        group.size = size;
        group.subset = std::make_unique<Subset>(m_self, size);
        group.added.clear();
    }
    for (const HostId &host : group.added) {
        if (!group.candidates.contains(host))
            group.subset->remove(BackendId(host.value()));
    }
    for (const HostId &host : group.candidates) {
        if (!group.added.contains(host))
            group.subset->add(BackendId(host.value()));
    }
    group.added = group.candidates;
    group.subset->setEntries(m_entries);
    auto members = group.subset->members();
    // With few entry processes, more hosts select this process than it can observe.
    if (members.size() > 2 * size)
        members.resize(2 * size);
    for (const BackendId &member : members)
        m_subscriptions.insert(HostId(member.value()));
    if (group.extraHosts > 0)
        addExtraHosts(group, members);
}

void SubscriptionPlan::addExtraHosts(const Group &group, const std::vector<BackendId> &members)
{
    std::set<HostId> rest = group.candidates;
    for (const BackendId &member : members)
        rest.erase(HostId(member.value()));
    std::vector<std::string> names;
    names.reserve(rest.size());
    for (const HostId &host : rest)
        names.push_back(host.value());
    const auto ranked = rendezvousTop(m_self.value(), names, names.size());
    for (std::size_t i = 0; i < std::min(group.extraHosts, ranked.size()); ++i)
        m_subscriptions.insert(HostId(ranked[(group.firstExtraHost + i) % ranked.size()]));
}

void SubscriptionPlan::addServices()
{
    const auto isService = [this](const DeploymentId &id) {
        const auto it = m_configuration->deployments.find(id);
        return it != m_configuration->deployments.end()
               && it->second.options.kind == DeploymentKind::Service;
    };
    for (const auto &[id, deployment] : m_configuration->deployments) {
        if (deployment.options.kind == DeploymentKind::Service)
            m_subscriptions.insert(deployment.allowedHosts.begin(), deployment.allowedHosts.end());
    }
    for (const auto &[deployment, hosts] : m_slotHosts) {
        if (isService(deployment))
            m_subscriptions.insert(hosts.begin(), hosts.end());
    }
    for (const auto &[host, inventory] : m_inventories) {
        if (std::ranges::any_of(inventory.services, isService))
            m_subscriptions.insert(host);
    }
}

void SubscriptionPlan::addDiscoveries(TimePoint now)
{
    std::size_t active = 0;
    std::erase_if(m_discoveries,
                  [&](const auto &it) { return now - it.second >= DiscoveryRetryInterval; });
    for (const auto &[host, startedAt] : m_discoveries) {
        if (now - startedAt >= DiscoveryTimeout)
            continue;
        ++active;
        m_subscriptions.insert(host);
    }
    std::vector<std::string> names;
    for (const auto &[id, host] : m_hosts) {
        // A host that stopped responding becomes usable only when traffic from it is received.
        const bool needsDiscovery = !host.usable || !isDiscovered(host);
        if (needsDiscovery && !m_subscriptions.contains(id) && !m_discoveries.contains(id))
            names.push_back(id.value());
    }
    if (names.empty() || active >= MaxDiscoveries)
        return;
    // Each entry process starts with different hosts, so that no host gets subscriptions from all
    // of them at once.
    for (const std::string &name : rendezvousTop(m_self.value(), names, MaxDiscoveries - active)) {
        m_discoveries[HostId(name)] = now;
        m_subscriptions.insert(HostId(name));
    }
}

std::size_t SubscriptionPlan::subsetHostCount(const std::set<HostId> &candidates) const
{
    std::size_t hosts = 0;
    std::size_t engines = 0;
    for (const HostId &host : candidates) {
        const auto it = m_inventories.find(host);
        if (it == m_inventories.end())
            continue;
        ++hosts;
        engines += std::max<std::size_t>(1, it->second.engines);
    }
    if (hosts == 0)
        return std::min(std::max(m_subsetSize, MinHosts), Subset::MaxSize);
    const std::size_t needed = (m_subsetSize * hosts + engines - 1) / engines;
    return std::clamp(needed, std::min(MinHosts, m_subsetSize), Subset::MaxSize);
}

bool SubscriptionPlan::isDiscovered(const Host &host) const
{
    const auto it = m_inventories.find(host.id);
    return it != m_inventories.end() && it->second.incarnation >= host.incarnation;
}

} // namespace godwit
