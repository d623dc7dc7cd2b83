#pragma once

#include <godwit/base/time.h>

#include <map>

namespace godwit {

/// Tracks the share of each latency objective in the recent requests of a service, whose queues are
/// limited by the shortest common one.
///
/// Requests with a long objective would otherwise fill the queues to a length at which those with a
/// short one are always late.
class ObjectiveTracker
{
public:
    void recordRequest(Duration objective);

    /// The shortest objective with a significant share of the recent requests; longest duration if
    /// there were none. Single requests on a route with an unusual objective do not count.
    Duration shortest() const;

private:
    std::map<Duration, double> m_shares;
};

} // namespace godwit
