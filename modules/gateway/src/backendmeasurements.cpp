// The part of BackendPool that records how attempts go: the load, the delays and the failures of
// the backend servers.
#include <godwit/gateway/backendpool.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

/// Weight of the newest sample in the moving averages of holding time and output tokens.
constexpr double HoldWeight = 0.05;
/// Weight of the newest attempt in the failure rate.
constexpr double FailureWeight = 0.1;
/// Weight of the newest sample in the moving average of the start delay.
constexpr double StartDelayWeight = 0.03;
/// Lateness beyond the usual start delay of the service that is ignored. A congested link or a slow
/// machine adds more.
constexpr double ToleratedLatenessSeconds = 0.1;
/// Longer delays are caused by unknown load rather than by the prefill pass of the engine.
constexpr double MaxStartDelaySeconds = 0.25;
/// Weight of the newest gap in the moving average of a backend server.
constexpr double EventGapWeight = 0.03;
constexpr Duration MinFailureBackoff = std::chrono::milliseconds(300);
constexpr Duration MaxFailureBackoff = std::chrono::seconds(4);
/// Doubles with each consecutive rejection. An engine that loads weights rejects requests for up to
/// 2.5 s, and each attempt costs a part of the retry budget.
constexpr Duration MinRejectionBackoff = std::chrono::milliseconds(200);
constexpr Duration MaxRejectionBackoff = std::chrono::milliseconds(1200);
constexpr int MaxBackoffDoublings = 8;
/// A backend server that rejects a request does so at once; includes the way there and back.
constexpr Duration RejectionTime = std::chrono::milliseconds(100);

Duration failureBackoff(int consecutiveFailures)
{
    const int doublings = std::min(consecutiveFailures - 1, MaxBackoffDoublings);
    return std::min(MinFailureBackoff * (1 << doublings), MaxFailureBackoff);
}

Duration rejectionBackoff(int consecutiveRejections)
{
    const int doublings = std::min(consecutiveRejections - 1, MaxBackoffDoublings);
    return std::min(MinRejectionBackoff * (1 << doublings), MaxRejectionBackoff);
}

} // namespace

void BackendPool::recordOutputTokens(const BackendQuery &query)
{
    if (query.outputTokens == 0)
        return;
    double &mean = m_services[query.service].outputTokens;
    mean = mean > 0 ? mean + HoldWeight * (query.outputTokens - mean) : query.outputTokens;
}

void BackendPool::recordEventGap(const BackendId &id, Duration gap, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    const double seconds = toSeconds(gap);
    backend->eventGapSeconds =
            backend->eventGapSeconds > 0
                    ? backend->eventGapSeconds
                              + EventGapWeight * (seconds - backend->eventGapSeconds)
                    : seconds;
    backend->eventGapAt = now;
    if (m_learnsSpeed)
        updateSpeed(*backend, gap, now);
}

void BackendPool::onAnswered(const BackendId &id, TimePoint sentAt)
{
    if (Backend *backend = find(id))
        backend->answeredSentAt = std::max(backend->answeredSentAt, sentAt);
}

void BackendPool::onUnanswered(const BackendId &id, TimePoint sentAt)
{
    Backend *backend = find(id);
    if (backend && backend->activeAt < sentAt + RejectionTime)
        backend->unansweredSentAt = std::max(backend->unansweredSentAt, sentAt);
}

void BackendPool::onActivity(const BackendId &id, TimePoint now)
{
    if (Backend *backend = find(id))
        backend->activeAt = now;
}

TimePoint BackendPool::lastActivity(const BackendId &id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? TimePoint() : it->second.activeAt;
}

Duration BackendPool::eventGap(const BackendId &id) const
{
    const auto it = m_backends.find(id);
    return it == m_backends.end() ? Duration::zero() : fromSeconds(it->second.eventGapSeconds);
}

void BackendPool::onAttemptStarted(const BackendId &id, QueuePosition position, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    if (m_warmup.isLimited(backend->record.service))
        m_warmup.recordAttempt(id, backend->record.service, now);
    ++backend->localRequests;
    backend->queued.add(position);
    Service &service = m_services[backend->record.service];
    service.queued.add(position);
    service.queuedMix.record(service.queued);
    service.attempts.record(position);
}

void BackendPool::removeFromQueue(const BackendId &id, QueuePosition position)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    if (backend->queued.remove(position))
        m_services[backend->record.service].queued.remove(position);
}

void BackendPool::onResponseStarted(const BackendId &id, QueuePosition position)
{
    removeFromQueue(id, position);
}

void BackendPool::recordStartDelay(const BackendId &id, Duration delay, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    Service &service = m_services[backend->record.service];
    backend->speed.recordStart(
            delay - fromSeconds(service.startDelaySeconds + ToleratedLatenessSeconds), now);
    const double seconds = std::clamp(toSeconds(delay), 0.0, MaxStartDelaySeconds);
    service.startDelaySeconds += StartDelayWeight * (seconds - service.startDelaySeconds);
}

void BackendPool::onFinishedBeforeResponse(const BackendId &id, QueuePosition position)
{
    removeFromQueue(id, position);
}

void BackendPool::onSilence(const BackendId &id, TimePoint now)
{
    if (Backend *backend = find(id))
        recordFailure(*backend, now);
}

void BackendPool::onSilenceEnded(const BackendId &id, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    backend->consecutiveFailures = 0;
    if (backend->consecutiveRejections == 0)
        backend->backoffUntil = std::min(backend->backoffUntil, now);
}

void BackendPool::recordFailure(Backend &backend, TimePoint now)
{
    ++backend.consecutiveFailures;
    backend.failureRate += FailureWeight * (1 - backend.failureRate);
    backend.backoffUntil = now + failureBackoff(backend.consecutiveFailures);
}

void BackendPool::onAttemptFinished(const BackendId &id, AttemptOutcome outcome, Duration held,
                                    TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    if (backend->localRequests > 0)
        --backend->localRequests;
    switch (outcome) {
    case AttemptOutcome::Abandoned:
    case AttemptOutcome::Withdrawn:
        return;
    case AttemptOutcome::Complete: {
        Service &service = m_services[backend->record.service];
        // The holding time is kept for the usual speed; predictions multiply it by the factor.
        const double seconds =
                toSeconds(held) / backend->speed.meanFactor(now) + service.startDelaySeconds;
        service.holdSeconds =
                service.holdSeconds > 0
                        ? service.holdSeconds + HoldWeight * (seconds - service.holdSeconds)
                        : seconds;
        backend->consecutiveFailures = 0;
        backend->consecutiveRejections = 0;
        backend->failureRate *= 1 - FailureWeight;
        return;
    }
    case AttemptOutcome::Failed:
        backend->failureRate += FailureWeight * (1 - backend->failureRate);
        return;
    case AttemptOutcome::Rejected:
        backend->backoffUntil = now + rejectionBackoff(++backend->consecutiveRejections);
        return;
    case AttemptOutcome::OtherProcess:
        backend->replaced = true;
        return;
    case AttemptOutcome::Unreachable:
    case AttemptOutcome::Broken:
    case AttemptOutcome::Silent:
        recordFailure(*backend, now);
        return;
    }
}

void BackendPool::recordLoad(const BackendId &id, const BackendLoad &load, TimePoint now)
{
    Backend *backend = find(id);
    if (!backend)
        return;
    backend->reportedSlots = load.slots;
    backend->remoteRequests = std::max(0.0, static_cast<double>(load.running) + load.waiting
                                                    - static_cast<double>(backend->localRequests));
    backend->loadReportedAt = now;
    if (m_learnsSpeed && load.workTimePercent)
        backend->speed.recordReport(*load.workTimePercent, now);
}

} // namespace godwit
