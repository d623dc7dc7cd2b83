// Failure detection of Membership: probes, suspicion, declaration of death, and timers.
#include <godwit/control/membership.h>

#include <algorithm>

namespace godwit {

void Membership::startProbe(TimePoint now, const HostId &target, Actions &actions)
{
    auto probe = makeMessage(GossipKind::Probe, target);
    probe.sequence = ++m_sequence;
    m_probes.push_back({target, m_sequence, now + m_settings.ackTimeout});
    send(actions, m_members.at(target).member.address, std::move(probe));
}

void Membership::sendIndirectProbes(TimePoint now, Entry &target, Actions &actions)
{
    const HostId id = target.member.host;
    m_probes.push_back({id, ++m_sequence, now + m_settings.indirectTimeout, true});
    const std::uint64_t sequence = m_sequence;
    for (const HostId &helper : randomMembers(m_settings.indirectProbes, id)) {
        auto request = makeMessage(GossipKind::ProbeRequest, helper);
        request.sequence = sequence;
        request.subject = id;
        request.subjectAddress = target.member.address;
        send(actions, m_members.at(helper).member.address, std::move(request));
    }
    // The direct probe is repeated, because a single lost packet must not cause a suspicion.
    auto again = makeMessage(GossipKind::Probe, id);
    again.sequence = sequence;
    send(actions, target.member.address, std::move(again));
}

void Membership::probeNext(TimePoint now, Actions &actions)
{
    while (true) {
        if (m_probeRound.empty()) {
            for (const auto &[id, entry] : m_members) {
                if (entry.member.status != MemberStatus::Dead)
                    m_probeRound.push_back(id);
            }
            if (m_probeRound.empty())
                return;
            for (std::size_t i = m_probeRound.size(); i > 1; --i)
                std::swap(m_probeRound[i - 1], m_probeRound[m_random.below(i)]);
        }
        const HostId target = m_probeRound.back();
        m_probeRound.pop_back();
        const auto it = m_members.find(target);
        if (it == m_members.end() || it->second.member.status == MemberStatus::Dead)
            continue;
        startProbe(now, target, actions);
        return;
    }
}

void Membership::onProbeTimeout(TimePoint now, const Probe &probe, Actions &actions)
{
    const auto it = m_members.find(probe.target);
    if (it == m_members.end() || it->second.member.status == MemberStatus::Dead)
        return;
    Entry &entry = it->second;
    if (!probe.indirect) {
        const bool running = std::ranges::any_of(m_probes, [&](const Probe &other) {
            return other.indirect && other.target == probe.target;
        });
        if (!running && entry.member.status != MemberStatus::Suspect)
            sendIndirectProbes(now, entry, actions);
        return;
    }
    if (entry.member.status == MemberStatus::Suspect)
        return;
    const auto next = entry.member.status == MemberStatus::Leaving ? MemberStatus::Dead
                                                                   : MemberStatus::Suspect;
    setStatus(now, entry, next);
    entry.suspectedHere = true;
    entry.nextSuspectProbe = now;
    queueUpdate(entry);
    actions.emplace_back(MemberChanged{entry.member, false});
}

void Membership::checkProbes(TimePoint now, Actions &actions)
{
    std::vector<Probe> expired;
    std::erase_if(m_probes, [&](const Probe &probe) {
        if (probe.deadline > now)
            return false;
        expired.push_back(probe);
        return true;
    });
    for (const Probe &probe : expired)
        onProbeTimeout(now, probe, actions);
    std::erase_if(m_relays, [&](const auto &relay) { return relay.second.deadline <= now; });
}

void Membership::checkSuspects(TimePoint now, Actions &actions)
{
    for (const HostId &id : std::vector<HostId>(m_suspects)) {
        Entry &entry = m_members.at(id);
        if (now >= *entry.suspectUntil) {
            setStatus(now, entry, MemberStatus::Dead);
            queueUpdate(entry);
            actions.emplace_back(MemberChanged{entry.member, false});
        } else if (entry.suspectedHere && now >= entry.nextSuspectProbe) {
            entry.nextSuspectProbe = now + m_settings.suspectProbePeriod;
            sendIndirectProbes(now, entry, actions);
        }
    }
}

void Membership::maintainDeadMembers(TimePoint now, Actions &actions)
{
    m_nextRejoin = jittered(now, m_settings.rejoinPeriod);
    std::vector<HostId> dead;
    for (auto it = m_members.begin(); it != m_members.end();) {
        const auto since = it->second.deadSince;
        if (since && now - *since > m_settings.deadRetention) {
            std::erase_if(m_updateQueue,
                          [&](const QueuedUpdate &p) { return p.host == it->first; });
            const auto at = m_byAddress.find(it->second.member.address);
            if (at != m_byAddress.end() && at->second == it->first)
                m_byAddress.erase(at);
            it = m_members.erase(it);
            continue;
        }
        if (since)
            dead.push_back(it->first);
        ++it;
    }
    if (!dead.empty()) {
        const HostId &id = dead[m_random.below(dead.size())];
        send(actions, m_members.at(id).member.address, makeMessage(GossipKind::Probe, id));
    }
    if (randomMembers(1, {}).empty() && !m_seeds.empty()) {
        const std::string &seed = m_seeds[m_random.below(m_seeds.size())];
        if (seed != m_self.address)
            send(actions, seed, makeMessage(GossipKind::Probe, {}));
    }
}

void Membership::shiftTimers(Duration gap)
{
    m_probes.clear();
    m_relays.clear();
    for (const HostId &id : m_suspects)
        *m_members.at(id).suspectUntil += gap;
}

std::vector<MembershipAction> Membership::onTimer(TimePoint now)
{
    Actions actions;
    if (const Duration gap = now - m_lastTimer;
        gap > m_settings.probePeriod + m_settings.pauseLimit)
        shiftTimers(gap);
    m_lastTimer = now;
    checkProbes(now, actions);
    checkSuspects(now, actions);
    if (now >= m_nextProbe) {
        m_nextProbe = std::max(m_nextProbe + m_settings.probePeriod, now);
        probeNext(now, actions);
    }
    if (now >= m_nextSync) {
        m_nextSync = jittered(now, m_settings.syncPeriod);
        startSync(actions);
    }
    if (now >= m_nextRejoin)
        maintainDeadMembers(now, actions);
    return actions;
}

TimePoint Membership::nextTimer() const
{
    TimePoint next = std::min({m_nextProbe, m_nextSync, m_nextRejoin});
    for (const Probe &probe : m_probes)
        next = std::min(next, probe.deadline);
    for (const HostId &id : m_suspects) {
        const Entry &entry = m_members.at(id);
        next = std::min(next, *entry.suspectUntil);
        if (entry.suspectedHere)
            next = std::min(next, entry.nextSuspectProbe);
    }
    return next;
}

} // namespace godwit
