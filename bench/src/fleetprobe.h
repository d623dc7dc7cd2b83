#pragma once

#include "fleet.h"

#include <godwit/requests/slotdocument.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Current time on the clock of the stand-ins' ledgers.
Duration monotonicNow();

/// Observes a fleet from outside: the ledgers of the stand-ins, the metrics of the processes and
/// the slot document.
class FleetProbe
{
public:
    explicit FleetProbe(Fleet &fleet)
        : m_fleet(fleet)
    {}

    /// Restricts bookingTimes() and bookingsBetween() to bookings whose keys start with \a prefix.
    void setBookingPrefix(std::string prefix) { m_bookingPrefix = std::move(prefix); }

    /// Configuration revision in the metrics of each process, entry processes first; 0 if it cannot
    /// be read.
    std::vector<std::uint64_t> revisions();

    /// Number of engines that have a version loaded.
    std::size_t servingEngines();

    /// Total number of starts of all engines.
    std::uint64_t engineBoots();

    SlotDocument slotDocument();
    std::size_t slotsOwnedBy(std::size_t host);

    /// Index of the host that owns the most slots of the booking service.
    std::size_t hostWithMostSlots();

    /// Time at or after \a from at which another host first ran a booking of a slot that \a host
    /// owned in \a before, or nullopt if none did.
    std::optional<Duration> takeoverTime(const SlotDocument &before, std::size_t host,
                                         Duration from);

    /// Times at which bookings ran, in ascending order; only those on \a host if it is given.
    std::vector<Duration> bookingTimes(std::optional<std::size_t> host = std::nullopt);
    std::size_t bookingsBetween(Duration from, Duration to,
                                std::optional<std::size_t> host = std::nullopt);

    std::vector<standin::EngineRun> engineRuns(std::size_t host, Duration from, Duration to);
    std::size_t completionsBetween(Duration from, Duration to);

private:
    Fleet &m_fleet;
    std::string m_bookingPrefix;
};

} // namespace godwit
