#pragma once

#include <godwit/settings/fleetsettings.h>

#include <cstddef>

namespace godwit {

/// How often a process asks the store for changes.
struct PollIntervals
{
    /// Time after which a watch call returns without events. It confirms that there were none, and
    /// limits the time until a connection that has gone silent is noticed.
    Duration longPollTimeout{0};
    /// Between a watch call with events and the next one, so that one call returns many events.
    Duration batchDelay{0};

    friend bool operator==(const PollIntervals &, const PollIntervals &) = default;
};

/// Time added to a watch call for its response to arrive; the connection counts as silent
/// afterwards.
constexpr Duration LongPollGrace = std::chrono::milliseconds(600);
/// Subtracted from the key revocation time to obtain the maximum age of a confirmation that still
/// lets a request pass.
constexpr Duration RevocationMargin = std::chrono::milliseconds(400);

/// Intervals with which an entry process watches the operator's records and those of backend
/// servers. They are as long as \a bounds allow, since the store charges every call.
PollIntervals operatorPollIntervals(const FleetBounds &bounds);
PollIntervals backendPollIntervals(const FleetBounds &bounds);

/// Intervals of the one watch with which an entry process follows the operator's records, those of
/// backend servers and the crash reports: the shortest timeout and the shortest delay of the three.
///
/// A write that follows an event waits for the delay, also one of the operator, who has none
/// otherwise. The delay is at most an eighth of the drain limit, and SharedWatch ends it when the
/// call before it would have ended without events, so that confirmations get no older.
PollIntervals entryPollIntervals(const FleetBounds &bounds);

/// Maximum age of the last confirmation with which a request may be denied for good.
Duration maxDenialAge(const FleetBounds &bounds);

/// Time after which a host process asks again for the versions that it should serve. All \a hosts
/// together make a constant number of calls, which is possible because a host that learns of a
/// version tells others.
Duration versionPollTimeout(std::size_t hosts);

/// Intervals with which an entry process watches the crash reports of the others. There are none
/// most of the time; the timeout bounds the time until a connection that has gone silent is
/// noticed.
PollIntervals crashReportPollIntervals();

/// Intervals with which a host process watches the other hosts, which it needs only for transfers.
PollIntervals participantPollIntervals();

} // namespace godwit
