#include <godwit/requests/peerclock.h>

#include <algorithm>

namespace godwit {

void PeerClock::recordMessage(Incarnation incarnation, TimePoint peerTime, TimePoint now)
{
    const Duration offset = peerTime - now;
    if (!m_sample || incarnation > m_sample->incarnation)
        m_sample = Sample{incarnation, offset};
    else if (incarnation == m_sample->incarnation)
        m_sample->offset = std::max(m_sample->offset, offset);
}

std::optional<AttemptTerms> PeerClock::makeTerms(Duration lifetime, TimePoint now) const
{
    if (!m_sample)
        return {};
    return AttemptTerms{m_sample->incarnation, now + m_sample->offset + lifetime};
}

} // namespace godwit
