#pragma once

#include <godwit/base/result.h>
#include <godwit/requests/journalid.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Closed journal that holds keys of a slot within the retention time.
struct PastJournal
{
    JournalId journal;
    std::uint64_t firstSegment = 0; ///< Range of its segments.
    std::uint64_t lastSegment = 0;
    WallTime closedAt;

    friend bool operator==(const PastJournal &, const PastJournal &) = default;
};

/// Ownership of one slot.
struct SlotEntry
{
    JournalId journal;       ///< Of the owner.
    std::uint64_t epoch = 0; ///< Of the last takeover, 0 if the slot was never owned.
    std::vector<HostId> successors;
    std::vector<PastJournal> pastJournals;
    /// Keys that are not provably newer than this may have run without a journal entry.
    std::optional<WallTime> journalGapUntil;

    friend bool operator==(const SlotEntry &, const SlotEntry &) = default;
};

/// Record `/godwit/slots/DEPLOYMENT`.
struct SlotDocument
{
    static constexpr std::size_t MaxSlots = 1'024;

    std::uint32_t format = 1;
    std::uint64_t epoch = 0; ///< Number of the last takeover of any slot.
    std::vector<SlotEntry> slots;

    /// Slot of \a key. The document must have slots.
    std::size_t slotOf(const IdempotencyKey &key) const;

    /// Document that names an owner and up to two successors for each slot, by rendezvous over
    /// \a hosts.
    static SlotDocument initial(const DeploymentId &deployment, const std::vector<HostId> &hosts,
                                std::size_t slots);

    friend bool operator==(const SlotDocument &, const SlotDocument &) = default;
};

template <>
struct JsonFields<PastJournal>
{
    static constexpr auto table = std::tuple{
            field("journal", &PastJournal::journal), field("first", &PastJournal::firstSegment),
            field("last", &PastJournal::lastSegment), field("at_us", &PastJournal::closedAt)};
};

template <>
struct JsonFields<SlotEntry>
{
    static constexpr auto table = std::tuple{
            field("journal", &SlotEntry::journal), field("epoch", &SlotEntry::epoch),
            field("successors", &SlotEntry::successors), field("past", &SlotEntry::pastJournals),
            field("gap_before_us", &SlotEntry::journalGapUntil)};
};

template <>
struct JsonFields<SlotDocument>
{
    static constexpr auto table =
            std::tuple{field("format", &SlotDocument::format), field("epoch", &SlotDocument::epoch),
                       field("slots", &SlotDocument::slots)};
};

/// Key of the document in the key-value service.
std::string slotDocumentKey(const DeploymentId &deployment);

/// Parses the document. Fails with JsonMalformed, JsonFieldInvalid or SlotRecordInvalid.
Result<SlotDocument> parseSlotDocument(std::string_view text);

} // namespace godwit
