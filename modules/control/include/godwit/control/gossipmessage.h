#pragma once

#include <godwit/base/json.h>
#include <godwit/control/configurationgossip.h>
#include <godwit/control/member.h>

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

enum class GossipKind {
    Probe,        ///< Requests an Ack.
    Ack,          ///< Reply to a probe; the reply to an indirect probe names its subject.
    ProbeRequest, ///< Requests a probe of the subject; its Ack is forwarded to the sender.
    Announce,     ///< Carries membership updates only.
    SyncRequest,  ///< Anti-entropy: hashes of the buckets of the sender's member table.
    SyncReply,    ///< Members in the buckets whose hashes differ.
};

/// Body of `/gossip`.
// The analyzer reports the storage of a std::variant with this type as uninitialized.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct GossipMessage
{
    GossipKind kind = GossipKind::Announce;
    Member self; ///< The sender.
    std::uint64_t sequence = 0;
    HostId subject;             ///< For ProbeRequest and the Ack of an indirect probe.
    std::string subjectAddress; ///< For ProbeRequest.
    std::vector<Member> updates;
    std::vector<std::uint64_t> hashes;  ///< For SyncRequest.
    std::vector<std::uint32_t> buckets; ///< For SyncReply: indexes of the buckets that differ.
    /// Filled by the owner of Membership and ConfigurationDissemination before sending.
    ConfigurationGossip configuration;

    friend bool operator==(const GossipMessage &, const GossipMessage &) = default;
};

template <>
struct JsonNames<GossipKind>
{
    static constexpr std::array<std::pair<GossipKind, std::string_view>, 6> table{
            {{GossipKind::Probe, "probe"},
             {GossipKind::Ack, "ack"},
             {GossipKind::ProbeRequest, "probe_request"},
             {GossipKind::Announce, "announce"},
             {GossipKind::SyncRequest, "sync_request"},
             {GossipKind::SyncReply, "sync_reply"}}};
};

template <>
struct JsonFields<GossipMessage>
{
    static constexpr auto table =
            std::tuple{field("kind", &GossipMessage::kind),
                       field("self", &GossipMessage::self),
                       field("sequence", &GossipMessage::sequence),
                       field("subject", &GossipMessage::subject),
                       field("subject_address", &GossipMessage::subjectAddress),
                       field("updates", &GossipMessage::updates),
                       field("hashes", &GossipMessage::hashes),
                       field("buckets", &GossipMessage::buckets),
                       field("configuration", &GossipMessage::configuration)};
};

} // namespace godwit
