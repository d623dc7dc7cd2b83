#pragma once

#include <godwit/base/ids.h>
#include <godwit/gateway/requestcontent.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace godwit {

/// One run of a backend server; a restart gives another start time.
struct BackendInstance
{
    BackendId id;
    std::uint64_t startTimeMs = 0; ///< Unix time.

    friend auto operator<=>(const BackendInstance &, const BackendInstance &) = default;
};

/// Crash of a backend server, and the content that may have caused it.
struct CrashReport
{
    BackendInstance instance;
    /// Content of requests that waited for their response when the backend server crashed, as far
    /// as the reporting process does not know it to be harmless.
    std::vector<ContentKey> suspects;

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

} // namespace godwit
