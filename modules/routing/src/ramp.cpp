#include <godwit/routing/ramp.h>

#include <algorithm>

namespace godwit {

void Ramp::start(TimePoint now, Random &random)
{
    const bool flapping = m_started && now - m_lastStart < StableTime;
    m_slowdown = flapping ? std::min(2 * m_slowdown, MaxSlowdown) : 1;
    m_started = true;
    m_lastStart = now;
    m_rampUpStart = now + fromSeconds(random.uniform() * toSeconds(MaxStartDelay));
}

double Ramp::loadShare(TimePoint now) const
{
    if (!m_started)
        return 1;
    const double progress = toSeconds(now - m_rampUpStart) / (toSeconds(RampUpTime) * m_slowdown);
    return std::clamp(progress, InitialShare, 1.0);
}

} // namespace godwit
