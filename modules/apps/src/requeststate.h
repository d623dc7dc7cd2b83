#pragma once

#include "requestservice.h"

namespace godwit {

/// Bytes of a response that is collected before it is sent.
constexpr std::size_t WholeResponseLimit = 8UL * 1024 * 1024;

/// A request in progress.
struct RequestService::Request
{
    CallerRequest call;
    std::shared_ptr<HttpReply> reply;
    std::optional<RequestTracker> tracker;
    std::optional<Span> span;
    TimePoint arrived;
    TimePoint deadline;
    ModelPin pin;
    RoutingRequest routing; ///< Of a model request; filled at the first choice.
    std::set<BackendId> tried;
    std::map<AttemptKey, AttemptPtr> attempts;
    double weight = 1; ///< Of the customer in fair queueing.
    bool atMostOnce = false;
    bool queued = false;
    bool waiting = false; ///< In m_waiting.
    bool started = false; ///< Bytes have been sent to the caller.
    bool closed = false;
    ResultCode lastCode = ResultCode::Ok;
    std::string lastDetail;
    Duration lastRetryAfter{0};
    std::string text; ///< Response of a request that is not streamed.
    std::string finishReason;
    RunOutcome outcome;
};

/// One attempt of a request.
struct RequestService::Attempt
{
    AttemptKey key;
    AttemptTerms terms;
    BackendDirectory::Target target;
    Endpoint endpoint;
    std::shared_ptr<WireStream> stream;
    TokenFrameReader reader;
    TimePoint sentAt;
    Duration firstBytes{0};
    std::uint64_t tokens = 0; ///< Position after the last frame.
    std::size_t owed = 0;     ///< Received bytes that the caller has not taken.
    bool hasPlace = false;
    bool isRouted = false; ///< Chosen by the selector, which must be told the end.
    bool inPoison = false;
};

} // namespace godwit
