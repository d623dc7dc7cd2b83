#include "availabilityobserver.h"

#include "requestlog.h"

#include <utility>

namespace godwit {

namespace {

class AvailabilityObserver
{
public:
    AvailabilityObserver(ObservedAttempt attempt, const Gateway::Environment &environment,
                         BackendPool &pool, std::function<void()> onUnavailable)
        : m_attempt(std::move(attempt))
        , m_environment(environment)
        , m_pool(pool)
        , m_onUnavailable(std::move(onUnavailable))
    {}

    void observe(int status, const HttpHeaders &headers) const
    {
        const BackendAvailability stated = m_environment.protocol.readAvailability(status, headers);
        const TimePoint now = m_environment.scheduler.now();
        AvailabilityTracker &tracker = m_pool.availability();
        const bool isLeaving = stated.leaving && tracker.recordLeaving(m_attempt.backend, now);
        if (isLeaving)
            log(RequestLogKind::BackendLeaving, status, {});
        const bool isPaused =
                stated.retryAfter
                && tracker.recordRetryAfter(m_attempt.backend, *stated.retryAfter, now);
        if (isPaused)
            log(RequestLogKind::BackendPaused, status,
                {{"retry_after_ms", toMilliseconds(*stated.retryAfter)}});
        if (!stated.malformedRetryAfter.empty())
            log(RequestLogKind::RetryAfterMalformed, status,
                {{"value", stated.malformedRetryAfter}, {"ignored", !stated.retryAfter}});
        if (isLeaving || isPaused)
            m_onUnavailable();
    }

private:
    void log(RequestLogKind kind, int status, boost::json::object fields) const
    {
        fields["backend"] = m_attempt.backend.id.value();
        fields["born_ms"] = m_attempt.backend.startTimeMs;
        fields["request"] = m_attempt.request.value();
        fields["status"] = status;
        logRequest(kind, std::move(fields), m_environment.scheduler.now());
    }

    ObservedAttempt m_attempt;
    const Gateway::Environment &m_environment;
    BackendPool &m_pool;
    std::function<void()> m_onUnavailable;
};

} // namespace

HttpStreamHandlers observeAvailability(HttpStreamHandlers handlers, ObservedAttempt attempt,
                                       const Gateway::Environment &environment, BackendPool &pool,
                                       std::function<void()> onUnavailable)
{
    const AvailabilityObserver observer(std::move(attempt), environment, pool,
                                        std::move(onUnavailable));
    handlers.onOtherHeader = [observer](int status, const HttpHeaders &headers) {
        observer.observe(status, headers);
    };
    handlers.onHeader = [observer, next = std::move(handlers.onHeader)](
                                int status, const HttpHeaders &headers) {
        observer.observe(status, headers);
        next(status, headers);
    };
    return handlers;
}

} // namespace godwit
