#include <godwit/gateway/gatewaymetrics.h>

#include <array>

namespace godwit {

namespace {

constexpr std::array<std::string_view, 9> AttemptOutcomeNames{
        "complete", "failed", "rejected",  "other_process", "unreachable",
        "broken",   "silent", "abandoned", "withdrawn"};

constexpr std::array<std::string_view, 3> SilenceActionNames{"retry", "wait_for_backend",
                                                             "wait_for_budget"};

constexpr std::array<std::string_view, 5> AdmissionClassNames{"on_time", "late", "surplus",
                                                              "refused", "surplus_refused"};

} // namespace

std::string_view toString(AttemptOutcome outcome)
{
    return AttemptOutcomeNames[static_cast<std::size_t>(outcome)];
}

GatewayMetrics::GatewayMetrics(MetricsRegistry &registry)
    : m_registry(registry)
    , m_requests(registry.counter("godwit_requests_total", "Requests of clients."))
    , m_clientDisconnects(
              registry.counter("godwit_clients_left_total",
                               "Clients that closed their connection before the answer."))
    , m_outdatedStarts(registry.counter("godwit_outdated_starts_total",
                                        "Responses that started with outdated weights."))
    , m_suspended(registry.counter("godwit_suspended_requests_total",
                                   "Requests with content that crashes backend servers."))
    , m_raisedPriorities(registry.counter(
              "godwit_raised_priorities_total",
              "Requests with a raised priority because their share was too small."))
    , m_evacuatedZones(
              registry.gauge("godwit_evacuated_zones", "Availability zones that get no requests."))
    , m_coldBackends(registry.gauge("godwit_cold_backends",
                                    "Backend servers that get a limited number of requests."))
    , m_coldPassedOver(
              registry.counter("godwit_cold_passed_over_total",
                               "Attempts that cold backend servers at their limit did not get."))
    , m_heldBackends(registry.gauge("godwit_held_backends",
                                    "Backend servers held to fewer requests than they have slots."))
    , m_responseTime(registry.summary("godwit_answer_seconds",
                                      "Time from a request to the end of its answer."))
    , m_firstEventTime(registry.summary("godwit_first_event_seconds",
                                        "Time from a request to the first event of its stream."))
{}

void GatewayMetrics::recordResponse(int status, Duration elapsed)
{
    m_registry
            .counter("godwit_answers_total", "Answers of backend servers by status.",
                     {{"status", std::to_string(status)}})
            .add();
    m_responseTime.observe(toSeconds(elapsed));
}

void GatewayMetrics::recordFirstEvent(Duration elapsed)
{
    m_firstEventTime.observe(toSeconds(elapsed));
}

void GatewayMetrics::recordRefusal(ResultCode reason)
{
    m_registry
            .counter("godwit_refusals_total", "Requests that got no answer of a backend server.",
                     {{"code", std::to_string(static_cast<int>(reason))}})
            .add();
}

void GatewayMetrics::recordAdmission(AdmissionClass admission)
{
    const std::string_view name = AdmissionClassNames[static_cast<std::size_t>(admission)];
    m_registry
            .counter("godwit_admissions_total", "Requests by how they were admitted.",
                     {{"class", std::string(name)}})
            .add();
}

void GatewayMetrics::recordAttempt(AttemptOutcome outcome)
{
    m_registry
            .counter("godwit_attempts_total", "Attempts at backend servers by their end.",
                     {{"end", std::string(toString(outcome))}})
            .add();
}

void GatewayMetrics::recordSilence(SilenceAction action)
{
    const std::string_view name = SilenceActionNames[static_cast<std::size_t>(action)];
    m_registry
            .counter("godwit_silences_total", "Silent backend servers by what followed.",
                     {{"action", std::string(name)}})
            .add();
}

void GatewayMetrics::recordRetry(std::string_view reason)
{
    m_registry
            .counter("godwit_retries_total", "Attempts beyond the first of a request.",
                     {{"reason", std::string(reason)}})
            .add();
}

} // namespace godwit
