#pragma once

#include <godwit/base/resultcode.h>
#include <godwit/base/time.h>
#include <godwit/gateway/backendpool.h>
#include <godwit/observe/metricsregistry.h>

#include <string>

namespace godwit {

/// What follows the silence of a backend server.
enum class SilenceAction {
    Retry,          ///< Another backend server gets the request.
    WaitForBackend, ///< No other backend server can accept it now.
    WaitForBudget,  ///< The retry budget is spent.
};

/// How a request was admitted at its first attempt.
enum class AdmissionClass {
    OnTime,
    Late,           ///< Behind the requests that can meet their objective.
    Surplus,        ///< At a free slot, behind all others.
    Refused,        ///< No backend server can take it.
    SurplusRefused, ///< There is no free slot, and surplus is not queued.
};

/// Counters and latency summaries of a Gateway.
class GatewayMetrics
{
public:
    explicit GatewayMetrics(MetricsRegistry &registry);

    void recordRequest() { m_requests.add(1); }
    /// A backend server completed the final response of a request \a elapsed after its arrival.
    void recordResponse(int status, Duration elapsed);
    /// \a elapsed is the time from the arrival of a request to the first event of its stream.
    void recordFirstEvent(Duration elapsed);
    void recordRefusal(ResultCode reason);
    void recordAttempt(AttemptOutcome outcome);
    void recordRetry(std::string_view reason);
    /// A backend server sent nothing within the silence timeout of an attempt.
    void recordSilence(SilenceAction action);
    void recordAdmission(AdmissionClass admission);
    /// A request got a more urgent priority because its kind or customer had too small a share.
    void recordRaisedPriority() { m_raisedPriorities.add(1); }
    void recordClientDisconnect() { m_clientDisconnects.add(1); }
    /// A request was refused or cancelled because its content crashes backend servers.
    void recordSuspended() { m_suspended.add(1); }
    /// \a change more availability zones are being evacuated.
    void recordEvacuations(int change) { m_evacuatedZones.add(change); }
    /// \a count backend servers are cold.
    void setColdBackends(std::size_t count) { m_coldBackends.set(static_cast<double>(count)); }
    /// An attempt was placed elsewhere, or refused, because cold backend servers had got as many
    /// requests as they may.
    void recordColdPassedOver() { m_coldPassedOver.add(1); }
    /// A backend server was held to fewer requests than it has slots, or no longer.
    void recordHold(bool isHeld) { m_heldBackends.add(isHeld ? 1 : -1); }
    /// A response started with weights that were outdated by then.
    void recordOutdatedStart() { m_outdatedStarts.add(1); }

private:
    MetricsRegistry &m_registry;
    Counter &m_requests;
    Counter &m_clientDisconnects;
    Counter &m_outdatedStarts;
    Counter &m_suspended;
    Counter &m_raisedPriorities;
    Gauge &m_evacuatedZones;
    Gauge &m_coldBackends;
    Counter &m_coldPassedOver;
    Gauge &m_heldBackends;
    Summary &m_responseTime;
    Summary &m_firstEventTime;
};

/// Name of \a outcome in logs and metrics.
std::string_view toString(AttemptOutcome outcome);

} // namespace godwit
