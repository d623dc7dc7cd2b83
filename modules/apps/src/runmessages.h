#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/resultcode.h>
#include <godwit/base/runstate.h>
#include <godwit/ports/modelpin.h>

#include <array>
#include <cstdint>
#include <string>

namespace godwit {

/// Header field of `/run` with a RunHeader, and trailer of its response with a RunOutcome.
inline constexpr const char *RunField = "x-godwit-run";
inline constexpr const char *OutcomeField = "x-godwit-outcome";
inline constexpr const char *TraceField = "traceparent";

/// Describes an attempt that an entry process sends to a host process.
struct RunHeader
{
    RequestId request;
    AttemptId attempt;
    Incarnation incarnation;      ///< Of the host process the attempt is for.
    std::int64_t startBefore = 0; ///< Microseconds on the clock of the host process.
    Duration deadline{0};         ///< Time left for the whole request.
    DeploymentId deployment;
    BackendId backend;
    ModelPin pin; ///< Empty for a plain service.
    CustomerId customer;
    int priority = 0;
    IdempotencyKey key;
    bool atMostOnce = false;
    std::string method = "POST";
    std::string target;
    std::string contentType;
    std::uint64_t resumePosition = 0;

    friend bool operator==(const RunHeader &, const RunHeader &) = default;
};

/// Result of an attempt as reported by the host process.
// False positive: the analyser treats the storage of a std::variant of this type as uninitialised.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct RunOutcome
{
    RunState state = RunState::Unknown;
    int code = 0; ///< A ResultCode; 0 if the response is complete.
    std::string detail;
    int status = 200; ///< HTTP status of the backend server's response.
    std::string contentType;
    Duration retryAfter{0};
    std::uint64_t crashedBoots = 0; ///< Start number of the backend server that crashed, or 0.
    bool replayed = false;          ///< Response of an earlier run with the same idempotency key.

    friend bool operator==(const RunOutcome &, const RunOutcome &) = default;
};

/// Body of `/withdraw`; the reply is a RunOutcome.
struct WithdrawMessage
{
    RequestId request;
    AttemptId attempt;
    Incarnation incarnation;
    std::int64_t startBefore = 0;
    DeploymentId deployment; ///< Set for a request that runs at most once per key.
    IdempotencyKey key;

    friend bool operator==(const WithdrawMessage &, const WithdrawMessage &) = default;
};

template <>
struct JsonNames<RunState>
{
    static constexpr std::array<std::pair<RunState, std::string_view>, 3> table{
            {{RunState::NotRun, "not_run"},
             {RunState::Ran, "ran"},
             {RunState::Unknown, "unknown"}}};
};

template <>
struct JsonFields<RunHeader>
{
    static constexpr auto table = std::tuple{field("request", &RunHeader::request),
                                             field("attempt", &RunHeader::attempt),
                                             field("incarnation", &RunHeader::incarnation),
                                             field("start_before_us", &RunHeader::startBefore),
                                             field("deadline_us", &RunHeader::deadline),
                                             field("deployment", &RunHeader::deployment),
                                             field("backend", &RunHeader::backend),
                                             field("pin", &RunHeader::pin),
                                             field("customer", &RunHeader::customer),
                                             field("priority", &RunHeader::priority),
                                             field("key", &RunHeader::key),
                                             field("at_most_once", &RunHeader::atMostOnce),
                                             field("method", &RunHeader::method),
                                             field("target", &RunHeader::target),
                                             field("content_type", &RunHeader::contentType),
                                             field("resume_position", &RunHeader::resumePosition)};
};

template <>
struct JsonFields<RunOutcome>
{
    static constexpr auto table = std::tuple{field("state", &RunOutcome::state),
                                             field("code", &RunOutcome::code),
                                             field("detail", &RunOutcome::detail),
                                             field("status", &RunOutcome::status),
                                             field("content_type", &RunOutcome::contentType),
                                             field("retry_after_us", &RunOutcome::retryAfter),
                                             field("crashed_boots", &RunOutcome::crashedBoots),
                                             field("replayed", &RunOutcome::replayed)};
};

template <>
struct JsonFields<WithdrawMessage>
{
    static constexpr auto table =
            std::tuple{field("request", &WithdrawMessage::request),
                       field("attempt", &WithdrawMessage::attempt),
                       field("incarnation", &WithdrawMessage::incarnation),
                       field("start_before_us", &WithdrawMessage::startBefore)};
};

} // namespace godwit
