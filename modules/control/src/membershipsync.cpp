// Anti-entropy of Membership: two processes compare hashes of their tables and exchange the
// differences.
#include <godwit/base/rendezvous.h>
#include <godwit/control/membership.h>

namespace godwit {

namespace {

constexpr std::size_t SyncBuckets = 32;

std::uint32_t bucketOf(const HostId &host)
{
    return static_cast<std::uint32_t>(stableHash(host.value()) % SyncBuckets);
}

/// A suspicion is ignored, since it is short-lived and disseminated by gossip.
std::uint64_t hashOf(const Member &member)
{
    const int status = member.status == MemberStatus::Suspect ? 0 : static_cast<int>(member.status);
    return stableHash(member.host.value(),
                      member.incarnation.value * 4 + static_cast<std::uint64_t>(status));
}

} // namespace

std::vector<std::uint64_t> Membership::bucketHashes() const
{
    std::vector<std::uint64_t> hashes(SyncBuckets, 0);
    for (const auto &[id, entry] : m_members) {
        if (entry.member.status != MemberStatus::Dead)
            hashes[bucketOf(id)] ^= hashOf(entry.member);
    }
    if (m_self.status != MemberStatus::Dead)
        hashes[bucketOf(m_self.host)] ^= hashOf(m_self);
    return hashes;
}

std::vector<Member> Membership::membersOf(const std::vector<std::uint32_t> &buckets) const
{
    std::vector<Member> members;
    for (const auto &[id, entry] : m_members) {
        if (std::ranges::find(buckets, bucketOf(id)) != buckets.end())
            members.push_back(entry.member);
    }
    return members;
}

void Membership::startSync(Actions &actions)
{
    for (const HostId &id : randomMembers(1, {})) {
        auto sync = makeMessage(GossipKind::SyncRequest, id);
        sync.hashes = bucketHashes();
        send(actions, m_members.at(id).member.address, std::move(sync));
    }
}

void Membership::onSyncRequest(const GossipMessage &message, Actions &actions)
{
    const auto own = bucketHashes();
    if (message.hashes.size() != own.size())
        return;
    auto reply = makeMessage(GossipKind::SyncReply, message.self.host);
    reply.sequence = 1; // Marks the first reply, which is answered; the second is not.
    for (std::uint32_t i = 0; i < own.size(); ++i) {
        if (own[i] != message.hashes[i])
            reply.buckets.push_back(i);
    }
    const auto members = membersOf(reply.buckets);
    reply.updates.insert(reply.updates.end(), members.begin(), members.end());
    send(actions, message.self.address, std::move(reply));
}

void Membership::onSyncReply(const GossipMessage &message, Actions &actions)
{
    if (message.sequence != 1 || message.buckets.size() > SyncBuckets)
        return;
    m_joined = true;
    auto reply = makeMessage(GossipKind::SyncReply, message.self.host);
    const auto members = membersOf(message.buckets);
    // Only members that the sender does not have; the reply of a joining process is empty.
    for (const Member &member : members) {
        const auto same = std::ranges::find(message.updates, member);
        if (same == message.updates.end() && member.host != message.self.host)
            reply.updates.push_back(member);
    }
    if (!reply.updates.empty())
        send(actions, message.self.address, std::move(reply));
}

} // namespace godwit
