#pragma once

#include <godwit/base/error.h>
#include <godwit/base/ids.h>
#include <godwit/base/runstate.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpresponse.h>

#include <string>
#include <string_view>

namespace godwit {

/// Body of the response to a failed request, also used for the error event of a stream.
std::string errorBody(const RequestId &id, const Error &error, RunState state, Duration retryAfter);

/// Response to a request that failed before any byte was sent.
HttpResponse errorResponse(const RequestId &id, const Error &error, RunState state,
                           Duration retryAfter);

/// Returns the text of one completion event. Sets \a finishReason if the event contains one.
std::string completionText(std::string_view data, std::string &finishReason);

} // namespace godwit
