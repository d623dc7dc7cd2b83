#include "storepolling.h"

#include <algorithm>

namespace godwit {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration MinLongPollTimeout = milliseconds(500);
/// Time for a call to fail, be retried and be answered, beyond the time until it counts as failed.
constexpr Duration RetryAllowance = milliseconds(400);
/// A batch delay takes at most this fraction of the time within which a leaving backend server must
/// be known.
constexpr int DrainBatchDivisor = 8;
/// Calls per second by which all host processes together ask for new versions.
constexpr double VersionPollsPerSecond = 8;
/// Half of WriteInterval of CrashReportExchange, so that both together stay within the shortest
/// reconnection period of a fleet (3 s).
constexpr Duration CrashReportBatchDelay = milliseconds(750);
constexpr Duration MinVersionPollTimeout = milliseconds(2500);
constexpr Duration MaxVersionPollTimeout = seconds(20);

} // namespace

PollIntervals operatorPollIntervals(const FleetBounds &bounds)
{
    // A confirmation refers to the time at which its call was sent. Before the next one arrives it
    // is as old as two calls.
    Duration timeout = bounds.configurationLimit / 2;
    if (bounds.strictRevocation) {
        const Duration maxAge = bounds.keyRevocationLimit - RevocationMargin;
        timeout = std::min(timeout, (maxAge - LongPollGrace - RetryAllowance) / 2);
    }
    timeout = std::min(timeout, bounds.reconnectionGracePeriod - LongPollGrace - RetryAllowance);
    return {std::max(timeout, MinLongPollTimeout), Duration::zero()};
}

PollIntervals backendPollIntervals(const FleetBounds &bounds)
{
    const Duration batch = bounds.drainLimit / DrainBatchDivisor;
    // A connection that has gone silent must be noticed before the reconnection period is over.
    const Duration timeout =
            bounds.reconnectionGracePeriod - LongPollGrace - RetryAllowance - batch;
    return {std::max(timeout, MinLongPollTimeout), batch};
}

Duration maxDenialAge(const FleetBounds &bounds)
{
    constexpr Duration Margin = milliseconds(500);
    return std::max(Duration::zero(), bounds.configurationLimit - Margin);
}

Duration versionPollTimeout(std::size_t hosts)
{
    return std::clamp(fromSeconds(static_cast<double>(hosts) / VersionPollsPerSecond),
                      MinVersionPollTimeout, MaxVersionPollTimeout);
}

PollIntervals crashReportPollIntervals()
{
    return {seconds(5), CrashReportBatchDelay};
}

PollIntervals entryPollIntervals(const FleetBounds &bounds)
{
    const PollIntervals operatorRecords = operatorPollIntervals(bounds);
    const PollIntervals backendRecords = backendPollIntervals(bounds);
    const PollIntervals crashReports = crashReportPollIntervals();
    return {std::min({operatorRecords.longPollTimeout, backendRecords.longPollTimeout,
                      crashReports.longPollTimeout}),
            std::min(backendRecords.batchDelay, crashReports.batchDelay)};
}

PollIntervals participantPollIntervals()
{
    return {seconds(25), seconds(10)};
}

} // namespace godwit
