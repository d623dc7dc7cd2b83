#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>

#include <map>
#include <optional>
#include <vector>

namespace godwit {

/// Hosts that are leaving. The first indication from any source stops new work at once. A source
/// that lags behind cannot cancel it: only a newer process of the host, or the end of an operator's
/// drain without any other indication, makes the host available again.
class DrainState
{
public:
    enum class Source {
        HostList,
        Gossip,       ///< Announced by the host itself, or passed on.
        Refusal,      ///< A reply ProcessLeaving.
        OperatorDrain ///< In the configuration.
    };

    /// \a process is the process that leaves, as far as the source knows it.
    void markLeaving(const HostId &host, Source source, Incarnation process, TimePoint now);

    /// The operator's drain of \a host has been ended.
    void clearOperatorDrain(const HostId &host);

    /// A message from the process \a process of \a host arrived that does not say it is leaving.
    void recordProcess(const HostId &host, Incarnation process);

    bool acceptsRequests(const HostId &host) const { return !m_leavingHosts.contains(host); }

    /// When the first indication arrived, or nothing if \a host is not leaving.
    std::optional<TimePoint> leavingSince(const HostId &host) const;

private:
    struct State
    {
        TimePoint since;
        Incarnation process; ///< Newest process that is known to leave.
        bool isOperatorDrained = false;
        bool isLeaving = false; ///< By a source other than the operator's drain.
    };

    std::map<HostId, State> m_leavingHosts;
};

} // namespace godwit
