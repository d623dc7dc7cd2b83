#pragma once

#include <godwit/base/random.h>
#include <godwit/base/time.h>

namespace godwit {

/// Slow start: limits the load of a server that is new or has become available again to a share of
/// its normal load. The share grows linearly after a random delay, so that the servers of a zone
/// that recovers do not ramp up at the same time. A server that flaps ramps up more slowly each
/// time.
class Ramp
{
public:
    static constexpr Duration RampUpTime{10'000'000};
    static constexpr Duration MaxStartDelay{3'000'000};
    static constexpr double InitialShare = 0.05;

    /// A server is flapping if it starts again before this time has passed since its last start.
    /// Otherwise it ramps up within RampUpTime.
    static constexpr Duration StableTime{60'000'000};
    /// Upper limit of the factor that multiplies RampUpTime. The factor doubles with each start of
    /// a flapping server.
    static constexpr int MaxSlowdown = 8;

    /// Starts the ramp-up of a server that is available from \a now.
    void start(TimePoint now, Random &random);

    /// Share of the normal load, in [InitialShare, 1]. It is 1 if start() was never called.
    double loadShare(TimePoint now) const;

private:
    bool m_started = false;
    TimePoint m_lastStart;
    TimePoint m_rampUpStart;
    int m_slowdown = 1;
};

} // namespace godwit
