#pragma once

#include <godwit/base/time.h>

#include <chrono>
#include <cstddef>

namespace godwit {

/// Timing parameters and limits of at-most-once execution. Must be equal on all hosts of a
/// deployment.
struct SlotSettings
{
    /// Number of slots of a new deployment.
    std::size_t slotCount = 64;
    /// A successor takes over when the journal has not changed for this time.
    Duration leaseDuration = std::chrono::seconds(6);
    /// Interval between journal writes, see commitInterval().
    Duration commitInterval = std::chrono::milliseconds(100);
    /// How long a successor promises not to take over a slot.
    Duration promiseDuration = std::chrono::seconds(4);
    /// A call to the key-value service without a reply is considered lost after this time.
    Duration storageTimeout = std::chrono::seconds(1);
    /// How long keys are retained. UUIDv7 keys that are older are refused.
    Duration keyRetention = std::chrono::hours(1);
    /// Maximum tolerated difference between the wall clocks of two machines.
    Duration maxClockSkew = std::chrono::seconds(2);
    /// Maximum number of keys in memory; 200,000 keys use about 50 MB.
    std::size_t maxKeys = 200'000;
    /// Maximum number of keys that wait for the journal.
    std::size_t maxWaitingKeys = 20'000;
    /// Maximum number of attempts that wait for the same key.
    std::size_t maxWaitersPerKey = 16;
    /// Maximum total size of cached responses.
    std::size_t maxResponseBytes = 16'000'000;
    /// Maximum number of entries in a journal segment. A segment is rewritten as a whole, so larger
    /// segments write more bytes, while smaller ones need more reads during a takeover. Measured
    /// with requests-journal.
    std::size_t maxSegmentEntries = 400;

    // The following margins are fractions of the lease and the promise. Fault runs with both
    // margins set to zero show that they are needed.

    /// The owner stops dispatching this long before its lease can expire.
    Duration leaseMargin = leaseDuration / 4;
    /// A successor keeps a promise for this much longer than it announced.
    Duration promiseMargin = promiseDuration / 4;
};

/// Returns the interval at which each of \a ownerCount owners writes its journal, so that all
/// owners together make at most \a writesPerSecond writes per second.
constexpr Duration commitInterval(std::size_t ownerCount, double writesPerSecond = 120.0)
{
    return fromSeconds(static_cast<double>(ownerCount) / writesPerSecond);
}

} // namespace godwit
