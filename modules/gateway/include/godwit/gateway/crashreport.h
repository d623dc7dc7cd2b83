#pragma once

#include <godwit/gateway/backendinstance.h>
#include <godwit/gateway/requestcontent.h>

#include <vector>

namespace godwit {

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
