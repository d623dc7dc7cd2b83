#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/time.h>
#include <godwit/requests/attemptkey.h>

#include <optional>

namespace godwit {

/// Estimates a lower bound of the monotonic clock of a host process from the timestamps in its
/// messages. Wall clocks of different machines are never compared. The bound is used only to choose
/// AttemptTerms: a wrong bound shortens or lengthens the time in which an attempt may start, but
/// cannot cause a delayed copy to run.
class PeerClock
{
public:
    /// Records a message that the process \a incarnation sent at \a peerTime and that arrived at \a
    /// now. Messages of an older process are ignored.
    void recordMessage(Incarnation incarnation, TimePoint peerTime, TimePoint now);

    /// Returns the terms of an attempt that may start within \a lifetime from \a now, or nothing if
    /// no message of the peer has arrived yet.
    std::optional<AttemptTerms> makeTerms(Duration lifetime, TimePoint now) const;

private:
    struct Sample
    {
        Incarnation incarnation;
        /// Peer time minus local time. Network delay can only make it smaller, so the largest
        /// sample is the best one.
        Duration offset;
    };
    std::optional<Sample> m_sample;
};

} // namespace godwit
