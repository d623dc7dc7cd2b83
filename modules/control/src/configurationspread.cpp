#include <godwit/base/rendezvous.h>
#include <godwit/control/configurationspread.h>

#include <algorithm>

namespace godwit {

namespace {

constexpr std::size_t MaxSources = 4;

std::string watcherOfZone(const ZoneId &zone, const std::vector<HostLocation> &live)
{
    std::vector<std::string> members;
    for (const HostLocation &host : live) {
        if (host.zone == zone)
            members.push_back(host.host.value());
    }
    const auto top = rendezvousTop("watch/" + zone.value(), members, 1);
    return top.empty() ? std::string() : top.front();
}

} // namespace

ConfigurationDissemination::ConfigurationDissemination(HostId self, ZoneId zone, Settings settings,
                                                       Random random)
    : m_self(std::move(self))
    , m_zone(std::move(zone))
    , m_settings(settings)
    , m_random(random)
{}

std::vector<DisseminationAction>
ConfigurationDissemination::onMembers(TimePoint now, std::vector<HostLocation> live,
                                      std::size_t known)
{
    m_live = std::move(live);
    m_known = known;
    Actions actions;
    const bool watch = watcherOfZone(m_zone, m_live) == m_self.value();
    if (watch != m_watching) {
        m_watching = watch;
        if (watch)
            actions.emplace_back(StartWatch{});
        else
            actions.emplace_back(StopWatch{});
    }
    if (m_starting && !m_startDeadline)
        startPulls(now, actions);
    return actions;
}

void ConfigurationDissemination::startPulls(TimePoint now, Actions &actions)
{
    auto peers = m_live;
    std::erase_if(peers, [&](const HostLocation &peer) { return peer.host == m_self; });
    if (peers.empty()) {
        // onMembers() starts again when there is a peer.
        m_startDeadline.reset();
        return;
    }
    m_peersAsked = 0;
    m_peersAnswered = 0;
    for (std::size_t i = 0; i < m_settings.startPeers && !peers.empty(); ++i) {
        const auto pick = peers.begin() + static_cast<std::ptrdiff_t>(m_random.below(peers.size()));
        actions.emplace_back(SendConfigurationPull{pick->host, {applied()}});
        peers.erase(pick);
        ++m_peersAsked;
    }
    m_startDeadline = now + m_settings.startTimeout;
}

void ConfigurationDissemination::finishStart(Actions &actions)
{
    m_starting = false;
    m_startDeadline.reset();
    if (const auto candidate = std::exchange(m_candidate, nullptr))
        applyDocument({candidate, {}, {}}, {}, actions);
}

bool ConfigurationDissemination::isPlausible(Revision revision) const
{
    return !m_current || revision.value <= m_current->revision.value + m_settings.maxRevisionJump;
}

void ConfigurationDissemination::reject(Error error)
{
    ++m_rejected;
    m_lastRejection = std::move(error);
}

void ConfigurationDissemination::recordProof(TimePoint at)
{
    m_lastProof = m_lastProof ? std::max(*m_lastProof, at) : at;
    m_provedSinceStart = true;
}

std::vector<DisseminationAction> ConfigurationDissemination::onWatch(TimePoint now,
                                                                     const StorageReply &reply)
{
    Actions actions;
    if (reply.status != StorageStatus::Success)
        return actions;
    if (reply.storedRevision == 0) {
        if (m_confirmed == Revision{})
            recordProof(now);
        else
            reject({ResultCode::ConfigurationMalformed, "the stored document was deleted"});
        return actions;
    }
    if (reply.value.empty() && reply.storedRevision == m_watchedStoredRevision) {
        recordProof(now);
        return actions;
    }
    auto parsed = capture([&] { return parseConfiguration(reply.value); });
    if (!succeeded(parsed)) {
        reject(std::get<1>(parsed));
        return actions;
    }
    auto document = std::make_shared<const Configuration>(std::get<0>(std::move(parsed)));
    if (document->revision < m_confirmed || !isPlausible(document->revision)) {
        reject({ResultCode::ConfigurationMalformed,
                "the stored document has revision " + std::to_string(document->revision.value)
                        + ", but the confirmed revision is " + std::to_string(m_confirmed.value)});
        return actions;
    }
    recordProof(now);
    m_watchedStoredRevision = reply.storedRevision;
    m_candidate.reset();
    m_starting = false;
    m_startDeadline.reset();
    applyDocument({std::move(document), {}, {}}, {}, actions);
    return actions;
}

std::vector<DisseminationAction>
ConfigurationDissemination::onStored(TimePoint now,
                                     std::shared_ptr<const Configuration> configuration)
{
    Actions actions;
    if (!configuration || configuration->revision < m_confirmed
        || configuration->revision == Revision{})
        return actions;
    recordProof(now);
    m_starting = false;
    m_startDeadline.reset();
    applyDocument({std::move(configuration), {}, {}}, {}, actions);
    return actions;
}

void ConfigurationDissemination::applyDocument(ReceivedDocument received, const HostId &from,
                                               Actions &actions)
{
    if (received.document->revision <= applied() || received.document->revision < m_confirmed)
        return;
    m_confirmed = received.document->revision;
    const ConfigurationDelta *delta = updateHistory(received);
    m_current = std::move(received.document);
    actions.emplace_back(PublishConfiguration{m_current});
    push(from, delta, actions);
    if (m_pullRevision <= applied()) {
        m_pullSources.clear();
        m_nextPull.reset();
    }
}

void ConfigurationDissemination::appendToHistory(ConfigurationDelta delta)
{
    m_historyBytes.push_back(boost::json::serialize(delta.patch).size());
    m_historyTotal += m_historyBytes.back();
    m_history.push_back(std::move(delta));
    while (m_history.size() > m_settings.maxHistory
           || m_historyTotal > m_settings.maxHistoryBytes) {
        m_historyTotal -= m_historyBytes.front();
        m_historyBytes.pop_front();
        m_history.pop_front();
    }
}

const ConfigurationDelta *ConfigurationDissemination::updateHistory(ReceivedDocument &received)
{
    const bool first = !m_current;
    if (received.deltas.empty()) {
        received.json = toJson(*received.document);
        if (!first)
            appendToHistory({m_current->revision, received.document->revision,
                             Digest::of(boost::json::serialize(received.json)).toHex(),
                             mergePatch(m_json, received.json)});
    }
    for (ConfigurationDelta &delta : received.deltas)
        appendToHistory(std::move(delta));
    m_json = std::move(received.json);
    return first || m_history.empty() ? nullptr : &m_history.back();
}

ConfigurationDissemination::ReceivedDocument
ConfigurationDissemination::decodePush(const ConfigurationPush &push)
{
    ReceivedDocument received;
    if (push.document && push.document->revision > applied()
        && isPlausible(push.document->revision)) {
        const auto checked =
                capture([&] { return parseConfiguration(toJsonText(*push.document)); });
        if (succeeded(checked))
            received.document = std::make_shared<const Configuration>(std::get<0>(checked));
        else
            reject(std::get<1>(checked));
        return received;
    }
    auto base = m_current;
    for (const ConfigurationDelta &delta : push.deltas) {
        if (!base || delta.base != base->revision)
            continue;
        if (received.deltas.empty())
            received.json = m_json;
        auto next = capture([&] { return applyDelta(base->revision, received.json, delta); });
        if (!succeeded(next)) {
            reject(std::get<1>(next));
            return {};
        }
        base = std::make_shared<const Configuration>(std::get<0>(std::move(next)));
        received.deltas.push_back(delta);
        received.document = base;
    }
    return received;
}

std::vector<HostId> ConfigurationDissemination::pushTargets(const HostId &except)
{
    std::vector<HostId> sameZone;
    std::vector<HostId> all;
    for (const HostLocation &host : m_live) {
        if (host.host == m_self || host.host == except)
            continue;
        all.push_back(host.host);
        if (host.zone == m_zone)
            sameZone.push_back(host.host);
    }
    std::ranges::sort(sameZone);
    std::vector<HostId> targets;
    const auto add = [&](const HostId &target) {
        targets.push_back(target);
        std::erase(all, target);
        std::erase(sameZone, target);
    };
    // Always push to the successor in the zone, so that each member is reached even if no random
    // push selects it.
    if (!sameZone.empty()) {
        const auto next = std::ranges::upper_bound(sameZone, m_self);
        add(next == sameZone.end() ? sameZone.front() : HostId(*next));
    }
    while (targets.size() < m_settings.fanOut && !all.empty()) {
        const auto &pool =
                targets.size() + 1 == m_settings.fanOut || sameZone.empty() ? all : sameZone;
        add(HostId(pool[m_random.below(pool.size())]));
    }
    return targets;
}

void ConfigurationDissemination::push(const HostId &from, const ConfigurationDelta *delta,
                                      Actions &actions)
{
    auto message = std::make_shared<ConfigurationPush>();
    message->state.applied = applied();
    message->state.confirmed = m_confirmed;
    if (delta && m_historyBytes.back() <= m_settings.maxPushBytes)
        message->deltas.push_back(*delta);
    for (const HostId &target : pushTargets(from))
        actions.emplace_back(SendConfigurationPush{target, message});
}

void ConfigurationDissemination::schedulePull(TimePoint now, Revision revision, const HostId &from)
{
    if (revision <= applied() || m_starting)
        return;
    if (revision > m_pullRevision) {
        m_pullRevision = revision;
        m_pullSources.clear();
    }
    if (revision == m_pullRevision) {
        std::erase(m_pullSources, from);
        m_pullSources.push_back(from);
        if (m_pullSources.size() > MaxSources)
            m_pullSources.erase(m_pullSources.begin());
    }
    if (!m_nextPull)
        m_nextPull = now
                     + Duration(static_cast<std::int64_t>(m_random.below(
                             static_cast<std::uint64_t>(m_settings.pullDelay.count()) + 1)));
}

std::vector<DisseminationAction>
ConfigurationDissemination::onGossip(TimePoint now, const HostId &from,
                                     const ConfigurationGossip &gossip)
{
    if (!isPlausible(gossip.applied) || !isPlausible(gossip.confirmed)) {
        reject({ResultCode::ConfigurationMalformed,
                "member " + from.value() + " reports an implausibly high revision"});
        return {};
    }
    m_confirmed = std::max(m_confirmed, gossip.confirmed);
    if (gossip.age && *gossip.age >= Duration(0))
        recordProof(now - *gossip.age);
    schedulePull(now, gossip.applied, from);
    return {};
}

std::vector<DisseminationAction>
ConfigurationDissemination::onPush(TimePoint now, const HostId &from, const ConfigurationPush &push)
{
    Actions actions = onGossip(now, from, push.state);
    ReceivedDocument received = decodePush(push);
    if (m_starting) {
        ++m_peersAnswered;
        const auto &document = received.document;
        if (document && (!m_candidate || document->revision > m_candidate->revision))
            m_candidate = document;
        // If all peers replied without a document, there is none to wait for.
        if (m_startDeadline && m_peersAnswered >= m_peersAsked)
            finishStart(actions);
        return actions;
    }
    if (received.document)
        applyDocument(std::move(received), from, actions);
    return actions;
}

std::vector<DisseminationAction>
ConfigurationDissemination::onPull(TimePoint now, const HostId &from, const ConfigurationPull &pull)
{
    auto message = std::make_shared<ConfigurationPush>();
    message->state = gossip(now);
    if (m_current && pull.applied < m_current->revision) {
        const auto base = std::ranges::find(m_history, pull.applied, &ConfigurationDelta::base);
        message->deltas.assign(base, m_history.end());
        if (message->deltas.empty())
            message->document = *m_current;
    }
    return {SendConfigurationPush{from, std::move(message)}};
}

void ConfigurationDissemination::sendPull(TimePoint now, Actions &actions)
{
    m_nextPull.reset();
    if (m_pullRevision <= applied() || m_pullSources.empty())
        return;
    const HostId source = m_pullSources.back();
    m_pullSources.pop_back();
    actions.emplace_back(SendConfigurationPull{source, {applied()}});
    // If this source does not reply, the next one is asked. Gossip adds new sources.
    if (!m_pullSources.empty())
        m_nextPull = now + m_settings.pullTimeout;
}

std::vector<DisseminationAction> ConfigurationDissemination::onTimer(TimePoint now)
{
    Actions actions;
    if (m_startDeadline && now >= *m_startDeadline) {
        if (m_candidate)
            finishStart(actions);
        else
            startPulls(now, actions);
    }
    if (m_nextPull && now >= *m_nextPull)
        sendPull(now, actions);
    return actions;
}

std::optional<TimePoint> ConfigurationDissemination::nextTimer() const
{
    if (m_startDeadline && m_nextPull)
        return std::min(*m_startDeadline, *m_nextPull);
    return m_startDeadline ? m_startDeadline : m_nextPull;
}

ConfigurationGossip ConfigurationDissemination::gossip(TimePoint now) const
{
    ConfigurationGossip gossip{applied(), m_confirmed, {}};
    if (m_lastProof)
        gossip.age = std::max(Duration(0), now - *m_lastProof);
    return gossip;
}

Staleness ConfigurationDissemination::staleness(TimePoint now) const
{
    Staleness staleness;
    if (m_lastProof)
        staleness.age = now - *m_lastProof;
    staleness.stale = !m_lastProof || *staleness.age > m_settings.staleAfter;
    staleness.behind = m_confirmed > applied();
    staleness.isolated = staleness.stale && m_known > 1 && m_live.size() * 2 < m_known;
    return staleness;
}

ConfigurationStatus ConfigurationDissemination::status(TimePoint now) const
{
    ConfigurationStatus status;
    status.revision = applied();
    status.confirmed = m_confirmed;
    status.peersAsked = m_peersAsked;
    status.peersAnswered = m_peersAnswered;
    status.membersLive = static_cast<std::uint32_t>(m_live.size());
    status.age = staleness(now).age;
    if (!m_current)
        status.source = ConfigurationSource::None;
    else
        status.source = m_provedSinceStart && status.age && *status.age <= m_settings.staleAfter
                                ? ConfigurationSource::Service
                                : ConfigurationSource::Peers;
    return status;
}

std::string ConfigurationStatus::describe() const
{
    if (source == ConfigurationSource::None)
        return "no configuration received yet";
    std::string text = "revision " + std::to_string(revision.value);
    if (confirmed > revision)
        text += ", newer revision " + std::to_string(confirmed.value) + " exists";
    if (source == ConfigurationSource::Service)
        return text + ", confirmed by the key-value service "
               + std::to_string(static_cast<long>(toSeconds(*age))) + " s ago";
    text += " from " + std::to_string(peersAnswered) + " of " + std::to_string(peersAsked)
            + " peers, " + std::to_string(membersLive)
            + " members live; a newer revision may exist";
    return age ? text + "; last confirmed " + std::to_string(static_cast<long>(toSeconds(*age)))
                           + " s ago"
               : text + "; not confirmed since this process started";
}

} // namespace godwit
