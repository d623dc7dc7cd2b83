#pragma once

#include <godwit/base/result.h>
#include <godwit/requests/journalid.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit {

/// Closed journal that contains keys of a slot that are still within the retention time.
struct PastJournal
{
    JournalId journal;
    std::uint64_t firstSegment = 0; ///< First and last segment of the journal.
    std::uint64_t lastSegment = 0;
    WallTime closedAt;

    friend bool operator==(const PastJournal &, const PastJournal &) = default;
};

/// Ownership of one slot.
struct SlotEntry
{
    JournalId journal; ///< Journal of the owner.
    /// Epoch of the last takeover of this slot; 0 if the slot has never been claimed.
    std::uint64_t epoch = 0;
    std::vector<HostId> successors;
    std::vector<PastJournal> pastJournals;
    /// Keys that are not provably newer than this time may have run without a journal entry.
    std::optional<WallTime> journalGapUntil;

    friend bool operator==(const SlotEntry &, const SlotEntry &) = default;
};

/// Record `/godwit/slots/DEPLOYMENT`, which assigns the slots of a deployment to hosts.
struct SlotDocument
{
    static constexpr std::size_t MaxSlots = 1'024;

    std::uint32_t format = 1;
    std::uint64_t epoch = 0; ///< Incremented by every change of the document, such as a takeover.
    std::vector<SlotEntry> slots;

    /// Returns the slot of \a key. The document must have at least one slot.
    std::size_t slotOf(const IdempotencyKey &key) const;

    /// Creates a document with an owner and up to two successors for each slot, chosen by
    /// rendezvous hashing over \a hosts.
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

/// Returns the key of the document in the key-value service.
std::string slotDocumentKey(const DeploymentId &deployment);

/// Parses and validates a stored document. Fails with JsonMalformed, JsonFieldInvalid or
/// SlotRecordInvalid.
Result<SlotDocument> parseSlotDocument(std::string_view text);

} // namespace godwit
