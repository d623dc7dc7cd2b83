#pragma once

#include <godwit/base/error.h>
#include <godwit/base/time.h>
#include <godwit/ports/httpresponse.h>

namespace godwit {

/// Answer of the gateway itself, without a backend server. Statuses that promise that the request
/// has not run get a Retry-After of \a retryAfter.
HttpResponse makeErrorResponse(int status, const Error &error, Duration retryAfter);

} // namespace godwit
