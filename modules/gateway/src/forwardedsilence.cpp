// The part of ForwardedRequest that handles silence of a backend server. A silent server may be
// sound, so that its attempt ends only when another server takes its place.
#include "forwardedrequest.h"

#include <algorithm>

namespace godwit {

namespace {

/// Timeout, in objectives of the route, for the response to begin.
constexpr int StartTimeoutObjectives = 2;
constexpr Duration MinStartTimeout = std::chrono::milliseconds(400);
/// Timeout within a stream, in maximum event gaps of the route or in measured gaps of the backend
/// server, whichever are longer: a slow stream is not resumed elsewhere.
constexpr int StallTimeoutGaps = 3;
constexpr Duration MinStallTimeout = std::chrono::milliseconds(800);

} // namespace

Duration ForwardedRequest::silenceTimeout() const
{
    const Route &route = *m_admission.route;
    if (m_bodyMode != BodyMode::Events)
        return std::max(MinStartTimeout, StartTimeoutObjectives * route.objective);
    const Duration measured = m_gateway.m_backends.eventGap(currentAttempt().backend);
    return std::max(MinStallTimeout, StallTimeoutGaps * std::max(route.maxEventGap, measured));
}

void ForwardedRequest::restartSilenceTimer()
{
    m_silenceTimer.reset();
    const Route &route = *m_admission.route;
    if (!route.isRepeatable() || m_possibleRuns + 1 >= route.maxAttempts)
        return;
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    m_silenceTimer = m_gateway.m_environment.scheduler.after(
            silenceTimeout(), [weak, serial = m_attemptSerial] {
                const auto self = weak.lock();
                if (self && !self->m_ended && self->m_attemptInProgress
                    && self->m_attemptSerial == serial)
                    self->onSilence();
            });
}

void ForwardedRequest::onSilence()
{
    reportSilence();
    const QueuePosition position = m_position;
    const bool isAllowed =
            mayRetry(true) && !m_gateway.m_crashSuspects.isSuspended(m_content, now());
    const std::variant<BackendChoice, NoBackend> found = isAllowed ? chooseBackend() : NoBackend();
    const auto *choice = std::get_if<BackendChoice>(&found);
    if (!choice || !m_gateway.m_retryBudget.tryAcquire(m_admission.service, now())) {
        m_position = position;
        m_gateway.m_environment.metrics.recordSilence(choice ? SilenceAction::WaitForBudget
                                                             : SilenceAction::WaitForBackend);
        restartSilenceTimer();
        return;
    }
    const BackendChoice next = *choice;
    const QueuePosition nextPosition = std::exchange(m_position, position);
    m_gateway.m_environment.metrics.recordSilence(SilenceAction::Retry);
    m_gateway.m_environment.metrics.recordRetry(toString(AttemptOutcome::Silent));
    // An attempt that is to resume the stream and has sent no event gives way to the next one.
    if (currentAttempt().firstEventsAt) {
        setAsideStalledAttempt();
    } else {
        if (m_call)
            m_call->cancel();
        endAttempt(AttemptOutcome::Silent);
        m_eventSplitter.discardPartialEvent();
    }
    ++m_possibleRuns;
    m_isTrial = false;
    m_position = nextPosition;
    startAttemptAt(next);
}

void ForwardedRequest::reportSilence()
{
    PastAttempt &silent = currentAttempt();
    ++silent.silences;
    // Once for each silence: every report counts as a failure of the backend server.
    if (std::exchange(silent.isSilent, true))
        return;
    m_gateway.m_backends.onSilence(silent.backend, now());
    if (m_call)
        m_call->reportSilence();
}

void ForwardedRequest::recordSilenceEnd()
{
    PastAttempt &attempt = currentAttempt();
    if (std::exchange(attempt.isSilent, false))
        m_gateway.m_backends.onSilenceEnded(attempt.backend, now());
}

void ForwardedRequest::setAsideStalledAttempt()
{
    m_attemptInProgress = false;
    m_stalled =
            StalledAttempt{m_currentAttempt,     m_attemptSerial, std::move(m_call), m_responseHead,
                           m_endsWithConnection, m_position,      m_eventSplitter};
    m_eventSplitter.discardPartialEvent();
}

void ForwardedRequest::returnToStalledAttempt()
{
    // The stalled attempt counts as the current one again instead of as an earlier one, and the one
    // that is in progress the other way round.
    --m_possibleRuns;
    if (m_attemptInProgress) {
        if (m_call)
            m_call->cancel();
        endAttempt(AttemptOutcome::Abandoned);
        ++m_possibleRuns;
    }
    StalledAttempt stalled = std::move(*m_stalled);
    m_stalled.reset();
    m_startTimer.reset();
    m_currentAttempt = stalled.index;
    m_attemptSerial = stalled.serial;
    m_call = std::move(stalled.call);
    m_responseHead = std::move(stalled.head);
    m_endsWithConnection = stalled.endsWithConnection;
    m_position = stalled.position;
    m_eventSplitter = std::move(stalled.eventSplitter);
    m_bodyMode = BodyMode::Events;
    discardBufferedBody();
    m_attemptInProgress = true;
    m_isTrial = false;
    restartSilenceTimer();
}

void ForwardedRequest::dropStalledAttempt(AttemptOutcome outcome)
{
    if (!m_stalled)
        return;
    const StalledAttempt stalled = std::move(*m_stalled);
    m_stalled.reset();
    if (stalled.call)
        stalled.call->cancel();
    recordEnd(m_attempts[stalled.index], stalled.position, outcome);
}

void ForwardedRequest::onStalledData(std::string_view data)
{
    std::string events = m_stalled->eventSplitter.feed(data);
    if (m_stalled->eventSplitter.isEventTooLarge()) {
        dropStalledAttempt(AttemptOutcome::Broken);
    } else if (!events.empty()) {
        returnToStalledAttempt();
        passOn(std::move(events));
    }
}

void ForwardedRequest::onStalledEnd(const Outcome<std::monostate> &outcome)
{
    const bool isComplete = std::holds_alternative<std::monostate>(outcome)
                            && !m_stalled->eventSplitter.hasPartialEvent();
    if (!isComplete) {
        const auto *error = std::get_if<Error>(&outcome);
        if (!error || error->code == ResultCode::PlatformReplyLost) {
            const PastAttempt &attempt = m_attempts[m_stalled->index];
            m_gateway.recordCrash(attempt.instance, m_content, CrashPhase::DuringAnswer,
                                  weightsVersionOf(attempt));
        }
        dropStalledAttempt(AttemptOutcome::Broken);
        m_gateway.cancelSuspended();
        return;
    }
    returnToStalledAttempt();
    onComplete();
}

} // namespace godwit
