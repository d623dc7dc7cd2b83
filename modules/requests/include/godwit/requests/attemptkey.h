#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <compare>
#include <cstddef>
#include <functional>

namespace godwit {

/// Identifies one attempt of one request.
struct AttemptKey
{
    RequestId request;
    AttemptId attempt;

    friend auto operator<=>(const AttemptKey &, const AttemptKey &) = default;
};

/// Target process of an attempt and the latest time at which it may start there. The sender chooses
/// both, and every copy of `/run` and `/withdraw` of the attempt carries the same values.
struct AttemptTerms
{
    Incarnation incarnation; ///< Incarnation of the target host process.
    TimePoint startBefore;   ///< On the monotonic clock of the host process, see PeerClock.

    friend auto operator<=>(const AttemptTerms &, const AttemptTerms &) = default;
};

} // namespace godwit

template <>
struct std::hash<godwit::AttemptKey>
{
    std::size_t operator()(const godwit::AttemptKey &key) const noexcept
    {
        return std::hash<godwit::RequestId>()(key.request) * 31
               + std::hash<godwit::AttemptId>()(key.attempt);
    }
};
