#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/requests/attemptkey.h>

#include <optional>

namespace godwit {

/// Lower bound of the monotonic clock of a host process, from the time that each of its messages
/// carries. Wall clocks of different machines are never compared. The bound is only a means to
/// choose AttemptTerms; a wrong bound shortens or lengthens the time in which an attempt may start,
/// but cannot make a delayed copy run.
class PeerClock
{
public:
    /// A message sent at \a peerTime by the process \a incarnation arrived at \a now. Messages of
    /// an older process are ignored.
    void recordMessage(Incarnation incarnation, TimePoint peerTime, TimePoint now);

    /// Terms of an attempt that may start within \a lifetime from \a now, or nothing if the peer
    /// has not been heard.
    std::optional<AttemptTerms> makeTerms(Duration lifetime, TimePoint now) const;

private:
    struct Sample
    {
        Incarnation incarnation;
        Duration offset; ///< Peer time minus own time; delay only makes it smaller.
    };
    std::optional<Sample> m_sample;
};

} // namespace godwit
