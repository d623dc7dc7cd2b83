#pragma once

#include <godwit/base/resultcode.h>
#include <godwit/gateway/backendpool.h>

#include <boost/json/array.hpp>

#include <string>

namespace godwit {

/// Code and text of the refusal of a request for which there is no backend server. The text counts
/// those that were passed over because of what they have stated.
ResultCode refusalCode(const NoBackend &none);
std::string refusalDetail(const NoBackend &none);

/// Describes the first of \a backends for a log line, with the ends of their pauses in milliseconds
/// since \a arrivedAt.
boost::json::array describePassedOver(const std::vector<PassedOverBackend> &backends,
                                      TimePoint arrivedAt);

} // namespace godwit
