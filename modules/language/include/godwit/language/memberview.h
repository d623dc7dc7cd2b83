#pragma once

#include <godwit/base/ids.h>
#include <godwit/control/member.h>

#include <optional>

namespace godwit {

/// A process in the membership view, with additional state that is shown to operators.
struct MemberView
{
    Member member;
    RegionId region;
    std::optional<Revision> applied; ///< Configuration that the process has applied, if known.

    friend bool operator==(const MemberView &, const MemberView &) = default;
};

} // namespace godwit
