#pragma once

#include "requestservice.h"

namespace godwit {

/// Size limit of a response that is collected before it is sent.
constexpr std::size_t CollectedResponseLimit = 8UL * 1024 * 1024;

struct RequestService::Request
{
    CallerRequest call;
    std::shared_ptr<HttpReply> reply;
    std::optional<RequestTracker> tracker;
    std::optional<Span> span;
    TimePoint arrived;
    TimePoint deadline;
    ModelPin pin;
    RoutingRequest routing; ///< For a model request; set by the first selection.
    std::set<BackendId> triedBackends;
    std::map<AttemptKey, AttemptPtr> attempts;
    double weight = 1; ///< Weight of the customer in fair queueing.
    bool atMostOnce = false;
    bool queued = false;
    bool waiting = false;         ///< Contained in m_waiting.
    bool responseStarted = false; ///< Bytes have been sent to the caller.
    bool closed = false;
    ResultCode lastCode = ResultCode::Ok;
    std::string lastDetail;
    Duration lastRetryAfter{0};
    std::string text; ///< Response of a request that is not streamed.
    std::string finishReason;
    RunOutcome outcome;
};

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
    std::uint64_t tokens = 0;        ///< Position after the last received frame.
    std::size_t unconsumedBytes = 0; ///< Received bytes not yet consumed in flow control.
    bool holdsPermit = false;
    bool isRouted = false; ///< Chosen by m_selector, which must be notified of the end.
    bool isTrackedForPoison = false;
};

} // namespace godwit
