#pragma once

#include <godwit/base/resultcode.h>
#include <godwit/base/time.h>
#include <godwit/gateway/backendpool.h>
#include <godwit/observe/metricsregistry.h>

#include <string>

namespace godwit {

/// Counters and latencies of a Gateway.
class GatewayMetrics
{
public:
    explicit GatewayMetrics(MetricsRegistry &registry);

    void requestArrived() { m_requests.add(1); }
    /// A request got its final answer from a backend server \a span after it arrived.
    void answered(int status, Duration span);
    /// Time from the arrival of a request to the first event of its stream.
    void streamBegan(Duration span);
    void refused(ResultCode reason);
    void attemptEnded(AttemptEnd end);
    void retried(std::string_view reason);
    void clientLeft() { m_clientsLeft.add(1); }

private:
    MetricsRegistry &m_registry;
    Counter &m_requests;
    Counter &m_clientsLeft;
    Summary &m_answerTime;
    Summary &m_firstEventTime;
};

/// Name of \a end for logs and metrics.
std::string_view toString(AttemptEnd end);

} // namespace godwit
