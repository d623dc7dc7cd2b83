#pragma once

#include <godwit/base/time.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

/// What may be repeated of the requests on a route.
enum class RouteKind {
    Safe,      ///< May run any number of times.
    Unsafe,    ///< Runs at most once for each attempt of the client.
    Streaming, ///< Answers with a series of events; runs at most once unless it is resumable.
};

/// A service that takes a share of the requests on a route.
struct RouteTarget
{
    std::string service;
    std::uint32_t weight = 1;

    friend auto operator<=>(const RouteTarget &, const RouteTarget &) = default;
};

/// Requests for one host whose path begins with a prefix.
struct Route
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    RouteKind kind = RouteKind::Unsafe;
    Duration timeout{0};        ///< Longest time that a request may be kept waiting.
    Duration objective{0};      ///< Time to the response, or to the first event of a stream.
    Duration maxEventGap{0};    ///< Between two events of a stream that is on time.
    std::uint32_t priority = 5; ///< 0 is the most urgent.
    std::uint32_t attempts = 1; ///< Backend servers that one request may be sent to.
    std::vector<RouteTarget> targets;
    bool anonymous = false; ///< Needs no key.
    bool resumable = false; ///< A stream may go on at another backend server.

    /// Whether a request may run more than once.
    bool isRepeatable() const
    {
        return kind == RouteKind::Safe || (kind == RouteKind::Streaming && resumable);
    }

    friend bool operator==(const Route &, const Route &) = default;
};

} // namespace godwit
