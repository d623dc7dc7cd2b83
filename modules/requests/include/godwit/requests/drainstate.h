#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <map>
#include <optional>
#include <vector>

namespace godwit {

/// Tracks the hosts that are leaving. The first report from any source stops new work on the host
/// immediately. A source with stale information cannot revert this: only a newer process of the
/// host, or the end of an operator's drain when no other source has reported the host as leaving,
/// makes it available again.
class DrainState
{
public:
    enum class Source {
        HostList,
        Gossip,       ///< Announced by the host itself or relayed by another process.
        Refusal,      ///< The host replied ProcessLeaving.
        OperatorDrain ///< Drain set in the configuration.
    };

    /// Marks \a host as leaving. \a process is the leaving process if the source knows it.
    void markLeaving(const HostId &host, Source source, Incarnation process, TimePoint now);

    /// Called when the operator has ended the drain of \a host.
    void clearOperatorDrain(const HostId &host);

    /// Called for a message of the process \a process of \a host that does not announce leaving.
    void recordProcess(const HostId &host, Incarnation process);

    bool acceptsRequests(const HostId &host) const { return !m_leavingHosts.contains(host); }

    /// Returns when \a host was first reported as leaving, or nothing if it is not leaving.
    std::optional<TimePoint> leavingSince(const HostId &host) const;

private:
    struct State
    {
        TimePoint since;
        Incarnation process; ///< Newest process that was reported as leaving.
        bool isOperatorDrained = false;
        bool isLeaving = false; ///< Reported by a source other than the operator's drain.
    };

    std::map<HostId, State> m_leavingHosts;
};

} // namespace godwit
