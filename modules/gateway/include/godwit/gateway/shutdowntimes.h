#pragma once

#include <godwit/base/time.h>

namespace godwit {

/// When the requests of a process that shuts down must end.
struct ShutdownTimes
{
    /// Requests that arrive from then on are forwarded only if their own deadline is at or before
    /// answerBy.
    TimePoint lateFrom;
    TimePoint answerBy; ///< Deadline of all requests.
};

} // namespace godwit
