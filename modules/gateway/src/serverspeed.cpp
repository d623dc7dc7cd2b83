#include <godwit/gateway/serverspeed.h>

#include <algorithm>
#include <cmath>

namespace godwit {

namespace {

constexpr double PercentPerFactor = 100;
/// Time constant with which the current factor returns to the mean of the backend server. Engines
/// change their speed several times per second, so that older observations say little.
constexpr double CurrentDecaySeconds = 0.3;
/// Time constant with which the event gaps of a backend server that reports its speed change the
/// current factor, and the bound of the weight of one gap: only two slow gaps in a row are more
/// likely a change of speed than the prefill of another request.
constexpr double CurrentGapSeconds = 0.1;
constexpr double MaxCurrentGapWeight = 0.6;
/// Time constant of the means.
constexpr double MeanSeconds = 3;
/// Without new information for longer than this, the means decay to 1 with the time constant above,
/// so that a backend server that was slow is tried again.
constexpr double MeanHoldSeconds = 1;
/// Bounds of the weight of one gap in the mean gap: many streams at a time must not shorten the
/// memory to a few events, and a single long gap after a pause must not exceed the tolerance.
constexpr double MinMeanGapWeight = 0.03;
constexpr double MaxMeanGapWeight = 0.1;
/// Bound of the weight of one report in the mean; reports of a single turn must not dominate it.
constexpr double MaxMeanReportWeight = 0.3;
/// Mean gap, in multiples of the usual, up to which a backend server counts as equally fast. It
/// covers the differences that come from the prompts of other requests.
constexpr double ToleratedEventGapRatio = 1.5;
/// Ratio from which the measured gap counts in full.
constexpr double FullEventGapRatio = 2;
/// Ratios of the measured gaps to the mean report: up to the first, reports count in full; from the
/// second on, they are considered false.
constexpr double TrustedReportRatio = 1.5;
constexpr double FalseReportRatio = 2;

/// Time constant of the gap level, which decides on the comfortable slots, and the bound of the
/// weight of one gap: the prefill of a long prompt makes single gaps long at any load.
constexpr double GapLevelSeconds = 0.3;
constexpr double MaxGapLevelWeight = 0.3;
/// Share of the longest accepted gap up to which the mean gap is comfortable. The rest is left for
/// the prompts that an engine reads between two events.
constexpr double ComfortableGapShare = 0.6;
/// Reduction of the comfortable slots with each step, and the time between two steps, in which the
/// effect of the previous one becomes visible.
constexpr double ComfortStepFactor = 0.85;
constexpr Duration ComfortStepInterval = std::chrono::milliseconds(300);
/// Growth of the comfortable slots while they are in use and gaps are short.
constexpr double ComfortGrowthPerSecond = 0.5;
/// A backend server counts as held from the first number of slots below its own, and as released
/// from the second on.
constexpr double HoldMargin = 1;
constexpr double ReleaseMargin = 0.5;

constexpr double LatenessWeight = 0.3;
constexpr double MaxLatenessSeconds = 1.0;
/// Time constant with which a measured lateness decays, so that a backend server that was late is
/// tried again.
constexpr double LatenessDecaySeconds = 2.0;

double clampFactor(double factor)
{
    return std::clamp(factor, ServerSpeed::MinFactor, ServerSpeed::MaxFactor);
}

/// Returns 1 for ratios within the tolerance, the ratio itself for large ones.
double withTolerance(double ratio)
{
    if (ratio < 1)
        return ratio > 0 ? 1 / withTolerance(1 / ratio) : 1;
    if (ratio >= FullEventGapRatio)
        return ratio;
    const double excess = std::max(0.0, ratio - ToleratedEventGapRatio);
    return 1 + excess * (FullEventGapRatio - 1) / (FullEventGapRatio - ToleratedEventGapRatio);
}

/// Part of a mean that remains after \a age without new information.
double remainingWeight(Duration age)
{
    return std::exp(-std::max(0.0, toSeconds(age) - MeanHoldSeconds) / MeanSeconds);
}

/// Weight of a new observation in a moving average with \a timeConstant, in seconds.
double newWeight(double seconds, double timeConstant)
{
    return 1 - std::exp(-seconds / timeConstant);
}

} // namespace

double ServerSpeed::measuredFactor(TimePoint now) const
{
    if (!m_gapAt)
        return 1;
    return 1 + (withTolerance(m_meanGapRatio) - 1) * remainingWeight(now - *m_gapAt);
}

double ServerSpeed::reportedMean(TimePoint now) const
{
    return m_reportedAt ? 1 + (m_meanReported - 1) * remainingWeight(now - *m_reportedAt) : 1;
}

double ServerSpeed::reportTrust(TimePoint now) const
{
    if (!m_reportedAt)
        return 0;
    if (!m_gapAt)
        return 1;
    const double evidence = remainingWeight(now - *m_gapAt);
    const double contradiction =
            evidence * std::abs(std::log(clampFactor(m_meanGapRatio) / reportedMean(now)));
    const double trusted = std::log(TrustedReportRatio);
    const double range = std::log(FalseReportRatio) - trusted;
    return std::clamp(1 - (contradiction - trusted) / range, 0.0, 1.0);
}

double ServerSpeed::meanFactor(TimePoint now) const
{
    const double trust = reportTrust(now);
    const double mean = trust * reportedMean(now) + (1 - trust) * measuredFactor(now);
    // Only events show that work is done faster than usual; errors arrive quickly, too.
    const double fastWeight = m_gapAt ? remainingWeight(now - *m_gapAt) : 0;
    return clampFactor(mean < 1 ? 1 + (mean - 1) * fastWeight : mean);
}

double ServerSpeed::factor(TimePoint now, Duration quietFor) const
{
    const double mean = meanFactor(now);
    if (!m_currentAt)
        return mean;
    const double weight = std::exp(-toSeconds(now - *m_currentAt) / CurrentDecaySeconds);
    const double known = mean + (m_current - mean) * weight;
    const bool isQuiet = quietFor > ToleratedEventGapRatio * m_usualGap;
    if (!isQuiet || m_usualGap <= Duration::zero())
        return clampFactor(known);
    const double quietRatio = toSeconds(quietFor) / toSeconds(m_usualGap);
    return clampFactor(std::max(known, withTolerance(quietRatio)));
}

void ServerSpeed::recordReport(std::uint32_t percent, TimePoint now)
{
    const double reported = clampFactor(percent / PercentPerFactor);
    const double sinceLast = m_reportedAt ? toSeconds(now - *m_reportedAt) : MeanSeconds;
    const double weight = std::min(MaxMeanReportWeight, newWeight(sinceLast, MeanSeconds));
    const double mean = reportedMean(now);
    const double current = factor(now);
    m_meanReported = mean + weight * (reported - mean);
    m_reportedAt = now;
    // Error responses carry reports as well; only events show fast work.
    const bool mayBeFast = m_gapAt && now - *m_gapAt < fromSeconds(MeanSeconds);
    const double believed = mayBeFast ? reported : std::max(1.0, reported);
    m_current = current + reportTrust(now) * (believed - current);
    m_currentAt = now;
}

void ServerSpeed::recordEventGap(const EventGap &gap, TimePoint now)
{
    const double sinceLast = toSeconds(m_gapAt ? now - *m_gapAt : gap.gap);
    updateComfort(gap, sinceLast, now);
    const double ratio = gap.usual > Duration::zero()
                                 ? clampFactor(toSeconds(gap.gap) / toSeconds(gap.usual))
                                 : 1;
    m_usualGap = gap.usual;
    const double current = factor(now);
    updateMeanGapRatio(ratio, now - gap.gap, now);
    if (!m_reportedAt)
        return;
    // The events of all streams of an engine arrive together and count as one.
    const double currentWeight =
            std::min(MaxCurrentGapWeight,
                     newWeight(std::min(toSeconds(gap.gap), sinceLast), CurrentGapSeconds));
    m_current = current + currentWeight * (withTolerance(ratio) - current);
    m_currentAt = now;
}

void ServerSpeed::updateMeanGapRatio(double ratio, TimePoint gapBeganAt, TimePoint now)
{
    double mean = 1;
    double sinceLast = MeanSeconds;
    if (m_gapAt) {
        // An old mean is forgotten as far as the new gap contradicts it. If the gap confirms it, it
        // is not learned again, so that each trial of a slow backend server costs few requests.
        const double forgotten =
                std::clamp(ratio, std::min(1.0, m_meanGapRatio), std::max(1.0, m_meanGapRatio));
        mean = forgotten + (m_meanGapRatio - forgotten) * remainingWeight(gapBeganAt - *m_gapAt);
        sinceLast = toSeconds(now - *m_gapAt);
    }
    const double usualWeight =
            std::clamp(newWeight(sinceLast, MeanSeconds), MinMeanGapWeight, MaxMeanGapWeight);
    // The first gaps have equal weights: a process with few streams would otherwise take many
    // requests to learn that a backend server is slow.
    const double weight = std::max(usualWeight, 1 / static_cast<double>(++m_gapCount));
    m_meanGapRatio = mean + weight * (ratio - mean);
    m_gapAt = now;
}

void ServerSpeed::recordStart(Duration late, TimePoint now)
{
    const double seconds = std::max(0.0, toSeconds(late));
    m_startLatenessSeconds += LatenessWeight * (seconds - m_startLatenessSeconds);
    m_startLatenessAt = now;
}

double ServerSpeed::startLateness(TimePoint now) const
{
    const double age = toSeconds(now - m_startLatenessAt);
    return std::min(MaxLatenessSeconds,
                    m_startLatenessSeconds * std::exp(-age / LatenessDecaySeconds));
}

double ServerSpeed::comfortableSlots(double slots, TimePoint now) const
{
    if (!m_comfort || *m_comfort >= slots)
        return slots;
    return slots - (slots - *m_comfort) * remainingWeight(now - m_comfortAt);
}

void ServerSpeed::updateComfort(const EventGap &gap, double sinceLastGap, TimePoint now)
{
    const double seconds = toSeconds(gap.gap);
    const double weight = std::min(MaxGapLevelWeight,
                                   newWeight(std::min(seconds, sinceLastGap), GapLevelSeconds));
    if (!m_gapAt)
        m_gapLevelSeconds = toSeconds(gap.usual);
    m_gapLevelSeconds += weight * (seconds - m_gapLevelSeconds);
    if (gap.max <= Duration::zero())
        return;
    // Gaps that are usual also without load do not improve with fewer requests.
    const double comfortable = std::max(ComfortableGapShare * toSeconds(gap.max),
                                        ToleratedEventGapRatio * toSeconds(gap.usualIdle));
    const double comfort = comfortableSlots(gap.slots, now);
    if (m_gapLevelSeconds <= comfortable) {
        if (m_comfort && gap.load > comfort - 1) {
            m_comfort = comfort + ComfortGrowthPerSecond * std::min(sinceLastGap, MeanHoldSeconds);
            m_comfortAt = now;
        }
        return;
    }
    // Above the comfortable slots long gaps are expected and say nothing new about their number.
    const double running = std::min(gap.load, gap.slots);
    const bool mayStep = now - m_comfortStepAt >= ComfortStepInterval;
    if (running <= comfort && mayStep) {
        m_comfort = std::max(1.0, running * ComfortStepFactor);
        m_comfortStepAt = now;
        m_comfortAt = now;
        m_isHeld = m_isHeld || *m_comfort <= gap.slots - HoldMargin;
    } else if (m_comfort) {
        m_comfort = comfort;
        m_comfortAt = now;
    }
}

bool ServerSpeed::releaseIfRecovered(double slots, TimePoint now)
{
    if (!m_isHeld || comfortableSlots(slots, now) < slots - ReleaseMargin)
        return false;
    m_isHeld = false;
    m_comfort.reset();
    return true;
}

} // namespace godwit
