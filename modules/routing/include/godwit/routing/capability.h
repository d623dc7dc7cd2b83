#pragma once

#include <godwit/routing/routingrequest.h>

#include <array>
#include <cstdint>
#include <string>

namespace godwit {

/// Reason why a backend server may not run a request. If several apply, checkEligibility() returns
/// the first in the order of its checks.
enum class IneligibleReason {
    None,
    NotPermitted,
    Leaving,
    Drained,
    Unreachable,
    WrongRole,
    WrongModel,
    WrongAdapter,
    WrongVersion,
    Excluded, ///< Listed in RoutingRequest::excluded.
};

constexpr std::size_t IneligibleReasonCount = 10;

/// Number of servers per reason, indexed by IneligibleReason.
using IneligibleCounts = std::array<std::uint32_t, IneligibleReasonCount>;

/// Returns why \a backend may not run \a request, or None if it may.
IneligibleReason checkEligibility(const Backend &backend, bool reachable,
                                  const RoutingRequest &request);

/// Returns the first pin loaded on \a backend that \a request accepts, or null.
const ModelPin *findMatchingPin(const Backend &backend, const RoutingRequest &request);

/// Formats the non-zero counts, for example "2 leaving, 1 wrong version". Returns "none" if all
/// counts are 0.
std::string toString(const IneligibleCounts &counts);

} // namespace godwit
