#pragma once

#include <godwit/base/time.h>

#include <optional>
#include <string>

namespace godwit {

/// What a response states about whether its backend server accepts further requests.
struct BackendAvailability
{
    bool leaving = false; ///< Finishes its requests, then exits.
    /// The backend server wants no requests for this long. Never negative, and bounded.
    std::optional<Duration> retryAfter;
    /// Start of a value that could not be read as a retry time; empty if there is none.
    std::string malformedRetryAfter;

    friend bool operator==(const BackendAvailability &, const BackendAvailability &) = default;
};

} // namespace godwit
