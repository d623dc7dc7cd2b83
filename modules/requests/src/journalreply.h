#pragma once

#include <godwit/requests/slotsuccessor.h>

#include <optional>

namespace godwit {

/// The segment in a reply of the storage; nothing if it cannot be read.
inline std::optional<JournalSegment> parseSegment(const SlotStorageReply &reply)
{
    const auto outcome = capture([&] { return parseJournalSegment(reply.value); });
    return succeeded(outcome) ? std::optional(std::get<0>(outcome)) : std::nullopt;
}

} // namespace godwit
