#pragma once

#include <godwit/requests/slotsuccessor.h>

#include <optional>

namespace godwit {

/// Parses the segment in a storage reply. Returns nothing if it is malformed.
inline std::optional<JournalSegment> parseSegment(const SlotStorageReply &reply)
{
    const auto outcome = capture([&] { return parseJournalSegment(reply.value); });
    return succeeded(outcome) ? std::optional(std::get<0>(outcome)) : std::nullopt;
}

} // namespace godwit
