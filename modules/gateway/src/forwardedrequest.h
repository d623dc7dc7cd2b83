#pragma once

#include <godwit/gateway/eventsplitter.h>
#include <godwit/gateway/gateway.h>

#include <boost/json/object.hpp>

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwit {

/// State of one request from its admission to its final response.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest>
{
public:
    /// Result of the admission of the request.
    struct Admission
    {
        std::shared_ptr<const RouteTable> table; ///< Owns the route.
        const Route *route = nullptr;
        std::string service;
        CustomerId customer;
        std::optional<std::uint32_t> priority;
        AllowedRegions regions; ///< In which the request and its retries may run.
    };

    ForwardedRequest(Gateway &gateway, Admission admission, ClientRequest request,
                     std::shared_ptr<HttpReply> reply);

    /// Sends the first attempt. The gateway keeps the object alive until the request has ended.
    void start();

    /// Gives up if the content of the request is suspended and no response has started.
    void cancelIfSuspended();

    /// Size of the part of the response body that is buffered; 0 for a stream.
    std::size_t bufferedBytes() const;

    /// Ends the current attempt because of the size of its response body.
    void failTooLarge();

    /// Sends the request to another backend server if the current attempt is at \a instance and no
    /// byte of it has been sent.
    void moveIfUnsent(const BackendInstance &instance);

    /// Moves the deadline to \a limit if it is later.
    void limitDeadline(TimePoint limit);

    /// Cancels the current attempt soon after its weights become outdated if its response has not
    /// started by then. Called again when a newer version is announced.
    void limitStart();

private:
    /// How the body of the current response is handled.
    enum class BodyMode {
        None,
        Rejection, ///< Discarded; the backend server did not execute the request.
        Unusable,  ///< Discarded; not a valid response of a backend server.
        Events,    ///< Streamed to the client event by event.
        Buffered,  ///< Collected and sent once complete.
    };

    /// Record of an attempt, for timing and logs.
    struct PastAttempt
    {
        BackendId backend;
        BackendInstance instance;
        Duration predictedStartDelay{0};
        bool foundFreeSlot = true;
        /// Of the weights, by the record of the backend server.
        std::optional<std::uint64_t> recordedVersion = {};
        bool resumesStream = false; ///< Continues a stream that another attempt or request began.
        HttpEndpoint endpoint;
        TimePoint sentAt;
        /// Calls that its connection had carried before; empty if the request was not sent.
        std::optional<std::size_t> earlierCalls = {};
        std::optional<int> status = {}; ///< Of the response.
        std::optional<TimePoint> headAt = {};
        bool isIdentified = false; ///< The response states the id of the request.
        std::optional<TimePoint> firstEventsAt = {};
        std::optional<TimePoint> lastEventsAt = {};
        std::optional<std::uint64_t> weightsVersion = {}; ///< Stated by the response.
        /// Time from the expiry of its weights to the start of the response, if it started later.
        std::optional<Duration> outdatedFor = {};
        /// Time from the end of the grace period of its weights to the cancellation because of
        /// them; negative if it was cancelled before, as it should be.
        std::optional<Duration> cancelledAfterGrace = {};
        /// Time, since it was sent, in which nothing of any response of the backend server had
        /// arrived when its response started (the longer one of head and first event) or when it
        /// was cancelled.
        Duration quietFor{0};
        std::uint32_t silences = 0; ///< Silence timeouts that have passed.
        bool isSilent = false;      ///< One has passed since the last events.
        std::optional<AttemptOutcome> outcome = {};
    };

    /// An attempt whose stream has begun and whose backend server has been silent since, while
    /// another attempt to resume the stream is in progress.
    struct StalledAttempt
    {
        std::size_t index; ///< In m_attempts.
        std::uint64_t serial;
        std::shared_ptr<CallHandle> call;
        BackendResponseHead head;
        bool endsWithConnection;
        QueuePosition position;
        EventSplitter eventSplitter;
    };

    void startAttempt();
    void startAttemptAt(const BackendChoice &choice);
    /// Counts a choice for which cold backend servers were passed over.
    void recordPassedOver();
    PastAttempt &currentAttempt() { return m_attempts[m_currentAttempt]; }
    const PastAttempt &currentAttempt() const { return m_attempts[m_currentAttempt]; }
    /// Number of attempts of which a backend server may have received something.
    std::size_t sentAttempts() const;
    /// Ends the request because its content crashes backend servers.
    void refuseSuspended();
    /// Whether the backend server has begun to answer the current attempt.
    bool hasResponseStarted() const;
    /// Of the weights of the backend server of \a attempt; 0 if it has none or it is unknown.
    static std::uint64_t weightsVersionOf(const PastAttempt &attempt);
    /// The current attempt has answered the request to its end.
    void recordCompletion();
    HttpCall callFor(const BackendChoice &choice) const;
    /// Cancels the current attempt, whose weights became outdated at \a expiry, if its response has
    /// not started, and sends the request elsewhere.
    void cancelIfNotStarted(TimePoint expiry);
    /// Whether the response to the current attempt has not started, and may start with weights that
    /// are outdated or become so.
    bool mayStartOutdated() const;
    HttpStreamHandlers handlersFor(std::uint64_t serial);
    /// The shortest objective among this request and the common ones of its service, which share
    /// the queues.
    Duration serviceObjective() const;
    /// Time within which the response must start to meet the objective.
    Duration maxOnTimeDelay() const;
    /// Time within which a response that misses the objective must start to be of use.
    Duration maxLateDelay() const;
    std::variant<BackendChoice, NoBackend> chooseBackend();
    /// By which the request competes with others.
    Demand demand() const;

    void onHead(int status, const HttpHeaders &headers);
    /// Whether a response with \a headers belongs to this request. Any other response, be it a
    /// success, an error or a refusal, says nothing about whether the request has run.
    bool identifiesRequest(const HttpHeaders &headers) const;
    void onData(std::string_view data);
    void onEnd(const Outcome<std::monostate> &outcome);
    void onComplete();
    void onEvents(std::string_view data);
    void passOn(std::string events);
    /// Keeps \a data until the body is complete, or ends the attempt if that takes too much memory.
    void bufferBody(std::string_view data);
    void discardBufferedBody();
    /// Looks for another backend server unless the current one sends something within the silence
    /// timeout; of a stream that has begun only events count. Does nothing if the route does not
    /// allow another attempt.
    void restartSilenceTimer();
    /// Longest usual time until the response, or between two events of a stream.
    Duration silenceTimeout() const;
    /// Sends the request to another backend server if one can accept it, and waits on otherwise.
    void onSilence();
    void reportSilence();
    /// The backend server has gone on after a silence, if there was one.
    void recordSilenceEnd();
    /// Keeps the current attempt beside the next one until one of them sends an event.
    void setAsideStalledAttempt();
    /// Makes the stalled attempt the current one again, in place of the one that was to resume it.
    void returnToStalledAttempt();
    void dropStalledAttempt(AttemptOutcome outcome);
    void onStalledData(std::string_view data);
    void onStalledEnd(const Outcome<std::monostate> &outcome);
    /// Reports the start of the response, or the gap since its last events, to the pool.
    void recordEventTiming();
    void recordResponseStart(PastAttempt &attempt, TimePoint at);
    void recordWeights(PastAttempt &attempt, TimePoint at);
    /// Updates the quiet time of the current attempt, which has not started yet.
    void recordQuietTime();
    /// Whether a safe request that failed at its backend server is retried at another one. Consumes
    /// a retry if so.
    bool mayRetryAfterFailure();
    void onClientDisconnected();
    void startDeadlineTimer();
    void onDeadline();

    /// Ends the current attempt.
    void endAttempt(AttemptOutcome outcome);
    void recordEnd(PastAttempt &attempt, QueuePosition position, AttemptOutcome outcome);
    /// Ends the current attempt, then retries the request or gives up.
    void fail(AttemptOutcome outcome, std::string detail);
    /// Fails because the backend server has closed the connection, which may be a crash.
    void failAfterClose(std::string detail);
    /// Fails because the response has ended, by itself or with its connection, before the stream.
    void failUnfinishedStream(std::string detail);
    void giveUp(AttemptOutcome outcome, const std::string &detail);
    bool mayRetry(bool mayHaveRun) const;
    /// Limit of the Retry-After that the client is expected to honour, with jitter.
    Duration maxRetryAfter();
    void refuse(ResultCode code, const std::string &detail, Duration retryAfter);
    void sendBufferedResponse();
    void finishRequest(int status, ResultCode code, const std::string &detail);
    void logEnd(int status, ResultCode code, const std::string &detail) const;
    boost::json::object describe(const PastAttempt &attempt) const;
    TimePoint now() const;

    Gateway &m_gateway;
    Admission m_admission;
    ClientRequest m_request;
    RequestContent m_content;
    std::shared_ptr<HttpReply> m_reply;
    TimePoint m_arrivedAt;
    Duration m_earlierWait{0}; ///< Estimate of the time that the client spent on earlier attempts.
    TimePoint m_deadline;      ///< The earliest of those of client, route and shutdown.
    std::unique_ptr<Timer> m_deadlineTimer;
    std::unique_ptr<Timer> m_startTimer;   ///< Of the current attempt.
    std::unique_ptr<Timer> m_silenceTimer; ///< Of the current attempt.
    std::vector<PastAttempt> m_attempts;
    std::size_t m_currentAttempt = 0; ///< In m_attempts.
    std::optional<StalledAttempt> m_stalled;
    std::vector<PassedOverBackend> m_passedOver; ///< When the last attempt was placed or refused.
    std::shared_ptr<CallHandle> m_call;
    std::uint64_t m_attemptSerial = 0; ///< Callbacks of earlier attempts are ignored.
    std::uint64_t m_lastSerial = 0;
    BackendResponseHead m_responseHead;
    std::optional<std::uint64_t> m_weightsVersion; ///< Of the start of the stream.
    BodyMode m_bodyMode = BodyMode::None;
    std::string m_bufferedBody;
    std::size_t m_discardedBytes = 0; ///< Of the body of the current response, which is not used.
    bool m_hasDeclaredLength = false; ///< Of the body of the current response.
    /// The close of the connection ends the current response, which has neither length nor chunks.
    bool m_endsWithConnection = false;
    /// By which the response of the current attempt identifies this request.
    std::optional<HttpCorrelation> m_correlation;
    EventSplitter m_eventSplitter;
    /// Attempts, besides the current one, that may have been executed.
    std::uint32_t m_possibleRuns = 0;
    DemandTreatment m_treatment;
    QueuePosition m_position{RequestUrgency::OnTime}; ///< Of the current attempt.
    bool m_streaming = false;                         ///< The head of the response has been sent.
    bool m_attemptInProgress = false;
    bool m_isTrial = false; ///< The current attempt runs although its content is suspended.
    bool m_ended = false;
};

} // namespace godwit
