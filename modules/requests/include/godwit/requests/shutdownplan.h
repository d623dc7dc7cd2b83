#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Graceful shutdown of a process: refuses new requests, lets requests in progress finish within a
/// grace period and reports the requests that remain after it.
class ShutdownPlan
{
public:
    enum class Phase { Serving, Draining, Finished };

    /// Registers a request as in progress. Returns false if it must be refused with ProcessLeaving
    /// and NotRun.
    bool tryAccept(const RequestId &request);

    /// Called when the final response of \a request has been sent completely.
    void complete(const RequestId &request) { m_inProgress.erase(request); }

    /// Starts the shutdown. The caller must announce to the other processes at once that this one
    /// is leaving. A further call, for example for a second signal, can only shorten the grace
    /// period.
    void begin(Duration gracePeriod, TimePoint now);

    /// Returns the phase at \a now. The process exits in phase Finished.
    Phase phase(TimePoint now) const;

    std::size_t inProgress() const { return m_inProgress.size(); }

    /// Requests that would be interrupted if the process exited now.
    std::vector<RequestId> remaining() const { return {m_inProgress.begin(), m_inProgress.end()}; }

private:
    std::set<RequestId> m_inProgress;
    std::optional<TimePoint> m_exitDeadline;
};

} // namespace godwit
