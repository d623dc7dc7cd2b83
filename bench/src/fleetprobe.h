#pragma once

#include "fleet.h"

#include <godwit/requests/slotdocument.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace godwit {

/// Present time on the clock of the stand-ins' ledgers.
Duration monotonicNow();

/// What the bench sees of a fleet from outside: ledgers of the stand-ins, metrics and the slot
/// document.
class FleetProbe
{
public:
    explicit FleetProbe(Fleet &fleet)
        : m_fleet(fleet)
    {}

    /// Only bookings whose keys begin so are counted from now on.
    void setBookingPrefix(std::string prefix) { m_bookingPrefix = std::move(prefix); }

    /// Configuration revision that each process shows, entry processes first.
    std::vector<std::uint64_t> revisions();

    /// Number of engines that serve a version.
    std::size_t serving();

    /// Starts of all engines together.
    std::uint64_t boots();

    SlotDocument slotDocument();
    std::size_t slotsOwnedBy(std::size_t host);

    /// The host that owns most slots of the booking service.
    std::size_t busiestOwner();

    /// When another host first ran a booking, after \a from, of a slot that \a host owned by
    /// \a before.
    std::optional<Duration> takenOverAt(const SlotDocument &before, std::size_t host,
                                        Duration from);

    /// Times at which bookings ran, in order; those of one host if it is given.
    std::vector<Duration> bookingTimes(std::optional<std::size_t> host = std::nullopt);
    std::size_t bookingsBetween(Duration from, Duration to,
                                std::optional<std::size_t> host = std::nullopt);

    std::vector<standin::EngineRun> runsOf(std::size_t host, Duration from, Duration to);
    std::size_t completionsBetween(Duration from, Duration to);

private:
    Fleet &m_fleet;
    std::string m_bookingPrefix;
};

} // namespace godwit
