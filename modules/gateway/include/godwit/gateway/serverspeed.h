#pragma once

#include <godwit/base/time.h>

#include <cstdint>
#include <optional>

namespace godwit {

/// Speed of one backend server, learned from the work times that it reports and from the gaps
/// between the events of its streams. Has no clock.
///
/// The factor states how many times longer than usual work takes. Measured gaps take precedence:
/// reports lose their weight while they contradict them. Without new information the factor returns
/// to 1.
class ServerSpeed
{
public:
    static constexpr double MinFactor = 0.5;
    static constexpr double MaxFactor = 4;

    /// A gap between two events of a stream, and the conditions under which it was measured.
    struct EventGap
    {
        Duration gap{0};
        Duration usual{0};     ///< Of the service at similar load, see UsualEventGap.
        Duration usualIdle{0}; ///< Of the service without load.
        double load = 0;       ///< Requests at the backend server.
        double slots = 0;
        Duration max{0}; ///< Longest gap that callers accept; 0 if any is accepted.
    };

    /// A response stated that work takes \a percent of the usual time.
    void recordReport(std::uint32_t percent, TimePoint now);
    void recordEventGap(const EventGap &gap, TimePoint now);
    /// The response to a request that found a free slot started \a late after the usual start delay
    /// of the service, including the tolerance.
    void recordStart(Duration late, TimePoint now);

    /// Factor by which work takes longer than usual at this moment. \a quietFor is the time since
    /// the last event if streams are in progress, otherwise 0: a gap that has not ended shows slow
    /// work already.
    double factor(TimePoint now, Duration quietFor = Duration::zero()) const;
    /// Mean factor over the last seconds.
    double meanFactor(TimePoint now) const;
    /// Mean of the reported factors over the last seconds, whether they are true or not; 1 without
    /// reports.
    double reportedMean(TimePoint now) const;
    /// Delay, in seconds, beyond the predicted start of a response. It is added to the predicted
    /// start: a congested link delays a start without slowing the work.
    double startLateness(TimePoint now) const;

    /// Number of concurrent requests up to which the event gaps stay within the accepted ones. At
    /// most \a slots, at least 1.
    double comfortableSlots(double slots, TimePoint now) const;
    /// Whether the backend server is held to fewer requests than it has slots.
    bool isHeld() const { return m_isHeld; }
    /// Ends the hold if the comfortable slots have come back to \a slots. Returns whether it ended.
    bool releaseIfRecovered(double slots, TimePoint now);

private:
    double measuredFactor(TimePoint now) const;
    /// Weight, from 0 to 1, of reports against measured gaps.
    double reportTrust(TimePoint now) const;
    /// Adds the \a ratio of a gap that began at \a gapBeganAt to the usual gap.
    void updateMeanGapRatio(double ratio, TimePoint gapBeganAt, TimePoint now);
    void updateComfort(const EventGap &gap, double sinceLastGap, TimePoint now);

    /// Factor according to the last reports and gaps, at m_currentAt.
    double m_current = 1;
    std::optional<TimePoint> m_currentAt;
    double m_meanReported = 1; ///< Moving average at m_reportedAt.
    std::optional<TimePoint> m_reportedAt;
    double m_meanGapRatio = 1; ///< Moving average of gaps in multiples of the usual, at m_gapAt.
    std::optional<TimePoint> m_gapAt;
    std::uint64_t m_gapCount = 0;
    Duration m_usualGap{0};       ///< At m_gapAt.
    double m_gapLevelSeconds = 0; ///< Moving average of the last gaps.
    /// Comfortable slots at m_comfortAt; none if there is no limit below the slots.
    std::optional<double> m_comfort;
    TimePoint m_comfortAt;
    TimePoint m_comfortStepAt;
    bool m_isHeld = false;
    double m_startLatenessSeconds = 0; ///< Moving average.
    TimePoint m_startLatenessAt;
};

} // namespace godwit
