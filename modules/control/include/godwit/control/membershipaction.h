#pragma once

#include <godwit/control/gossipmessage.h>

#include <string>
#include <variant>

namespace godwit {

struct SendGossip
{
    std::string address;
    GossipMessage message;
};

/// The status of a member changed, or its host runs another process.
struct MemberChanged
{
    Member member;
    /// The process was replaced; state that is kept about the old process is obsolete.
    bool replaced = false;
};

using MembershipAction = std::variant<SendGossip, MemberChanged>;

} // namespace godwit
