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
    Probe,        ///< Answer with Ack.
    Ack,          ///< Answer to a probe; an indirect one names its subject.
    ProbeRequest, ///< Probe the subject and pass its answer on.
    Announce,     ///< Updates only.
    SyncRequest,  ///< Anti-entropy: bucket hashes of the sender's view.
    SyncReply,    ///< Members of the buckets that differ.
};

/// Body of `/gossip`.
// The analyser takes the storage of a std::variant that holds this type for an unset object.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct GossipMessage
{
    GossipKind kind = GossipKind::Announce;
    Member self; ///< The sender.
    std::uint64_t sequence = 0;
    HostId subject;             ///< Of a ProbeRequest or an indirect Ack.
    std::string subjectAddress; ///< Of a ProbeRequest.
    std::vector<Member> updates;
    std::vector<std::uint64_t> hashes;  ///< Of a SyncRequest.
    std::vector<std::uint32_t> buckets; ///< Of a SyncReply: the buckets that differ.
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
