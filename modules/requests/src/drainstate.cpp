#include <godwit/requests/drainstate.h>

#include <algorithm>

namespace godwit {

void DrainState::markLeaving(const HostId &host, Source source, Incarnation process, TimePoint now)
{
    State &state = m_leavingHosts.try_emplace(host, State{now, {}, false, false}).first->second;
    if (source == Source::OperatorDrain) {
        state.isOperatorDrained = true;
        return;
    }
    state.isLeaving = true;
    state.process = std::max(state.process, process);
}

void DrainState::clearOperatorDrain(const HostId &host)
{
    const auto it = m_leavingHosts.find(host);
    if (it == m_leavingHosts.end())
        return;
    it->second.isOperatorDrained = false;
    if (!it->second.isLeaving)
        m_leavingHosts.erase(it);
}

void DrainState::recordProcess(const HostId &host, Incarnation process)
{
    const auto it = m_leavingHosts.find(host);
    if (it == m_leavingHosts.end() || process <= it->second.process)
        return;
    it->second.isLeaving = false;
    if (!it->second.isOperatorDrained)
        m_leavingHosts.erase(it);
}

std::optional<TimePoint> DrainState::leavingSince(const HostId &host) const
{
    const auto it = m_leavingHosts.find(host);
    return it == m_leavingHosts.end() ? std::nullopt : std::optional(it->second.since);
}

} // namespace godwit
