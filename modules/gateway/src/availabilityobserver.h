#pragma once

#include <godwit/gateway/gateway.h>

namespace godwit {

/// An attempt whose responses are observed; the id of its request is for the log.
struct ObservedAttempt
{
    BackendInstance backend;
    RequestId request;
};

/// Returns \a handlers extended to record in \a pool, before they run, what any response on the
/// connection of \a attempt states about its backend server: also one that comes after the attempt
/// has ended, an interim one, and a late one to an earlier call. All of them are attributed to the
/// instance of the attempt, also one of another process at its address, as the instance is gone
/// then. \a environment and \a pool must outlive the calls of the handlers. \a onUnavailable is
/// called when the instance has become unavailable.
HttpStreamHandlers observeAvailability(HttpStreamHandlers handlers, ObservedAttempt attempt,
                                       const Gateway::Environment &environment, BackendPool &pool,
                                       std::function<void()> onUnavailable);

} // namespace godwit
