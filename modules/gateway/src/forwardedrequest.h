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
    struct Admission
    {
        std::shared_ptr<const RouteTable> table; ///< Holds the route.
        const Route *route = nullptr;
        std::string service;
        CustomerId customer;
        std::optional<std::uint32_t> priority;
    };

    ForwardedRequest(Gateway &gateway, Admission admission, ClientRequest request,
                     std::shared_ptr<HttpReply> reply);

    /// Sends the first attempt. The gateway holds the object until it has ended.
    void start();

private:
    /// What becomes of the body of the present response.
    enum class BodyMode {
        None,
        Rejection, ///< Dropped; the backend server did not run the request.
        Unusable,  ///< Dropped; it is no complete answer of a backend server.
        Events,    ///< Passed on event by event.
        Buffered,  ///< Collected and sent when complete.
    };

    /// For logs.
    struct PastAttempt
    {
        BackendId backend;
        Duration predictedStartDelay{0};
        bool foundFreeSlot = true;
        TimePoint sentAt;
        std::optional<TimePoint> firstEventsAt;
        std::optional<TimePoint> lastEventsAt;
        std::optional<AttemptOutcome> outcome;
    };

    void startAttempt();
    HttpCall callFor(const BackendChoice &choice) const;
    /// Takes the attempt back if it has not begun at \a time.
    void cancelIfNotStartedBy(TimePoint time);
    HttpStreamHandlers handlersFor(std::uint64_t serial);
    /// Of the most demanding requests that share the queues of the service.
    Duration serviceObjective() const;
    /// Time in which the response has to begin to be in time.
    Duration maxOnTimeDelay() const;
    /// Time in which a response that is late has to begin to be of use.
    Duration maxLateDelay() const;
    std::variant<BackendChoice, NoBackend> chooseBackend();

    void onHead(int status, const HttpHeaders &headers);
    void onData(std::string_view data);
    void onEnd(const Outcome<std::monostate> &outcome);
    void onComplete();
    void onEvents(std::string_view data);
    /// Tells the pool how long the backend server paused before its last events.
    void recordEventTiming();
    void recordResponseStart(PastAttempt &attempt, TimePoint at);
    /// Whether a safe request that its backend server failed is tried at another one.
    bool mayRetryAfterFailure();
    void onClientDisconnected();
    void onDeadline();

    /// Ends the present attempt at its backend server.
    void endAttempt(AttemptOutcome outcome);
    /// Ends the present attempt and tries another backend server or gives up.
    void fail(AttemptOutcome outcome, std::string detail);
    void giveUp(AttemptOutcome outcome, const std::string &detail);
    bool mayRetry(bool mayHaveRun) const;
    /// Within what the client waits.
    Duration maxRetryAfter();
    void refuse(ResultCode code, const std::string &detail, Duration retryAfter);
    void sendBufferedResponse();
    void finishRequest(int status, ResultCode code, const std::string &detail);
    TimePoint now() const;

    Gateway &m_gateway;
    Admission m_admission;
    ClientRequest m_request;
    std::shared_ptr<HttpReply> m_reply;
    TimePoint m_arrivedAt;
    Duration m_earlierWait{0}; ///< By the client on earlier attempts.
    TimePoint m_deadline;      ///< The client or the route waits no longer.
    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_startTimer; ///< Of the present attempt.
    std::vector<PastAttempt> m_attempts;
    std::shared_ptr<CallHandle> m_call;
    std::uint64_t m_attemptSerial =
            0; ///< Of the present attempt; callbacks of earlier ones are ignored.
    BackendResponseHead m_head;
    std::optional<std::uint64_t> m_weightsVersion; ///< With which the stream began.
    BodyMode m_bodyMode = BodyMode::None;
    std::string m_bufferedBody;
    EventSplitter m_events;
    std::uint32_t m_possibleRuns = 0;                  ///< Attempts that may have run.
    RequestUrgency m_urgency = RequestUrgency::OnTime; ///< Of the present attempt.
    bool m_streaming = false;                          ///< The head of the answer has been sent.
    bool m_attemptInProgress = false;                  ///< An attempt is in progress.
    bool m_ended = false;
};

} // namespace godwit
