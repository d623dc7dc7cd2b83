#include "clusteragent.h"

#include "storagereplies.h"

#include <godwit/base/rendezvous.h>
#include <godwit/observe/log.h>
#include <godwit/ports/calleffect.h>

#include <charconv>
#include <chrono>

namespace godwit {

namespace {

constexpr const char *ConfigurationKey = "/godwit/config";
constexpr Duration HostListInterval = std::chrono::seconds(2);
constexpr Duration WatchRetryInterval = std::chrono::seconds(1);
// A watch without events does not show that its connection still works. A read every 5 s verifies
// that the known document is still the newest.
constexpr Duration VerificationInterval = std::chrono::seconds(5);

Incarnation newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return {static_cast<std::uint64_t>(ms) * RefutationsPerProcess};
}

Member selfMember(const DaemonSettings &settings)
{
    Member self;
    self.host = settings.host;
    self.address = toString(Endpoint{settings.listen.address, settings.listen.peerPort});
    self.zone = settings.zone;
    self.role = settings.role == DaemonRole::Entry ? ProcessRole::Entry : ProcessRole::Host;
    self.incarnation = newIncarnation();
    return self;
}

std::uint64_t seedOf(const Member &self)
{
    return stableHash(self.host.value(), self.incarnation.value);
}

StorageStatus statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::CompareFailed:
        return StorageStatus::CompareFailed;
    case ResultCode::PlatformRefused:
        return StorageStatus::Refused;
    default:
        return mayHaveTakenEffect(code) ? StorageStatus::Timeout : StorageStatus::Unreachable;
    }
}

} // namespace

StorageReply storageReply(const Outcome<std::optional<KeyValueEntry>> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome))
        return {statusOf(error->code), 0, {}};
    const auto &entry = std::get<0>(outcome);
    if (!entry)
        return {StorageStatus::Success, 0, {}};
    return {StorageStatus::Success, entry->modified.value, entry->value};
}

StorageReply storageReply(const Outcome<StoreRevision> &outcome)
{
    if (const auto *error = std::get_if<Error>(&outcome))
        return {statusOf(error->code), 0, {}};
    return {StorageStatus::Success, std::get<0>(outcome).value, {}};
}

std::optional<Endpoint> parsePeerAddress(const std::string &address)
{
    const auto parsed = capture([&] { return parseHttpEndpoint(address); });
    if (!succeeded(parsed))
        return std::nullopt;
    const auto &endpoint = std::get<0>(parsed);
    return Endpoint{endpoint.address, endpoint.port};
}

ClusterAgent::ClusterAgent(const DaemonSettings &settings, ControlIo &io, Listener listener)
    : m_settings(settings)
    , m_io(io)
    , m_listener(std::move(listener))
    , m_membership(selfMember(settings), {}, Random(stableHash(settings.host.value())))
    , m_dissemination(settings.host, settings.zone, {}, Random(seedOf(m_membership.self())))
{}

void ClusterAgent::start(TimePoint now)
{
    std::vector<std::string> seeds;
    for (const auto &seed : m_settings.seeds)
        seeds.push_back(toString(seed));
    run(m_membership.start(now, seeds));
    membersChanged(now);
}

void ClusterAgent::tick(TimePoint now)
{
    if (now >= m_membership.nextTimer())
        run(m_membership.onTimer(now));
    if (m_membersDirty)
        membersChanged(now);
    if (const auto due = m_dissemination.nextTimer(); due && now >= *due)
        run(m_dissemination.onTimer(now));
    if (now >= m_nextHostList && !m_hostListPending)
        pollHostList(now);
    if (m_watching && !m_watchActive && now >= m_nextWatch)
        startWatch();
    if (m_watching && !m_readPending && now >= m_nextVerification)
        readDocument();
}

void ClusterAgent::handle(GossipArrived event, TimePoint now)
{
    run(m_membership.onMessage(now, event.message));
    run(m_dissemination.onGossip(now, event.message.self.host, event.message.configuration));
}

void ClusterAgent::handle(const ConfigurationPushArrived &event, TimePoint now)
{
    run(m_dissemination.onPush(now, event.from, event.push));
}

void ClusterAgent::handle(const ConfigurationPullArrived &event, TimePoint now)
{
    run(m_dissemination.onPull(now, event.from, event.pull));
}

void ClusterAgent::onConfigurationStored(std::shared_ptr<const Configuration> configuration,
                                         TimePoint now)
{
    run(m_dissemination.onStored(now, std::move(configuration)));
}

void ClusterAgent::recordTraffic(const HostId &host, TrafficEvidence evidence, TimePoint now)
{
    run(m_membership.onTraffic(now, host, evidence));
}

void ClusterAgent::leave(TimePoint now)
{
    run(m_membership.leave(now));
}

RegionId ClusterAgent::regionOf(const ZoneId &zone) const
{
    for (const auto &known : m_settings.zones) {
        if (known.id == zone)
            return known.region;
    }
    return zone == m_settings.zone ? m_settings.region : RegionId(zone.value());
}

std::optional<Endpoint> ClusterAgent::endpointOf(const HostId &host) const
{
    const Member *member = m_membership.find(host);
    return member ? parsePeerAddress(member->address) : std::nullopt;
}

void ClusterAgent::run(const std::vector<MembershipAction> &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &it) { execute(it); }, action);
}

void ClusterAgent::run(const std::vector<DisseminationAction> &actions)
{
    for (const auto &action : actions)
        std::visit([this](const auto &it) { execute(it); }, action);
}

void ClusterAgent::execute(const SendGossip &action)
{
    const auto endpoint = parsePeerAddress(action.address);
    if (!endpoint)
        return;
    GossipMessage message = action.message;
    message.configuration = m_dissemination.gossip(MonotonicClock::now());
    m_io.send(*endpoint, "/gossip", toJsonText(message));
}

void ClusterAgent::execute(const MemberChanged &action)
{
    m_membersDirty = true;
    logStateChange("member_changed", {{"member", toJson(action.member)}});
    m_listener.onMember(action.member, action.replaced);
}

void ClusterAgent::execute(const StartWatch &)
{
    m_watching = true;
    m_nextWatch = {};
    m_nextVerification = {};
    logStateChange("configuration_watch_started", {});
}

void ClusterAgent::execute(const StopWatch &)
{
    m_watching = false;
    m_watchActive = false;
    ++m_watchGeneration;
    if (m_watch)
        m_watch->cancel();
    m_watch.reset();
    logStateChange("configuration_watch_stopped", {});
}

void ClusterAgent::execute(const PublishConfiguration &action)
{
    logStateChange("configuration_applied", {{"revision", action.configuration->revision.value}});
    m_listener.onConfiguration(action.configuration);
}

void ClusterAgent::execute(const SendConfigurationPush &action)
{
    if (const auto endpoint = endpointOf(action.to))
        m_io.callOneWay(*endpoint, "/config/push", toJsonText(*action.message));
}

void ClusterAgent::execute(const SendConfigurationPull &action)
{
    if (const auto endpoint = endpointOf(action.to))
        m_io.callOneWay(*endpoint, "/config/pull", toJsonText(action.message));
}

void ClusterAgent::membersChanged(TimePoint now)
{
    m_membersDirty = false;
    run(m_dissemination.onMembers(now, m_membership.live(), m_membership.known()));
}

void ClusterAgent::pollHostList(TimePoint now)
{
    m_hostListPending = true;
    m_nextHostList = now + HostListInterval;
    auto done = m_io.controlCallback<Outcome<HostList>>([this](Outcome<HostList> outcome) {
        m_hostListPending = false;
        if (!succeeded(outcome))
            return;
        std::vector<HostListing> list;
        for (const auto &host : std::get<0>(outcome).hosts) {
            // All processes of a fleet use the same peer port; the list names only machines.
            const Endpoint endpoint{host.address, m_settings.listen.peerPort};
            list.push_back(
                    {host.host, toString(endpoint), host.zone, host.state == HostState::Leaving});
        }
        run(m_membership.onHostList(MonotonicClock::now(), list));
    });
    m_io.post([&io = m_io, done] { io.hostList().fetch(done); });
}

void ClusterAgent::startWatch()
{
    m_watchActive = true;
    const auto generation = ++m_watchGeneration;
    auto changed = m_io.controlCallback<int>([this, generation](int) {
        if (generation == m_watchGeneration)
            readDocument();
    });
    auto ended = m_io.controlCallback<Outcome<Done>>([this, generation](Outcome<Done>) {
        if (generation == m_watchGeneration)
            watchEnded();
    });
    auto started = m_io.controlCallback<std::shared_ptr<CallHandle>>(
            [this, generation](std::shared_ptr<CallHandle> handle) {
                if (generation == m_watchGeneration)
                    m_watch = std::move(handle);
                else
                    handle->cancel();
            });
    m_io.post([&io = m_io, changed, ended, started] {
        WatchHandlers handlers;
        handlers.onStarted = [changed](StoreRevision) { changed(0); };
        handlers.onEvents = [changed](const std::vector<WatchEvent> &) { changed(0); };
        handlers.onEnd = ended;
        started(io.keyValue().watch(ConfigurationKey, {}, std::move(handlers)));
    });
}

void ClusterAgent::watchEnded()
{
    m_watchActive = false;
    m_watch.reset();
    m_nextWatch = MonotonicClock::now() + WatchRetryInterval;
}

void ClusterAgent::readDocument()
{
    m_readPending = true;
    m_nextVerification = MonotonicClock::now() + VerificationInterval;
    auto done = m_io.controlCallback<Outcome<std::optional<KeyValueEntry>>>(
            [this](const Outcome<std::optional<KeyValueEntry>> &outcome) {
                documentRead(outcome);
            });
    m_io.post([&io = m_io, done] { io.keyValue().get(ConfigurationKey, done); });
}

void ClusterAgent::documentRead(const Outcome<std::optional<KeyValueEntry>> &outcome)
{
    m_readPending = false;
    run(m_dissemination.onWatch(MonotonicClock::now(), storageReply(outcome)));
}

} // namespace godwit
