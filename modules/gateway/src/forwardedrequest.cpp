#include "forwardedrequest.h"

#include "availabilityobserver.h"
#include "errorresponse.h"
#include "passedover.h"
#include "retryafter.h"

#include <algorithm>

namespace godwit {

namespace {

/// Time that a backend server gets beyond the deadline that it was told, to deliver its own timeout
/// response.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(120);
constexpr Duration ConnectTimeout = WarmupLimiter::MaxConnectionWait;
/// A connection attempt may take this fraction of the remaining time.
constexpr int ConnectTimeoutDivisor = 3;
/// Attempts allowed in addition to those of the route, because rejected ones do not count towards
/// that limit.
constexpr std::size_t MaxRejectedAttempts = 2;
/// An attempt with less time than this could not be answered before the client gives up, and on a
/// congested link it would reach its backend server long after that.
constexpr Duration MinRetryTime = std::chrono::milliseconds(50);
/// Retry-After if the time until a backend server has a free slot is unknown.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(1500);
/// Time after the start deadline of a backend server with outdated weights at which a request that
/// has not started there is cancelled. The grace period ends VersionWindow::StartMargin after the
/// start deadline; links that carry weights may delay the cancellation by 0.4 s of that.
constexpr Duration CancelDelay = std::chrono::milliseconds(100);
/// Safety margin, so that prediction errors do not admit requests that start just too late.
constexpr Duration StartMargin = std::chrono::milliseconds(20);

constexpr int BadGateway = 502;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

bool mayHaveRun(AttemptOutcome outcome)
{
    return outcome != AttemptOutcome::Rejected && outcome != AttemptOutcome::OtherProcess
           && outcome != AttemptOutcome::Unreachable && outcome != AttemptOutcome::Withdrawn;
}

} // namespace

ForwardedRequest::ForwardedRequest(Gateway &gateway, Admission admission, ClientRequest request,
                                   std::shared_ptr<HttpReply> reply)
    : m_gateway(gateway)
    , m_admission(std::move(admission))
    , m_request(std::move(request))
    , m_content(describeContent(m_request, m_admission.service, m_admission.customer))
    , m_reply(std::move(reply))
    , m_arrivedAt(now())
{
    const Duration clientTimeout =
            m_request.clientTimeout.value_or(m_gateway.m_options.defaultClientTimeout);
    m_earlierWait = m_gateway.estimateEarlierWait(m_admission.route->name, m_admission.customer,
                                                  clientTimeout);
    m_deadline = m_arrivedAt + m_gateway.timeout(m_request, *m_admission.route);
    if (m_gateway.m_shutdown)
        m_deadline = std::min(m_deadline, m_gateway.m_shutdown->answerBy);
}

TimePoint ForwardedRequest::now() const
{
    return m_gateway.m_environment.scheduler.now();
}

void ForwardedRequest::start()
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_reply->onClosed([weak] {
        if (const auto self = weak.lock())
            self->onClientDisconnected();
    });
    if (m_ended)
        return;
    startDeadlineTimer();
    startAttempt();
}

void ForwardedRequest::startDeadlineTimer()
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_deadlineTimer =
            m_gateway.m_environment.scheduler.after(m_deadline + DeadlineGrace - now(), [weak] {
                if (const auto self = weak.lock())
                    self->onDeadline();
            });
}

void ForwardedRequest::limitDeadline(TimePoint limit)
{
    if (m_deadline <= limit)
        return;
    m_deadline = limit;
    startDeadlineTimer();
}

Duration ForwardedRequest::serviceObjective() const
{
    const auto tracker = m_gateway.m_objectiveTrackers.find(m_admission.service);
    const Duration own = m_admission.route->objective;
    return tracker == m_gateway.m_objectiveTrackers.end()
                   ? own
                   : std::min(own, tracker->second.shortest());
}

Duration ForwardedRequest::maxOnTimeDelay() const
{
    const Duration elapsed = now() - m_arrivedAt + m_earlierWait;
    const Duration objective =
            std::min(m_admission.route->objective,
                     m_gateway.m_objectiveTrackers[m_admission.service].shortest());
    return std::min(m_deadline - now(), objective - elapsed - StartMargin);
}

Duration ForwardedRequest::maxLateDelay() const
{
    // A slot serves a request in time or a late one, and queues hold as many in time as can start.
    if (m_earlierWait > Duration::zero())
        return Duration::zero();
    return std::min((m_deadline - now()) / 2, serviceObjective() - StartMargin);
}

std::variant<BackendChoice, NoBackend> ForwardedRequest::chooseBackend()
{
    BackendQuery query;
    query.service = m_admission.service;
    query.model = m_request.model;
    query.promptTokens = m_request.promptTokens;
    query.outputTokens = m_request.expectedOutputTokens.value_or(m_request.maxOutputTokens);
    query.version = m_weightsVersion;
    query.regions = m_admission.regions;
    for (const PastAttempt &it : m_attempts)
        query.excluded.insert(it.backend);
    const bool isFirstAttempt = m_attempts.empty();
    if (isFirstAttempt)
        m_treatment = m_gateway.recordDemand(m_admission.service, demand());
    // A request that may have run is not shed any more.
    if (m_possibleRuns > 0 || m_streaming)
        m_treatment.isSurplus = false;
    // A client that already receives events is waiting for the next one, so the objective for the
    // first event does not apply.
    const AdmissionLimits limits{m_streaming ? (m_deadline - now()) / 2 : maxOnTimeDelay(),
                                 maxLateDelay()};
    auto found = admit(m_gateway.m_backends, query, limits, m_treatment, now());
    m_position = query.position();
    if (isFirstAttempt)
        m_gateway.recordAdmission(m_admission.service, demand(), m_treatment, found,
                                  m_position.urgency);
    return found;
}

Demand ForwardedRequest::demand() const
{
    const std::uint32_t tokens =
            m_request.promptTokens
            + m_request.expectedOutputTokens.value_or(m_request.maxOutputTokens);
    return {.kind = m_admission.route->name,
            .customer = m_admission.customer,
            .priority = m_admission.priority.value_or(DefaultPriority),
            .work = std::max(1.0, static_cast<double>(tokens))};
}

void ForwardedRequest::refuseSuspended()
{
    const std::string detail = "requests with this content crashed backend servers";
    m_gateway.m_environment.metrics.recordSuspended();
    if (m_possibleRuns > 0 || m_streaming)
        giveUp(AttemptOutcome::Broken, detail);
    else
        refuse(ResultCode::PoisonSuspected, detail, CrashSuspects::ShortSuspension);
}

bool ForwardedRequest::hasResponseStarted() const
{
    if (m_bodyMode == BodyMode::Events)
        return currentAttempt().firstEventsAt.has_value();
    return m_bodyMode != BodyMode::None;
}

std::uint64_t ForwardedRequest::weightsVersionOf(const PastAttempt &attempt)
{
    return attempt.weightsVersion.value_or(attempt.recordedVersion.value_or(0));
}

void ForwardedRequest::cancelIfSuspended()
{
    if (m_ended || !m_attemptInProgress || hasResponseStarted() || m_isTrial
        || !m_gateway.m_crashSuspects.isSuspended(m_content, now()))
        return;
    if (m_call)
        m_call->cancel();
    endAttempt(AttemptOutcome::Abandoned);
    ++m_possibleRuns;
    refuseSuspended();
}

void ForwardedRequest::moveIfUnsent(const BackendInstance &instance)
{
    if (m_ended || !m_attemptInProgress || currentAttempt().instance != instance || !m_call
        || !m_call->cancelUnsent())
        return;
    fail(AttemptOutcome::Withdrawn, "the backend server wants no new requests");
}

void ForwardedRequest::startAttempt()
{
    const auto decision = m_gateway.m_crashSuspects.decide(m_content, now());
    m_isTrial = decision == CrashSuspects::Decision::Trial;
    if (decision == CrashSuspects::Decision::Refuse) {
        refuseSuspended();
        return;
    }
    const auto found = chooseBackend();
    m_gateway.recordHoldChanges();
    if (const auto *choice = std::get_if<BackendChoice>(&found)) {
        startAttemptAt(*choice);
        return;
    }
    const auto &none = std::get<NoBackend>(found);
    m_passedOver = none.passedOver;
    recordPassedOver();
    if (m_possibleRuns > 0 || m_streaming)
        giveUp(AttemptOutcome::Broken, "no other backend server can accept the request");
    else
        refuse(refusalCode(none), refusalDetail(none),
               none.isWaitKnown() ? none.shortestWait : DefaultRetryAfter);
}

void ForwardedRequest::recordPassedOver()
{
    const auto isCold = [](const PassedOverBackend &it) {
        return it.why.reason == UnavailabilityReason::Cold;
    };
    if (std::ranges::any_of(m_passedOver, isCold))
        m_gateway.m_environment.metrics.recordColdPassedOver();
}

void ForwardedRequest::startAttemptAt(const BackendChoice &choice)
{
    m_passedOver = choice.passedOver;
    recordPassedOver();
    m_attempts.push_back({.backend = choice.id,
                          .instance = choice.instance(),
                          .predictedStartDelay = choice.predictedStartDelay,
                          .foundFreeSlot = choice.hasFreeSlot,
                          .recordedVersion = choice.weightsVersion,
                          .resumesStream = m_eventSplitter.lastId() || m_request.lastEventId,
                          .endpoint = choice.endpoint,
                          .sentAt = now()});
    m_currentAttempt = m_attempts.size() - 1;
    m_attemptSerial = ++m_lastSerial;
    m_bodyMode = BodyMode::None;
    discardBufferedBody();
    m_attemptInProgress = true;
    m_gateway.m_backends.onAttemptStarted(choice.id, m_position, now());
    HttpCall call = callFor(choice);
    m_correlation = call.correlation;
    m_call = m_gateway.m_environment.send(
            std::move(call),
            observeAvailability(handlersFor(m_attemptSerial), {choice.instance(), m_request.id},
                                m_gateway.m_environment, m_gateway.m_backends,
                                [&gateway = m_gateway, instance = choice.instance()] {
                                    gateway.moveUnsent(instance);
                                }));
    m_startTimer.reset();
    restartSilenceTimer();
    limitStart();
}

void ForwardedRequest::limitStart()
{
    if (!m_attemptInProgress || !currentAttempt().recordedVersion)
        return;
    // The head of a stream states what the record may not know yet.
    const auto version = m_bodyMode == BodyMode::Events && m_responseHead.weightsVersion
                                 ? m_responseHead.weightsVersion
                                 : currentAttempt().recordedVersion;
    const auto expiry = m_gateway.m_backends.versionExpiry(m_request.model, *version);
    if (!expiry)
        return;
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_startTimer = m_gateway.m_environment.scheduler.after(
            std::max(Duration::zero(), *expiry + CancelDelay - now()),
            [weak, serial = m_attemptSerial, expiry = *expiry] {
                const auto self = weak.lock();
                if (self && !self->m_ended && self->m_attemptInProgress
                    && self->m_attemptSerial == serial)
                    self->cancelIfNotStarted(expiry);
            });
}

bool ForwardedRequest::mayStartOutdated() const
{
    if (m_bodyMode != BodyMode::Events)
        return m_bodyMode == BodyMode::None;
    // The head of an event stream may be sent on admission, before the engine works on the request.
    const auto &stated = m_responseHead.weightsVersion;
    const bool isNewest =
            stated && !m_gateway.m_backends.versionExpiry(m_request.model, *stated).has_value();
    return !currentAttempt().firstEventsAt && !isNewest;
}

void ForwardedRequest::cancelIfNotStarted(TimePoint expiry)
{
    if (!mayStartOutdated())
        return;
    recordQuietTime();
    currentAttempt().cancelledAfterGrace = now() - expiry - VersionWindow::StartMargin;
    if (m_call)
        m_call->cancel();
    fail(AttemptOutcome::Abandoned, "the response did not start before the weights of the backend "
                                    "server became outdated");
}

HttpCall ForwardedRequest::callFor(const BackendChoice &choice) const
{
    const Duration remaining = m_deadline - now();
    AttemptParameters parameters;
    parameters.endpoint = choice.endpoint;
    parameters.backend = choice.id;
    parameters.remainingTime = remaining;
    parameters.customer = m_admission.customer;
    if (m_admission.priority || m_position.urgency == RequestUrgency::Late)
        parameters.priority = m_position.effectivePriority();
    parameters.weightsVersion = m_weightsVersion;
    parameters.lastEventId =
            m_eventSplitter.lastId() ? m_eventSplitter.lastId() : m_request.lastEventId;
    HttpCall call = m_gateway.m_environment.protocol.forward(m_request, parameters);
    // Servers with other ids may have been reached at this address: one that has started again
    // there, or one whose record is outdated. The id of the request does not tell their responses
    // apart.
    call.needsNewConnection = std::ranges::any_of(m_attempts, [&](const PastAttempt &it) {
        return it.endpoint == choice.endpoint && it.outcome;
    });
    call.connectTimeout = std::min(ConnectTimeout, remaining / ConnectTimeoutDivisor);
    call.idleTimeout = remaining + DeadlineGrace;
    return call;
}

HttpStreamHandlers ForwardedRequest::handlersFor(std::uint64_t serial)
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    const auto current = [weak, serial] {
        const auto self = weak.lock();
        return self && self->m_attemptSerial == serial && self->m_attemptInProgress
                               && !self->m_ended
                       ? self
                       : nullptr;
    };
    const auto stalled = [weak, serial] {
        const auto self = weak.lock();
        return self && self->m_stalled && self->m_stalled->serial == serial && !self->m_ended
                       ? self
                       : nullptr;
    };
    HttpStreamHandlers handlers;
    handlers.onSending = [current](std::size_t earlierCalls) {
        if (const auto self = current())
            self->currentAttempt().earlierCalls = earlierCalls;
    };
    handlers.onHeader = [current](int status, const HttpHeaders &headers) {
        if (const auto self = current())
            self->onHead(status, headers);
    };
    handlers.onData = [current, stalled](std::string_view data) {
        if (const auto self = current())
            self->onData(data);
        else if (const auto other = stalled())
            other->onStalledData(data);
    };
    handlers.onEnd = [current, stalled](const Outcome<std::monostate> &outcome) {
        if (const auto self = current())
            self->onEnd(outcome);
        else if (const auto other = stalled())
            other->onStalledEnd(outcome);
    };
    return handlers;
}

bool ForwardedRequest::mayRetryAfterFailure()
{
    if (m_admission.route->kind != RouteKind::Safe
        || m_possibleRuns + 1 >= m_admission.route->maxAttempts)
        return false;
    // If no retry is possible, the error response at hand is sent to the client.
    return now() + MinRetryTime < m_deadline
           && m_gateway.m_retryBudget.tryAcquire(m_admission.service, now());
}

void ForwardedRequest::endAttempt(AttemptOutcome outcome)
{
    if (!std::exchange(m_attemptInProgress, false))
        return;
    m_silenceTimer.reset();
    m_gateway.m_bufferedBytes -= m_bufferedBody.size();
    recordEnd(currentAttempt(), m_position, outcome);
    m_call.reset();
}

void ForwardedRequest::recordEnd(PastAttempt &attempt, QueuePosition position,
                                 AttemptOutcome outcome)
{
    attempt.outcome = outcome;
    if (!attempt.firstEventsAt)
        m_gateway.m_backends.onFinishedBeforeResponse(attempt.backend, position);
    const bool wasSent = attempt.earlierCalls.has_value();
    if (wasSent && !attempt.headAt)
        m_gateway.m_backends.onUnanswered(attempt.backend, attempt.sentAt);
    // The pool knows of the silence already, see onSilence().
    const bool isReported = outcome == AttemptOutcome::Silent && attempt.silences > 0;
    m_gateway.m_backends.onAttemptFinished(
            attempt.backend, isReported ? AttemptOutcome::Abandoned : outcome,
            now() - attempt.firstEventsAt.value_or(attempt.sentAt), now());
    m_gateway.m_environment.metrics.recordAttempt(outcome);
}

std::size_t ForwardedRequest::sentAttempts() const
{
    return m_attempts.size()
           - static_cast<std::size_t>(std::ranges::count(m_attempts, AttemptOutcome::Withdrawn,
                                                         &PastAttempt::outcome));
}

bool ForwardedRequest::mayRetry(bool mayHaveRun) const
{
    const Route &route = *m_admission.route;
    const bool canRun = m_possibleRuns < route.maxAttempts;
    const bool allowed = !mayHaveRun || route.isRepeatable();
    return allowed && canRun && sentAttempts() < route.maxAttempts + MaxRejectedAttempts
           && now() + MinRetryTime < m_deadline;
}

void ForwardedRequest::fail(AttemptOutcome outcome, std::string detail)
{
    const auto self = shared_from_this();
    if (m_call && (outcome == AttemptOutcome::Broken || outcome == AttemptOutcome::Silent))
        m_call->cancel();
    endAttempt(outcome);
    const bool ran = mayHaveRun(outcome);
    if (ran)
        ++m_possibleRuns;
    m_eventSplitter.discardPartialEvent();
    if (!mayRetry(ran)) {
        giveUp(outcome, detail);
        return;
    }
    // An attempt that reached no backend server does not count against the retry budget, and the
    // retry after a failure was already charged by mayRetryAfterFailure().
    const bool isUncharged = outcome == AttemptOutcome::Unreachable
                             || outcome == AttemptOutcome::Withdrawn
                             || outcome == AttemptOutcome::Failed;
    if (!isUncharged && !m_gateway.m_retryBudget.tryAcquire(m_admission.service, now())) {
        giveUp(outcome, detail + "; the retry budget is spent");
        return;
    }
    m_gateway.m_environment.metrics.recordRetry(toString(outcome));
    startAttempt();
}

void ForwardedRequest::giveUp(AttemptOutcome outcome, const std::string &detail)
{
    if (m_stalled) {
        returnToStalledAttempt();
        return;
    }
    if (m_streaming) {
        m_reply->abort();
        this->finishRequest(0, ResultCode::StreamBroken, detail);
        return;
    }
    if (currentAttempt().outcome == AttemptOutcome::Failed) {
        sendBufferedResponse(); // No retry is possible; see mayRetryAfterFailure().
        return;
    }
    if (m_possibleRuns == 0) {
        refuse(ResultCode::BackendUnavailable, detail, DefaultRetryAfter);
        return;
    }
    const bool silent = outcome == AttemptOutcome::Silent;
    const Error error{silent ? ResultCode::BackendSilent : ResultCode::BackendFailed, detail};
    const int status = silent ? GatewayTimeout : BadGateway;
    m_reply->send(makeErrorResponse(status, error, Duration::zero()));
    this->finishRequest(status, error.code, detail);
}

Duration ForwardedRequest::maxRetryAfter()
{
    // The jitter keeps requests with the same deadline from being retried together.
    return m_gateway.withJitter(std::chrono::duration_cast<Duration>(
            BaseRetryAfterShare * std::max(Duration::zero(), m_deadline - now())));
}

void ForwardedRequest::refuse(ResultCode code, const std::string &detail, Duration retryAfter)
{
    const Duration wait =
            std::min(m_gateway.withJitter(std::max(retryAfter, MinRetryAfter)), maxRetryAfter());
    m_reply->send(makeErrorResponse(ServiceUnavailable, {code, detail}, wait));
    finishRequest(ServiceUnavailable, code, detail);
}

void ForwardedRequest::onClientDisconnected()
{
    if (m_ended)
        return;
    if (m_call)
        m_call->cancel();
    endAttempt(AttemptOutcome::Abandoned);
    m_gateway.m_environment.metrics.recordClientDisconnect();
    finishRequest(0, ResultCode::RequestCancelled, "the client closed its connection");
}

void ForwardedRequest::onDeadline()
{
    if (m_ended)
        return;
    if (m_call)
        m_call->cancel();
    endAttempt(m_streaming ? AttemptOutcome::Abandoned : AttemptOutcome::Silent);
    const bool isShutdown = m_gateway.m_shutdown && m_deadline == m_gateway.m_shutdown->answerBy;
    const std::string detail = isShutdown
                                       ? "no complete response before the process stops"
                                       : "no complete response before the deadline of the request";
    if (m_streaming)
        m_reply->abort();
    else
        m_reply->send(makeErrorResponse(GatewayTimeout, {ResultCode::DeadlineExceeded, detail},
                                        Duration::zero()));
    finishRequest(m_streaming ? 0 : GatewayTimeout, ResultCode::DeadlineExceeded, detail);
}

void ForwardedRequest::finishRequest(int status, ResultCode code, const std::string &detail)
{
    if (std::exchange(m_ended, true))
        return;
    dropStalledAttempt(AttemptOutcome::Abandoned);
    const Duration elapsed = now() - m_arrivedAt;
    if (code == ResultCode::Ok)
        m_gateway.m_environment.metrics.recordResponse(status, elapsed);
    else
        m_gateway.m_environment.metrics.recordRefusal(code);
    logEnd(status, code, detail);
    m_deadlineTimer.reset();
    m_call.reset();
    m_gateway.m_requests.erase(shared_from_this());
}

} // namespace godwit
