#pragma once

#include <godwit/requests/journalid.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace godwit {

/// Slots that a host has taken over, with what their journals say.
struct SlotClaim
{
    struct Slot
    {
        std::vector<HostId> successors;
        std::optional<WallTime> journalGapUntil;
    };

    JournalId journal; ///< In which the new owner writes.
    std::size_t slotCount = 0;
    std::map<std::size_t, Slot> slots;
    std::map<IdempotencyKey, bool>
            keys; ///< Keys that may have run; true if they are known to have.
};

} // namespace godwit
