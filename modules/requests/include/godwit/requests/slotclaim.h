#pragma once

#include <godwit/requests/journalid.h>

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace godwit {

/// Slots that a host has taken over and the keys found in their journals.
struct SlotClaim
{
    struct Slot
    {
        std::vector<HostId> successors;
        std::optional<WallTime> journalGapUntil;
    };

    JournalId journal; ///< Journal of the new owner.
    std::size_t slotCount = 0;
    std::map<std::size_t, Slot> slots;
    /// Keys that may have run; the value is true if the key is known to have run.
    std::map<IdempotencyKey, bool> keys;
};

} // namespace godwit
