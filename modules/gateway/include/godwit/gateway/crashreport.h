#pragma once

#include <godwit/base/time.h>
#include <godwit/gateway/backendinstance.h>
#include <godwit/gateway/requestcontent.h>

#include <cstdint>
#include <vector>

namespace godwit {

/// Progress of a request when the backend server that ran it crashed.
enum class CrashPhase {
    BeforeAnswer, ///< No part of the answer had arrived.
    DuringAnswer, ///< The answer had begun, be it at an earlier backend server, and had not ended.
};

/// Crash of a backend server, and the content that may have caused it.
struct CrashReport
{
    BackendInstance instance;
    /// Content of requests that waited for their response when the backend server crashed, as far
    /// as the reporting process does not know it to be harmless.
    std::vector<ContentKey> suspects;
    /// Requests that the crash broke, each with the content that may be the cause; \c whole is
    /// empty if it is known to be harmless. They also name the suspects of requests whose answer
    /// had begun. Empty in reports of processes that know only \c suspects.
    std::vector<RequestContent> requests = {};
    /// Of the weights of the backend server; 0 if it has none or it is unknown.
    std::uint64_t weightsVersion = 0;
    /// Time of the crash by the clock of the process that holds this object.
    TimePoint crashedAt = {};

    friend bool operator==(const CrashReport &, const CrashReport &) = default;
};

} // namespace godwit
