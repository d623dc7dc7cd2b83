// The part of ForwardedRequest that passes the response to an attempt on to the client.
#include "forwardedrequest.h"

#include <algorithm>

namespace godwit {

namespace {

/// Maximum size of a body without a declared length. A faulty backend server may send bytes without
/// end.
constexpr std::size_t MaxUndeclaredBodyBytes = 1024UL * 1024;
/// Maximum size of the body of a response that is discarded.
constexpr std::size_t MaxDiscardedBytes = 64UL * 1024;

constexpr int FirstServerError = 500;

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

AttemptOutcome outcomeOf(ResultCode code)
{
    switch (code) {
    case ResultCode::PlatformUnreachable:
        return AttemptOutcome::Unreachable;
    case ResultCode::PlatformTimeout:
        return AttemptOutcome::Silent;
    default:
        return AttemptOutcome::Broken;
    }
}

} // namespace

bool ForwardedRequest::identifiesRequest(const HttpHeaders &headers) const
{
    // A late copy of another response may lack the id that would identify it.
    return !m_correlation || headers.value(m_correlation->header) == m_correlation->value;
}

void ForwardedRequest::onHead(int status, const HttpHeaders &headers)
{
    m_responseHead = m_gateway.m_environment.protocol.readResponse(status, headers);
    recordQuietTime();
    m_gateway.m_backends.onActivity(currentAttempt().backend, now());
    if (m_responseHead.load)
        m_gateway.m_backends.recordLoad(currentAttempt().backend, *m_responseHead.load, now());
    if (m_responseHead.coldFor)
        m_gateway.m_backends.warmup().recordCold(currentAttempt().backend, *m_responseHead.coldFor,
                                                 now());
    const bool isIdentified = identifiesRequest(headers);
    currentAttempt().status = status;
    currentAttempt().headAt = now();
    currentAttempt().isIdentified = isIdentified;
    if (isIdentified)
        m_gateway.m_backends.onAnswered(currentAttempt().backend, currentAttempt().sentAt);
    // A stream can be resumed neither by an error response nor by other weights.
    const bool cannotContinue =
            m_streaming
            && (!isSuccess(status) || m_responseHead.weightsVersion != m_weightsVersion);
    const bool isContradictory =
            m_responseHead.notExecuted ? isSuccess(status) : m_responseHead.impliesNotExecuted;
    const bool isUntrusted =
            !isIdentified || isContradictory
            || (isSuccess(status) && (!m_responseHead.sealed || m_responseHead.isEncoded));
    m_hasDeclaredLength = headers.find("Content-Length") != nullptr;
    m_endsWithConnection = !m_hasDeclaredLength && !headers.find("Transfer-Encoding");
    m_discardedBytes = 0;
    if (isUntrusted || (cannotContinue && !m_responseHead.notExecuted))
        m_bodyMode = BodyMode::Unusable;
    else if (m_responseHead.notExecuted)
        m_bodyMode = BodyMode::Rejection;
    else if (isSuccess(status) && m_responseHead.isEventStream)
        m_bodyMode = BodyMode::Events;
    else
        m_bodyMode = m_streaming ? BodyMode::Unusable : BodyMode::Buffered;
    // An error may be sent before any work on the content of the request.
    if (m_bodyMode == BodyMode::Buffered && isSuccess(status))
        m_gateway.recordStart(m_content, weightsVersionOf(currentAttempt()));
    if (m_bodyMode == BodyMode::Buffered)
        recordSilenceEnd();
    restartSilenceTimer();
}

std::size_t ForwardedRequest::bufferedBytes() const
{
    return m_attemptInProgress ? m_bufferedBody.size() : 0;
}

void ForwardedRequest::failTooLarge()
{
    fail(AttemptOutcome::Broken, "response body is too large");
}

void ForwardedRequest::bufferBody(std::string_view data)
{
    const bool isTooLong =
            !m_hasDeclaredLength && m_bufferedBody.size() + data.size() > MaxUndeclaredBodyBytes;
    if (isTooLong || !m_gateway.reserveBuffer(*this, data.size())) {
        failTooLarge();
        return;
    }
    m_bufferedBody += data;
}

void ForwardedRequest::discardBufferedBody()
{
    m_bufferedBody.clear();
    // The memory of a long body must not stay with a request whose next attempt is short.
    m_bufferedBody.shrink_to_fit();
}

void ForwardedRequest::onData(std::string_view data)
{
    if (m_bodyMode == BodyMode::Events) {
        onEvents(data);
    } else if (m_bodyMode == BodyMode::Buffered) {
        restartSilenceTimer();
        bufferBody(data);
    } else if ((m_discardedBytes += data.size()) > MaxDiscardedBytes) {
        const bool isRejection = m_bodyMode == BodyMode::Rejection;
        if (m_call)
            m_call->cancel();
        fail(isRejection ? AttemptOutcome::Rejected : AttemptOutcome::Broken,
             "unusable response without an end");
    }
}

void ForwardedRequest::onEvents(std::string_view data)
{
    std::string events = m_eventSplitter.feed(data);
    if (m_eventSplitter.isEventTooLarge()) {
        fail(AttemptOutcome::Broken, "event in the response stream is too large");
        return;
    }
    if (!events.empty())
        passOn(std::move(events));
}

void ForwardedRequest::passOn(std::string events)
{
    dropStalledAttempt(AttemptOutcome::Silent);
    if (!m_streaming) {
        m_streaming = true;
        m_weightsVersion = m_responseHead.weightsVersion;
        m_gateway.m_environment.metrics.recordFirstEvent(now() - m_arrivedAt);
        m_reply->start(m_responseHead.status, m_responseHead.headers);
    }
    recordEventTiming();
    restartSilenceTimer();
    m_reply->write(std::move(events));
}

void ForwardedRequest::recordEventTiming()
{
    const TimePoint arrived = now();
    PastAttempt &attempt = currentAttempt();
    recordSilenceEnd();
    if (attempt.lastEventsAt)
        m_gateway.m_backends.recordEventGap(attempt.backend, arrived - *attempt.lastEventsAt,
                                            arrived);
    else
        recordResponseStart(attempt, arrived);
    m_gateway.m_backends.onActivity(attempt.backend, arrived);
    attempt.lastEventsAt = arrived;
}

void ForwardedRequest::recordResponseStart(PastAttempt &attempt, TimePoint at)
{
    recordQuietTime();
    attempt.firstEventsAt = at;
    recordWeights(attempt, at);
    m_gateway.m_backends.onResponseStarted(attempt.backend, m_position);
    m_gateway.recordStart(m_content, weightsVersionOf(attempt));
    // Under load, the delay would also contain the error of this process in estimating the load of
    // the others.
    if (attempt.foundFreeSlot)
        m_gateway.m_backends.recordStartDelay(
                attempt.backend, at - attempt.sentAt - attempt.predictedStartDelay, at);
    else if (m_position.urgency == RequestUrgency::OnTime)
        m_gateway.recordWait(m_admission.service, m_position.priority, attempt.predictedStartDelay,
                             at - attempt.sentAt);
}

void ForwardedRequest::recordWeights(PastAttempt &attempt, TimePoint at)
{
    attempt.weightsVersion = m_responseHead.weightsVersion;
    if (!attempt.weightsVersion)
        return;
    const auto expiry =
            m_gateway.m_backends.versionExpiry(m_request.model, *attempt.weightsVersion);
    if (!expiry || at <= *expiry)
        return;
    attempt.outdatedFor = at - *expiry;
    m_gateway.m_environment.metrics.recordOutdatedStart();
}

void ForwardedRequest::recordQuietTime()
{
    PastAttempt &attempt = currentAttempt();
    const TimePoint since =
            std::max(attempt.sentAt, m_gateway.m_backends.lastActivity(attempt.backend));
    attempt.quietFor = std::max(attempt.quietFor, now() - since);
}

void ForwardedRequest::onEnd(const Outcome<std::monostate> &outcome)
{
    const auto *error = std::get_if<Error>(&outcome);
    if (!error) {
        onComplete();
        return;
    }
    if (error->code == ResultCode::PlatformReplyLost)
        failAfterClose(error->detail);
    else
        fail(outcomeOf(error->code), error->detail);
}

void ForwardedRequest::failAfterClose(std::string detail)
{
    // A backend server that rejects the request, or sends no valid response, does not run it.
    const bool mayBeCrash = m_bodyMode != BodyMode::Rejection && m_bodyMode != BodyMode::Unusable;
    if (mayBeCrash) {
        const bool hasBegun = hasResponseStarted() || m_streaming;
        m_gateway.recordCrash(currentAttempt().instance, m_content,
                              hasBegun ? CrashPhase::DuringAnswer : CrashPhase::BeforeAnswer,
                              weightsVersionOf(currentAttempt()));
    }
    fail(AttemptOutcome::Broken, std::move(detail));
    if (mayBeCrash)
        m_gateway.cancelSuspended();
}

void ForwardedRequest::recordCompletion()
{
    // Only an attempt that ran the request from its beginning has run all of its content.
    if (isSuccess(m_responseHead.status) && !currentAttempt().resumesStream)
        m_gateway.recordCompletion(m_content, weightsVersionOf(currentAttempt()));
}

void ForwardedRequest::onComplete()
{
    switch (m_bodyMode) {
    case BodyMode::Rejection: {
        // It may be the same process with weights other than those that produced the start of the
        // stream. If its record has changed since, the rejection says nothing of the present one.
        const PastAttempt &attempt = currentAttempt();
        const bool isOther = m_responseHead.otherProcess && !m_weightsVersion
                             && m_gateway.m_backends.isCurrent(attempt.instance, m_request.model,
                                                               attempt.recordedVersion);
        fail(isOther ? AttemptOutcome::OtherProcess : AttemptOutcome::Rejected,
             "status " + std::to_string(m_responseHead.status));
        return;
    }
    case BodyMode::None:
    case BodyMode::Unusable:
        fail(AttemptOutcome::Broken,
             "unusable response with status " + std::to_string(m_responseHead.status));
        return;
    case BodyMode::Events:
        if (m_eventSplitter.hasPartialEvent()) {
            failUnfinishedStream("response stream ended in the middle of an event");
            return;
        }
        if (!currentAttempt().firstEventsAt && (m_streaming || m_endsWithConnection)) {
            failUnfinishedStream("response stream ended without a new event");
            return;
        }
        if (!m_streaming)
            m_reply->start(m_responseHead.status, m_responseHead.headers);
        m_reply->finish();
        recordCompletion();
        endAttempt(AttemptOutcome::Complete);
        finishRequest(m_responseHead.status, ResultCode::Ok, {});
        return;
    case BodyMode::Buffered:
        if (m_responseHead.status >= FirstServerError && mayRetryAfterFailure())
            fail(AttemptOutcome::Failed, "status " + std::to_string(m_responseHead.status));
        else
            sendBufferedResponse();
        return;
    }
}

void ForwardedRequest::failUnfinishedStream(std::string detail)
{
    if (m_endsWithConnection)
        failAfterClose(std::move(detail));
    else
        fail(AttemptOutcome::Broken, std::move(detail));
}

void ForwardedRequest::sendBufferedResponse()
{
    recordCompletion();
    endAttempt(m_responseHead.status >= FirstServerError ? AttemptOutcome::Failed
                                                         : AttemptOutcome::Complete);
    HttpResponse response;
    response.status = m_responseHead.status;
    response.headers = m_responseHead.headers;
    response.body = std::move(m_bufferedBody);
    m_reply->send(std::move(response));
    finishRequest(m_responseHead.status, ResultCode::Ok, {});
}

} // namespace godwit
