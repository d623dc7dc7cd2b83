// The part of ForwardedRequest that logs how the request and its attempts have ended.
#include "forwardedrequest.h"

#include "passedover.h"
#include "requestlog.h"

#include <algorithm>

namespace godwit {

void ForwardedRequest::logEnd(int status, ResultCode code, const std::string &detail) const
{
    boost::json::array attempts;
    for (const PastAttempt &it : m_attempts)
        attempts.push_back(describe(it));
    const bool isFailure = code != ResultCode::Ok || m_attempts.size() > 1
                           || std::ranges::any_of(m_attempts, [](const PastAttempt &it) {
                                  return it.outdatedFor.has_value();
                              });
    logRequest(isFailure ? RequestLogKind::Failure : RequestLogKind::Answer,
               {{"request", m_request.id.value()},
                {"route", m_admission.route->name},
                {"service", m_admission.service},
                {"configuration", m_admission.table->version()},
                {"attempts", std::move(attempts)},
                {"passed_over", describePassedOver(m_passedOver, m_arrivedAt)},
                {"status", status},
                {"code", static_cast<int>(code)},
                {"detail", detail},
                {"earlier_wait_ms", toMilliseconds(m_earlierWait)},
                {"ms", toMilliseconds(now() - m_arrivedAt)}},
               now());
}

boost::json::object ForwardedRequest::describe(const PastAttempt &attempt) const
{
    boost::json::object fields{
            {"backend", attempt.backend.value()},
            {"address", toString(attempt.endpoint)},
            {"after_ms", toMilliseconds(attempt.sentAt - m_arrivedAt)},
            {"predicted_start_ms", toMilliseconds(attempt.predictedStartDelay)},
            {"end", std::string(attempt.outcome ? toString(*attempt.outcome) : "none")}};
    if (attempt.earlierCalls)
        fields["earlier_calls"] = *attempt.earlierCalls;
    if (attempt.headAt) {
        fields["status"] = *attempt.status;
        fields["head_ms"] = toMilliseconds(*attempt.headAt - attempt.sentAt);
        fields["identified"] = attempt.isIdentified;
    }
    if (attempt.firstEventsAt)
        fields["start_ms"] = toMilliseconds(*attempt.firstEventsAt - attempt.sentAt);
    if (attempt.weightsVersion)
        fields["weights"] = *attempt.weightsVersion;
    if (attempt.outdatedFor)
        fields["outdated_ms"] = toMilliseconds(*attempt.outdatedFor);
    if (attempt.silences > 0)
        fields["silences"] = attempt.silences;
    if (attempt.cancelledAfterGrace)
        fields["cancelled_after_grace_ms"] = toMilliseconds(*attempt.cancelledAfterGrace);
    // Tells a server that was silent from one that was slow.
    if (attempt.outdatedFor || attempt.cancelledAfterGrace)
        fields["quiet_ms"] = toMilliseconds(attempt.quietFor);
    return fields;
}

} // namespace godwit
