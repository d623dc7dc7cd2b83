#pragma once

#include <godwit/base/result.h>
#include <godwit/requests/journalid.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace godwit {

/// Record `/godwit/journal/DEPLOYMENT/HOST.PROCESS.TERM/NUMBER` with the keys that the owner may
/// have dispatched. The owner rewrites the newest segment by compare-and-swap until it is full,
/// then seals it and creates the next one, which must not exist yet. A closed segment is the last
/// one of its journal.
struct JournalSegment
{
    static constexpr std::size_t MaxEntries = 2'000; ///< 260 KB with the longest keys.

    std::uint32_t format = 1;
    JournalId journal;
    std::uint64_t number = 0;
    std::uint64_t oldestSegment = 0; ///< Number of the oldest segment that has not been deleted.
    /// Sequence number of the write within the journal, starting at 1.
    std::uint64_t writeNumber = 0;
    /// Number of keys that were dispatched during an outage of the key-value service and are not in
    /// the journal yet.
    std::uint64_t unjournaledCount = 0;
    bool sealed = false;
    bool closed = false;
    WallTime writtenAt;
    std::vector<IdempotencyKey> keys;
    /// Keys of this or an earlier segment that are known to have run.
    std::vector<IdempotencyKey> finishedKeys;

    friend bool operator==(const JournalSegment &, const JournalSegment &) = default;
};

template <>
struct JsonFields<JournalSegment>
{
    static constexpr auto table = std::tuple{field("format", &JournalSegment::format),
                                             field("journal", &JournalSegment::journal),
                                             field("number", &JournalSegment::number),
                                             field("first", &JournalSegment::oldestSegment),
                                             field("beat", &JournalSegment::writeNumber),
                                             field("behind", &JournalSegment::unjournaledCount),
                                             field("sealed", &JournalSegment::sealed),
                                             field("closed", &JournalSegment::closed),
                                             field("at_us", &JournalSegment::writtenAt),
                                             field("keys", &JournalSegment::keys),
                                             field("finished", &JournalSegment::finishedKeys)};
};

/// Parses and validates a stored segment. Fails with JsonMalformed, JsonFieldInvalid or
/// SlotRecordInvalid.
Result<JournalSegment> parseJournalSegment(std::string_view text);

} // namespace godwit
