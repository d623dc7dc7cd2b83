#pragma once

#include <godwit/base/result.h>
#include <godwit/requests/journalid.h>

#include <cstddef>
#include <string_view>
#include <vector>

namespace godwit {

/// Record `/godwit/journal/DEPLOYMENT/HOST.PROCESS.TERM/NUMBER`: keys that the owner may have
/// dispatched. The owner rewrites the newest segment by compare-and-swap until it is full, seals it
/// and creates the next one, which must not exist. A closed segment is the last of its journal.
struct JournalSegment
{
    static constexpr std::size_t MaxEntries = 2'000; ///< 260 KB with the longest keys.

    std::uint32_t format = 1;
    JournalId journal;
    std::uint64_t number = 0;
    std::uint64_t oldestSegment = 0;    ///< Oldest segment that has not been deleted.
    std::uint64_t writeNumber = 0;      ///< Number of the write within the journal, from 1.
    std::uint64_t unjournaledCount = 0; ///< Keys that were dispatched during an outage and are not
                                        ///< yet in the journal.
    bool sealed = false;
    bool closed = false;
    WallTime writtenAt;
    std::vector<IdempotencyKey> keys;
    std::vector<IdempotencyKey> finishedKeys; ///< Keys, here or in earlier segments, that ran.

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

/// Parses the value of a segment. Fails with JsonMalformed, JsonFieldInvalid or SlotRecordInvalid.
Result<JournalSegment> parseJournalSegment(std::string_view text);

} // namespace godwit
