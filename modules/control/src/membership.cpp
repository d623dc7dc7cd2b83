#include <godwit/base/rendezvous.h>
#include <godwit/control/membership.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace godwit {

namespace {

constexpr std::size_t LeaveFanOut = 8;
/// Longest update list that is accepted in a message; the target fleet size is below 1000 members.
constexpr std::size_t MaxMessageMembers = 5000;
constexpr std::size_t MaxMembers = 20000;
/// Higher incarnations are rejected as corrupt; the clock reaches this value in the year 4200.
constexpr std::uint64_t MaxIncarnation = 1ULL << 62;

bool isLive(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

bool overrides(const Member &update, const Member &known)
{
    if (update.incarnation != known.incarnation)
        return update.incarnation > known.incarnation;
    return update.status > known.status;
}

} // namespace

Membership::Membership(Member self, Settings settings, Random random)
    : m_self(std::move(self))
    , m_startIncarnation(m_self.incarnation)
    , m_settings(settings)
    , m_random(random)
{}

TimePoint Membership::jittered(TimePoint now, Duration period)
{
    return now + period / 2
           + Duration(static_cast<std::int64_t>(
                   m_random.below(static_cast<std::uint64_t>(period.count()) + 1)));
}

std::size_t Membership::transmitLimit() const
{
    return m_settings.transmitFactor * std::bit_width(m_members.size() + 1);
}

std::vector<MembershipAction> Membership::start(TimePoint now,
                                                const std::vector<std::string> &seeds)
{
    m_seeds = seeds;
    m_lastTimer = now;
    // The first probe is sent at a random time within a period, so that processes that start
    // together do not probe in lockstep.
    m_nextProbe = now
                  + Duration(static_cast<std::int64_t>(m_random.below(
                          static_cast<std::uint64_t>(m_settings.probePeriod.count()))));
    // An early second sync, since the first table may come from a member that has just joined
    // itself.
    m_nextSync = jittered(now, m_settings.firstSyncDelay);
    m_nextRejoin = jittered(now, m_settings.rejoinPeriod);
    Actions actions;
    for (const std::string &seed : m_seeds) {
        if (seed != m_self.address)
            send(actions, seed, makeMessage(GossipKind::Probe, {}));
    }
    return actions;
}

GossipMessage Membership::makeMessage(GossipKind kind, const HostId &to)
{
    GossipMessage message;
    message.kind = kind;
    message.self = m_self;
    // A suspect or dead target is told its own status first, so that it can refute it.
    const auto target = m_members.find(to);
    if (target != m_members.end() && target->second.member.status != MemberStatus::Alive)
        message.updates.push_back(target->second.member);
    const std::size_t n = std::min(m_settings.maxUpdates, m_updateQueue.size());
    std::partial_sort(m_updateQueue.begin(), m_updateQueue.begin() + static_cast<std::ptrdiff_t>(n),
                      m_updateQueue.end(), [](const QueuedUpdate &a, const QueuedUpdate &b) {
                          return a.remainingTransmits > b.remainingTransmits;
                      });
    for (std::size_t i = 0; i < n && message.updates.size() < m_settings.maxUpdates; ++i) {
        QueuedUpdate &pending = m_updateQueue[i];
        --pending.remainingTransmits;
        if (pending.host != to)
            message.updates.push_back(m_members.at(pending.host).member);
    }
    std::erase_if(m_updateQueue,
                  [](const QueuedUpdate &pending) { return pending.remainingTransmits == 0; });
    return message;
}

void Membership::send(Actions &actions, const std::string &address, GossipMessage message)
{
    actions.emplace_back(SendGossip{address, std::move(message)});
}

void Membership::queueUpdate(const Entry &entry)
{
    const auto it = std::ranges::find(m_updateQueue, entry.member.host, &QueuedUpdate::host);
    if (it != m_updateQueue.end())
        it->remainingTransmits = transmitLimit();
    else
        m_updateQueue.push_back({entry.member.host, transmitLimit()});
}

void Membership::mergeSelf(const Member &update)
{
    if (update.incarnation < m_self.incarnation)
        return;
    const bool contested = update.status == MemberStatus::Suspect
                           || update.status == MemberStatus::Dead
                           || update.incarnation > m_self.incarnation;
    if (!contested)
        return;
    m_self.incarnation.value = update.incarnation.value + 1;
}

void Membership::recordRecovery(TimePoint now, Entry &entry)
{
    std::erase_if(m_recoveries,
                  [&](TimePoint at) { return now - at > m_settings.maxRecoveryDelay; });
    m_recoveries.push_back(now);
    const auto maxWait = std::min(m_settings.maxRecoveryDelay,
                                  m_settings.recoveryInterval
                                          * static_cast<std::int64_t>(m_recoveries.size() - 1));
    const auto recoveryWait = Duration(static_cast<std::int64_t>(
            m_random.below(static_cast<std::uint64_t>(maxWait.count()) + 1)));
    const double halvings =
            toSeconds(now - entry.flapPenaltyAt) / toSeconds(m_settings.flapHalfLife);
    entry.flapPenalty = entry.flapPenalty * std::exp2(-halvings) + 1;
    entry.flapPenaltyAt = now;
    Duration holdDown{0};
    if (entry.flapPenalty > m_settings.flapLimit) {
        const double factor = std::exp2(std::min(entry.flapPenalty - m_settings.flapLimit, 10.0));
        holdDown = std::min(m_settings.maxFlapHoldDown,
                            fromSeconds(toSeconds(m_settings.flapHoldDown) * factor));
    }
    entry.usableAt = now + std::max(recoveryWait, holdDown);
}

void Membership::setStatus(TimePoint now, Entry &entry, MemberStatus status)
{
    const MemberStatus before = entry.member.status;
    entry.member.status = status;
    entry.suspectUntil.reset();
    entry.suspectedHere = false;
    std::erase(m_suspects, entry.member.host);
    if (status == MemberStatus::Suspect) {
        entry.suspectUntil = now + m_settings.suspicion;
        m_suspects.push_back(entry.member.host);
    }
    if (status == MemberStatus::Dead && before != MemberStatus::Dead)
        entry.deadSince = now;
    if (status != MemberStatus::Dead)
        entry.deadSince.reset();
    if (status == MemberStatus::Alive && before == MemberStatus::Dead)
        recordRecovery(now, entry);
}

void Membership::replaceAtAddress(TimePoint now, const Member &update, Actions &actions)
{
    const auto at = m_byAddress.find(update.address);
    if (at == m_byAddress.end()) {
        m_byAddress[update.address] = update.host;
        return;
    }
    if (at->second == update.host)
        return;
    const auto old = m_members.find(at->second);
    if (old == m_members.end() || old->second.member.address != update.address) {
        at->second = update.host;
        return;
    }
    if (old->second.member.incarnation > update.incarnation)
        return;
    at->second = update.host;
    if (old->second.member.status == MemberStatus::Dead)
        return;
    setStatus(now, old->second, MemberStatus::Dead);
    queueUpdate(old->second);
    actions.emplace_back(MemberChanged{old->second.member, true});
}

void Membership::addMember(TimePoint now, const Member &update, Actions &actions)
{
    // Unknown members that are dead or invalid are not added to the table.
    if (update.status == MemberStatus::Dead || update.host.empty() || update.address.empty()
        || m_members.size() >= MaxMembers)
        return;
    Entry &entry = m_members[update.host];
    entry.member = update;
    entry.member.status = MemberStatus::Alive;
    entry.usableAt = now;
    entry.flapPenaltyAt = now;
    setStatus(now, entry, update.status);
    queueUpdate(entry);
    replaceAtAddress(now, update, actions);
    actions.emplace_back(MemberChanged{entry.member, false});
}

void Membership::merge(TimePoint now, const Member &update, Actions &actions)
{
    if (update.incarnation.value > MaxIncarnation)
        return;
    if (update.host == m_self.host) {
        mergeSelf(update);
        return;
    }
    const auto it = m_members.find(update.host);
    if (it == m_members.end()) {
        addMember(now, update, actions);
        return;
    }
    Entry &entry = it->second;
    if (!overrides(update, entry.member))
        return;
    const bool replaced =
            processNumber(update.incarnation) != processNumber(entry.member.incarnation);
    const MemberStatus before = entry.member.status;
    const std::string oldAddress = entry.member.address;
    entry.member.address = update.address;
    entry.member.zone = update.zone;
    entry.member.role = update.role;
    entry.member.incarnation = update.incarnation;
    setStatus(now, entry, update.status);
    if (replaced)
        entry.silentSince.reset();
    queueUpdate(entry);
    if (oldAddress != update.address)
        replaceAtAddress(now, update, actions);
    if (before != update.status || replaced)
        actions.emplace_back(MemberChanged{entry.member, replaced});
}

std::vector<MembershipAction> Membership::onMessage(TimePoint now, const GossipMessage &message)
{
    Actions actions;
    if (message.self.host.empty() || message.self.host == m_self.host
        || message.updates.size() > MaxMessageMembers)
        return actions;
    const Incarnation before = m_self.incarnation;
    // The other members already know the table that a joining process receives, so it is not
    // gossiped again.
    const std::size_t pending = m_updateQueue.size();
    const bool bulk = message.kind == GossipKind::SyncReply && !m_joined;
    merge(now, message.self, actions);
    for (const Member &update : message.updates)
        merge(now, update, actions);
    if (bulk)
        m_updateQueue.erase(m_updateQueue.begin() + static_cast<std::ptrdiff_t>(pending),
                            m_updateQueue.end());
    // Send a refutation at once, except for a probe, whose Ack carries it.
    if (m_self.incarnation != before && message.kind != GossipKind::Probe)
        send(actions, message.self.address, makeMessage(GossipKind::Announce, message.self.host));
    const std::string &reply = message.self.address;
    const HostId &from = message.self.host;
    if (const auto it = m_members.find(from); it != m_members.end())
        it->second.lastHeard = now;
    switch (message.kind) {
    case GossipKind::Probe: {
        auto ack = makeMessage(GossipKind::Ack, from);
        ack.sequence = message.sequence;
        send(actions, reply, std::move(ack));
        break;
    }
    case GossipKind::ProbeRequest: {
        auto probe = makeMessage(GossipKind::Probe, message.subject);
        probe.sequence = ++m_sequence;
        m_relays[m_sequence] = {reply, message.sequence, now + m_settings.probePeriod};
        send(actions, message.subjectAddress, std::move(probe));
        break;
    }
    case GossipKind::Ack:
        onAck(now, message, actions);
        break;
    case GossipKind::SyncRequest:
        onSyncRequest(message, actions);
        break;
    case GossipKind::SyncReply:
        onSyncReply(message, actions);
        break;
    case GossipKind::Announce:
        break;
    }
    return actions;
}

void Membership::onAck(TimePoint now, const GossipMessage &message, Actions &actions)
{
    if (!m_joined) {
        auto sync = makeMessage(GossipKind::SyncRequest, message.self.host);
        sync.hashes = bucketHashes();
        send(actions, message.self.address, std::move(sync));
    }
    if (const auto relay = m_relays.find(message.sequence); relay != m_relays.end()) {
        auto ack = makeMessage(GossipKind::Ack, {});
        ack.sequence = relay->second.originSequence;
        ack.subject = message.self.host;
        // Forwards a refutation by the subject to the origin.
        if (const Member *subject = find(message.self.host))
            ack.updates.insert(ack.updates.begin(), *subject);
        send(actions, relay->second.origin, std::move(ack));
        m_relays.erase(relay);
        return;
    }
    const bool direct = message.subject.empty();
    const HostId &subject = direct ? message.self.host : message.subject;
    std::erase_if(m_probes, [&](const Probe &probe) {
        return probe.sequence == message.sequence && probe.target == subject;
    });
    const auto it = m_members.find(subject);
    if (direct && it != m_members.end()) {
        it->second.lastHeard = now;
        it->second.silentSince.reset();
    }
}

std::vector<MembershipAction> Membership::onHostList(TimePoint now,
                                                     const std::vector<HostListing> &list)
{
    Actions actions;
    for (const HostListing &listing : list) {
        if (listing.host == m_self.host) {
            if (listing.leaving && m_self.status != MemberStatus::Leaving) {
                auto leaving = leave(now);
                std::ranges::move(leaving, std::back_inserter(actions));
            }
            continue;
        }
        const auto it = m_members.find(listing.host);
        if (it == m_members.end()) {
            if (!listing.leaving)
                send(actions, listing.address, makeMessage(GossipKind::Probe, {}));
            continue;
        }
        if (listing.leaving && isLive(it->second.member.status)) {
            setStatus(now, it->second, MemberStatus::Leaving);
            queueUpdate(it->second);
            actions.emplace_back(MemberChanged{it->second.member, false});
        }
    }
    return actions;
}

std::vector<MembershipAction> Membership::onTraffic(TimePoint now, const HostId &host,
                                                    TrafficEvidence evidence)
{
    Actions actions;
    const auto it = m_members.find(host);
    if (it == m_members.end())
        return actions;
    Entry &entry = it->second;
    if (evidence == TrafficEvidence::Heard) {
        entry.lastHeard = now;
        entry.silentSince.reset();
        return actions;
    }
    if (entry.silentSince || !isLive(entry.member.status))
        return actions;
    entry.silentSince = now;
    startProbe(now, host, actions);
    sendIndirectProbes(now, entry, actions);
    return actions;
}

std::vector<MembershipAction> Membership::leave(TimePoint now)
{
    Actions actions;
    m_self.status = MemberStatus::Leaving;
    std::vector<HostId> targets = randomMembers(LeaveFanOut, {});
    for (const auto &[id, entry] : m_members) {
        const bool recent =
                entry.lastHeard && now - *entry.lastHeard <= m_settings.recentTrafficWindow;
        if (recent && isLive(entry.member.status)
            && std::ranges::find(targets, id) == targets.end())
            targets.push_back(id);
    }
    for (const HostId &id : targets)
        send(actions, m_members.at(id).member.address, makeMessage(GossipKind::Announce, id));
    actions.emplace_back(MemberChanged{m_self, false});
    return actions;
}

std::vector<HostId> Membership::randomMembers(std::size_t count, const HostId &except)
{
    std::vector<HostId> candidates;
    candidates.reserve(m_members.size());
    for (const auto &[id, entry] : m_members) {
        if (entry.member.status == MemberStatus::Alive && id != except)
            candidates.push_back(id);
    }
    std::vector<HostId> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        const std::size_t i = m_random.below(candidates.size());
        chosen.push_back(candidates[i]);
        candidates[i] = candidates.back();
        candidates.pop_back();
    }
    return chosen;
}

bool Membership::isUsable(TimePoint now, const HostId &host) const
{
    const auto it = m_members.find(host);
    if (it == m_members.end())
        return false;
    const Entry &entry = it->second;
    if (!isLive(entry.member.status) || now < entry.usableAt || entry.silentSince)
        return false;
    const bool hasRecentTraffic =
            entry.lastHeard && now - *entry.lastHeard <= m_settings.recentTrafficWindow;
    return entry.member.status == MemberStatus::Alive || hasRecentTraffic;
}

const Member *Membership::find(const HostId &host) const
{
    if (host == m_self.host)
        return &m_self;
    const auto it = m_members.find(host);
    return it == m_members.end() ? nullptr : &it->second.member;
}

std::vector<Member> Membership::all() const
{
    std::vector<Member> members{m_self};
    for (const auto &[host, entry] : m_members)
        members.push_back(entry.member);
    return members;
}

std::vector<HostLocation> Membership::live() const
{
    std::vector<HostLocation> hosts;
    for (const auto &[id, entry] : m_members) {
        if (isLive(entry.member.status))
            hosts.push_back({id, entry.member.zone});
    }
    if (isLive(m_self.status))
        hosts.push_back({m_self.host, m_self.zone});
    return hosts;
}

std::vector<HostLocation> Membership::live(ProcessRole role) const
{
    std::vector<HostLocation> hosts;
    for (const auto &[id, entry] : m_members) {
        if (entry.member.role == role && isLive(entry.member.status))
            hosts.push_back({id, entry.member.zone});
    }
    if (m_self.role == role && isLive(m_self.status))
        hosts.push_back({m_self.host, m_self.zone});
    return hosts;
}

} // namespace godwit
