#include "entrycore.h"

namespace godwit {

namespace {

constexpr Duration HostPublishInterval = std::chrono::milliseconds(200);

} // namespace

EntryCore::EntryCore(const DaemonSettings &settings, ControlIo &io, const RefusalLog &refusals,
                     MetricsRegistry &metrics, Outputs outputs)
    : m_metrics(metrics)
    , m_io(io)
    , m_outputs(std::move(outputs))
    , m_cluster(
              settings, io,
              {[this](const std::shared_ptr<const Configuration> &it) { configurationChanged(it); },
               [this](const Member &, bool) { m_nextHostPublish = {}; }})
    , m_operatorService(settings, io, m_cluster, refusals,
                        {[this] { m_plan.onOperatorQuery(MonotonicClock::now()); },
                         [this] { return m_plan.isComplete(); }})
    , m_repair(settings.host, {}, Random(m_cluster.membership().self().incarnation.value))
    , m_plan(settings.host, settings.routing.subsetSize)
{}

void EntryCore::handle(TimerTick)
{
    const TimePoint now = MonotonicClock::now();
    if (!std::exchange(m_started, true))
        m_cluster.start(now);
    m_cluster.tick(now);
    m_operatorService.tick(now);
    repair(now);
    if (now >= m_nextHostPublish || m_plan.subscriptions(now) != m_subscribed)
        publishHosts(now);
}

void EntryCore::handle(GossipArrived event)
{
    m_cluster.handle(std::move(event), MonotonicClock::now());
}

void EntryCore::handle(ConfigurationPushArrived event)
{
    m_cluster.handle(event, MonotonicClock::now());
}

void EntryCore::handle(ConfigurationPullArrived event)
{
    m_cluster.handle(event, MonotonicClock::now());
}

void EntryCore::handle(HostReportArrived event)
{
    const auto &report = event.report;
    m_cluster.recordTraffic(report.host, TrafficEvidence::Heard, MonotonicClock::now());
    std::set<LoadedModel> serving;
    std::set<LoadedModel> failed;
    for (const auto &backend : report.backends) {
        for (const auto &pin : backend.loaded)
            serving.insert({pin.model, pin.adapter, pin.version});
        if (!backend.problem.empty() && backend.loaded.empty())
            failed.insert({backend.target.model, backend.target.adapter, backend.target.version});
    }
    m_repair.onHostReport(report.host, std::move(serving), std::move(failed));
    m_operatorService.onReport(report);
    m_plan.onReport(report, MonotonicClock::now());
}

void EntryCore::handle(HostStreamEnded event)
{
    m_cluster.recordTraffic(event.host, TrafficEvidence::Silent, MonotonicClock::now());
    m_nextHostPublish = {};
}

void EntryCore::handle(OperatorRequestArrived event)
{
    m_operatorService.handle(event.body, std::move(event.reply));
}

void EntryCore::handle(EnginesNeeded event)
{
    m_plan.onEnginesNeeded(event.group, MonotonicClock::now());
}

void EntryCore::handle(PoisonFound event)
{
    const std::string text = toJsonText(event.records);
    for (const auto &member : m_cluster.membership().live(ProcessRole::Entry)) {
        const auto endpoint = m_cluster.endpointOf(member.host);
        if (endpoint && member.host != m_cluster.membership().self().host)
            m_io.callOneWay(*endpoint, "/poison", text);
    }
}

void EntryCore::handle(ShutdownRequested)
{
    m_cluster.leave(MonotonicClock::now());
}

void EntryCore::configurationChanged(const std::shared_ptr<const Configuration> &configuration)
{
    m_metrics.gauge("godwit_configuration_revision", "Revision in effect.")
            .set(static_cast<double>(configuration->revision.value));
    m_repair.onConfiguration(MonotonicClock::now(), configuration);
    m_plan.setConfiguration(configuration);
    m_outputs.publishConfiguration(configuration);
}

void EntryCore::publishHosts(TimePoint now)
{
    m_nextHostPublish = now + HostPublishInterval;
    updatePlan();
    m_subscribed = m_plan.subscriptions(now);
    std::vector<HostUpdate> hostUpdates;
    const Membership &membership = m_cluster.membership();
    for (const Member &member : membership.all()) {
        const auto endpoint = parsePeerAddress(member.address);
        if (member.role != ProcessRole::Host || !endpoint)
            continue;
        const bool isUsable = membership.isUsable(now, member.host);
        hostUpdates.push_back({member.host, *endpoint, member.zone, isUsable,
                               m_subscribed.contains(member.host),
                               member.status != MemberStatus::Dead});
        if (member.status == MemberStatus::Dead)
            m_operatorService.removeHost(member.host);
    }
    m_metrics.gauge("godwit_members_known", "Members of the membership view.")
            .set(static_cast<double>(membership.known()));
    m_outputs.publishHosts(std::move(hostUpdates));
}

void EntryCore::updatePlan()
{
    const TimePoint now = MonotonicClock::now();
    const Membership &membership = m_cluster.membership();
    std::vector<SubscriptionPlan::Host> hosts;
    for (const Member &member : membership.all()) {
        if (member.role == ProcessRole::Host && member.status != MemberStatus::Dead)
            hosts.push_back(
                    {member.host, member.incarnation, membership.isUsable(now, member.host)});
    }
    m_plan.setHosts(std::move(hosts));
    std::vector<HostId> entries;
    for (const HostLocation &entry : membership.live(ProcessRole::Entry))
        entries.push_back(entry.host);
    m_plan.setEntries(std::move(entries));
    m_plan.setSupervised(m_repair.observedHosts());
}

void EntryCore::repair(TimePoint now)
{
    const Membership &membership = m_cluster.membership();
    m_repair.onMembers(now, membership.live(ProcessRole::Entry),
                       membership.live(ProcessRole::Host));
    const bool isSafe =
            m_cluster.dissemination().staleness(now).isSafe(ControlAction::RepairPlacement);
    for (const auto &submit : m_repair.onTimer(now, isSafe))
        m_operatorService.submit(submit.operation, submit.command);
}

} // namespace godwit
