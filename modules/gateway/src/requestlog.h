#pragma once

#include <godwit/base/time.h>

#include <boost/json/object.hpp>

namespace godwit {

/// Kinds of log lines about requests, with separate rate limits.
enum class RequestLogKind { Answer, Failure };

/// Writes a line about the end of a request. The number of lines per second is bounded for each
/// kind; a later line of the same kind states how many were left out.
void logRequest(RequestLogKind kind, boost::json::object fields, TimePoint now);

} // namespace godwit
