#pragma once

#include <godwit/gateway/eventsplitter.h>
#include <godwit/gateway/gateway.h>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwit {

/// One request from its admission to its final answer.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /// What admission has found out about the request.
    struct Terms
    {
        std::shared_ptr<const RouteTable> table; ///< Holds the route.
        const Route *route = nullptr;
        std::string service;
        CustomerId customer;
        std::optional<std::uint32_t> priority;
    };

    ForwardedRequest(Gateway &gateway, Terms terms, ForwardRequest request,
                     std::shared_ptr<HttpReply> reply);

    /// Sends the first attempt. The gateway holds the object until it has ended.
    void start();

private:
    /// What becomes of the body of the present response.
    enum class Body {
        None,
        Rejection, ///< Dropped; the backend server did not run the request.
        Unusable,  ///< Dropped; it is no complete answer of a backend server.
        Events,    ///< Passed on event by event.
        Whole,     ///< Collected and sent when complete.
    };

    /// For logs.
    struct PastAttempt
    {
        BackendId backend;
        Duration predictedStart{0};
        bool foundFreeSlot = true;
        TimePoint sentAt;
        std::optional<TimePoint> firstEventsAt;
        std::optional<TimePoint> lastEventsAt;
        std::optional<AttemptEnd> end;
    };

    void attempt();
    HttpCall callFor(const BackendChoice &choice) const;
    /// Takes the attempt back if it has not begun at \a time.
    void withdrawAt(TimePoint time);
    HttpStreamHandlers handlersFor(std::uint64_t serial);
    /// Of the most demanding requests that share the queues of the service.
    Duration sharedObjective() const;
    /// Time in which the response has to begin to be in time.
    Duration inTimeLimit() const;
    /// Time in which a response that is late has to begin to be of use.
    Duration lateLimit() const;
    std::variant<BackendChoice, NoBackend> chooseBackend();

    void onHead(int status, const HttpHeaders &headers);
    void onData(std::string_view data);
    void onEnd(const Outcome<std::monostate> &outcome);
    void onComplete();
    void onEvents(std::string_view data);
    /// Tells the pool how long the backend server paused before its last events.
    void notePace();
    void noteStart(PastAttempt &attempt, TimePoint at);
    /// Whether a safe request that its backend server failed is tried at another one.
    bool mayTryAfterFailure();
    void onClientLeft();
    void onDeadline();

    /// Ends the present attempt at its backend server.
    void endAttempt(AttemptEnd end);
    /// Ends the present attempt and tries another backend server or gives up.
    void fail(AttemptEnd end, std::string detail);
    void giveUp(AttemptEnd end, const std::string &detail);
    bool mayRepeat(bool mayHaveRun) const;
    /// Within what the client waits.
    Duration longestRetryAfter();
    void refuse(ResultCode code, const std::string &detail, Duration retryAfter);
    void sendWhole();
    void end(int status, ResultCode code, const std::string &detail);
    TimePoint now() const;

    Gateway &m_gateway;
    Terms m_terms;
    ForwardRequest m_request;
    std::shared_ptr<HttpReply> m_reply;
    TimePoint m_arrivedAt;
    Duration m_spent{0}; ///< By the client on earlier attempts.
    TimePoint m_endAt;   ///< The client or the route waits no longer.
    std::unique_ptr<Timer> m_deadline;
    std::unique_ptr<Timer> m_withdrawal; ///< Of the present attempt.
    std::vector<PastAttempt> m_attempts;
    std::shared_ptr<CallHandle> m_call;
    std::uint64_t m_serial = 0; ///< Of the present attempt; callbacks of earlier ones are ignored.
    BackendReplyHead m_head;
    std::optional<std::uint64_t> m_weightsVersion; ///< With which the stream began.
    Body m_body = Body::None;
    std::string m_whole;
    EventSplitter m_events;
    std::uint32_t m_runs = 0;                          ///< Attempts that may have run.
    RequestUrgency m_urgency = RequestUrgency::InTime; ///< Of the present attempt.
    bool m_streaming = false;                          ///< The head of the answer has been sent.
    bool m_attempting = false;                         ///< An attempt is in progress.
    bool m_ended = false;
};

} // namespace godwit
