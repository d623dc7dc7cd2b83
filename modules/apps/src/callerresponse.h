#pragma once

#include <godwit/base/error.h>
#include <godwit/base/ids.h>
#include <godwit/base/runstate.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpresponse.h>

#include <string>
#include <string_view>

namespace godwit {

/// Body of the response to a request that failed; an error event of a stream has it too.
std::string errorBody(const RequestId &id, const Error &error, RunState state, Duration retryAfter);

/// Response to a request that failed before any byte was sent.
HttpResponse errorResponse(const RequestId &id, const Error &error, RunState state,
                           Duration retryAfter);

/// Text of one event of a completion. \a finishReason is replaced if the event states one.
std::string contentOf(std::string_view data, std::string &finishReason);

} // namespace godwit
