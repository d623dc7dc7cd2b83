#pragma once

#include <godwit/base/time.h>

#include <boost/json/object.hpp>

namespace godwit {

/// Kinds of log lines about requests, with separate rate limits.
enum class RequestLogKind {
    Answer,
    Failure,
    BackendLeaving,      ///< A response stated that its backend server leaves.
    BackendPaused,       ///< A response stated that its backend server wants no requests.
    BackendHeld,         ///< A backend server is held to fewer requests than it has slots.
    BackendReleased,     ///< It is not any more.
    RetryAfterMalformed, ///< A response stated a retry time that could not be read.
};

/// Writes a line about the end of a request, or about a response to it. The number of lines per
/// second is bounded for each kind; a later line of the same kind states how many were left out.
void logRequest(RequestLogKind kind, boost::json::object fields, TimePoint now);

} // namespace godwit
