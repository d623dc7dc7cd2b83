#pragma once

#include <godwit/base/time.h>

#include <chrono>
#include <cstddef>

namespace godwit {

/// Times and limits of at-most-once execution, equal on all hosts of a deployment.
struct SlotSettings
{
    /// Slots of a new deployment.
    std::size_t slotCount = 64;
    /// A successor takes over when the journal has not changed for this long.
    Duration leaseDuration = std::chrono::seconds(6);
    /// Interval between journal writes, see commitInterval().
    Duration commitInterval = std::chrono::milliseconds(100);
    /// How long a successor promises not to take over.
    Duration promiseDuration = std::chrono::seconds(4);
    /// Without an answer from the key-value service, a call counts as lost after this time.
    Duration storageTimeout = std::chrono::seconds(1);
    /// How long a key is remembered. Older UUIDv7 keys are refused.
    Duration keyRetention = std::chrono::hours(1);
    /// Greatest accepted difference between wall clocks.
    Duration maxClockSkew = std::chrono::seconds(2);
    /// Keys in memory; 200,000 keys take about 50 MB.
    std::size_t maxKeys = 200'000;
    /// Keys that wait for the journal.
    std::size_t maxWaitingKeys = 20'000;
    /// Attempts that wait for the same key.
    std::size_t maxWaitersPerKey = 16;
    /// Memory for responses.
    std::size_t maxResponseBytes = 16'000'000;
    /// Entries of a journal segment, which is rewritten as a whole. More of them cost bytes for
    /// each write, fewer of them cost reads at a takeover (requests-journal).
    std::size_t maxSegmentEntries = 400;

    // The following margins are parts of the lease and the promise. The fault runs set them to zero
    // to show that they are needed.

    /// The owner stops this long before its lease could have expired.
    Duration leaseMargin = leaseDuration / 4;
    /// A successor keeps a promise for this much longer than it said.
    Duration promiseMargin = promiseDuration / 4;
};

/// Interval at which each of \a writers owners writes its journal, so that all of them together
/// make at most \a writesPerSecond writes.
constexpr Duration commitInterval(std::size_t ownerCount, double writesPerSecond = 120.0)
{
    return fromSeconds(static_cast<double>(ownerCount) / writesPerSecond);
}

} // namespace godwit
