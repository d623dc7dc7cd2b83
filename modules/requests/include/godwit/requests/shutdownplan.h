#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <cstddef>
#include <optional>
#include <set>
#include <vector>

namespace godwit {

/// Graceful shutdown of a process: accept nothing new, announce leaving, let running requests
/// finish until the limit, then report what remains.
class ShutdownPlan
{
public:
    enum class Phase { Serving, Draining, Finished };

    /// Counts a request as in progress. Returns false if it must be refused with ProcessLeaving,
    /// NotRun.
    bool tryAccept(const RequestId &request);

    /// The final response of \a request has been sent completely.
    void complete(const RequestId &request) { m_inProgress.erase(request); }

    /// Starts the shutdown; the caller announces leaving at once. A second call, for example for a
    /// second signal, can only bring the limit forward.
    void begin(Duration gracePeriod, TimePoint now);

    /// Phase at \a now. In Finished the process exits.
    Phase phase(TimePoint now) const;

    std::size_t inProgress() const { return m_inProgress.size(); }

    /// Requests that are interrupted if the process exits now.
    std::vector<RequestId> remaining() const { return {m_inProgress.begin(), m_inProgress.end()}; }

private:
    std::set<RequestId> m_inProgress;
    std::optional<TimePoint> m_exitDeadline;
};

} // namespace godwit
