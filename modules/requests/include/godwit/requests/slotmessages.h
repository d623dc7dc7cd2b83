#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/json.h>
#include <godwit/base/resultcode.h>
#include <godwit/base/runstate.h>
#include <godwit/requests/attemptkey.h>
#include <godwit/requests/journalid.h>
#include <godwit/requests/storage.h>

#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace godwit {

/// Attempt to run a non-idempotent request, as received by a host.
struct SlotRequest
{
    AttemptKey attempt;
    IdempotencyKey key;
    Digest bodyDigest;
    TimePoint startBefore;
};

/// Final reply to an attempt.
struct SlotReply
{
    AttemptKey attempt;
    ResultCode code = ResultCode::Ok;
    RunState state = RunState::Unknown; ///< State of the key, not only of this attempt.
    std::string response;               ///< Response of the backend server if code is Ok.
    Duration retryAfter{0};

    friend bool operator==(const SlotReply &, const SlotReply &) = default;
};

/// Instructs the caller to send the request of \a attempt to the backend server after
/// SlotOwner::confirmDispatch() has returned true.
struct SlotDispatch
{
    IdempotencyKey key;
    AttemptKey attempt;
};

/// Message `/slots`: the owner asks a successor for the promise not to take over its slots.
struct PromiseRequest
{
    std::uint64_t id = 0;
    JournalId journal;
    /// Number of the last journal write that was sent. Keys that are dispatched later without a
    /// journal entry are not contained in it.
    std::uint64_t writeNumber = 0;
    Duration duration{0}; ///< Requested duration of the promise.
};

/// Reply to a PromiseRequest.
// The analyser reports an uninitialized object when it inspects the storage of a std::variant that
// holds this type; this is a false positive.
// NOLINTNEXTLINE(clang-analyzer-core.uninitialized.Assign)
struct PromiseReply
{
    std::uint64_t id = 0;
    HostId sender;
    bool granted = false;
};

template <>
struct JsonFields<PromiseRequest>
{
    static constexpr auto table =
            std::tuple{field("id", &PromiseRequest::id), field("journal", &PromiseRequest::journal),
                       field("beat", &PromiseRequest::writeNumber),
                       field("span_us", &PromiseRequest::duration)};
};

template <>
struct JsonFields<PromiseReply>
{
    static constexpr auto table =
            std::tuple{field("id", &PromiseReply::id), field("from", &PromiseReply::sender),
                       field("granted", &PromiseReply::granted)};
};

/// Actions that a SlotOwner or SlotSuccessor requests from its caller.
struct SlotActions
{
    struct OutgoingPromiseRequest
    {
        HostId to;
        PromiseRequest request;
    };

    std::vector<SlotStorageCall> storage;
    std::vector<SlotDispatch> dispatches;
    std::vector<SlotReply> replies;
    std::vector<OutgoingPromiseRequest> promiseRequests;
};

} // namespace godwit
