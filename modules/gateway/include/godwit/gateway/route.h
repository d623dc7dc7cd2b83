#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

/// Whether the requests on a route may be executed more than once.
enum class RouteKind {
    Safe,      ///< May be executed any number of times.
    Unsafe,    ///< Executed at most once per attempt of the client.
    Streaming, ///< Responds with a stream of events; executed at most once unless resumable.
};

/// A service with its weight in the traffic split of a route.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const RouteTarget &, const RouteTarget &) = default;
};

/// Rule for requests to one host whose path starts with a prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Starts and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    Duration timeout{0};     ///< Limit on the total time of a request.
    Duration objective{0};   ///< Target latency of the response, or of the first event of a stream.
    Duration maxEventGap{0}; ///< Between two events of a stream that meets its objective.
    std::uint32_t priority = 5;    ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Attempts that were not executed do not count.
    std::vector<RouteTarget> targets;
    bool anonymous = false; ///< Requires no key.
    bool resumable = false; ///< A stream may resume at another backend server.
    /// Regions in which requests may run and to which their bodies may be sent; empty means any.
    std::vector<RegionId> allowedRegions = {};

    /// Whether a request may be executed more than once.
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace godwit
