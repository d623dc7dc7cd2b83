#include <godwit/base/rendezvous.h>
#include <godwit/requests/idempotency.h>
#include <godwit/requests/journalsegment.h>
#include <godwit/requests/slotdocument.h>

#include <algorithm>

namespace godwit {

namespace {

boost::leaf::error_id invalid(const char *message)
{
    return fail(ResultCode::SlotRecordInvalid, message);
}

bool isValidJournalId(const JournalId &journal)
{
    const std::string &host = journal.host.value();
    return !host.empty() && host.find('/') == std::string::npos;
}

bool areValidKeys(const std::vector<IdempotencyKey> &keys)
{
    return std::all_of(keys.begin(), keys.end(),
                       [](const IdempotencyKey &key) { return isValidIdempotencyKey(key); });
}

bool isValidSlot(const SlotEntry &slot, std::uint64_t epoch)
{
    const auto isValidSuccessor = [&](const HostId &host) {
        return !host.value().empty() && host != slot.journal.host;
    };
    const auto isValidPastJournal = [](const PastJournal &past) {
        return isValidJournalId(past.journal) && past.journal.isStarted()
               && past.firstSegment <= past.lastSegment;
    };
    return isValidJournalId(slot.journal) && slot.epoch <= epoch
           && slot.journal.isStarted() == (slot.epoch > 0) && slot.successors.size() <= 2
           && std::all_of(slot.successors.begin(), slot.successors.end(), isValidSuccessor)
           && std::all_of(slot.pastJournals.begin(), slot.pastJournals.end(), isValidPastJournal);
}

} // namespace

std::string JournalId::segmentKey(const DeploymentId &deployment, std::uint64_t number) const
{
    return "/godwit/journal/" + deployment.value() + '/' + host.value() + '.'
           + std::to_string(process.value) + '.' + std::to_string(term) + '/'
           + std::to_string(number);
}

std::string slotDocumentKey(const DeploymentId &deployment)
{
    return "/godwit/slots/" + deployment.value();
}

std::size_t SlotDocument::slotOf(const IdempotencyKey &key) const
{
    return stableHash(key.value()) % slots.size();
}

SlotDocument SlotDocument::initial(const DeploymentId &deployment, const std::vector<HostId> &hosts,
                                   std::size_t slots)
{
    std::vector<std::string> names;
    names.reserve(hosts.size());
    for (const HostId &host : hosts)
        names.push_back(host.value());
    SlotDocument document;
    document.slots.resize(slots);
    for (std::size_t i = 0; i < slots; ++i) {
        const auto top = rendezvousTop(deployment.value() + '#' + std::to_string(i), names, 3);
        SlotEntry &slot = document.slots[i];
        slot.journal.host = HostId(top.front());
        for (std::size_t rank = 1; rank < top.size(); ++rank)
            slot.successors.emplace_back(top[rank]);
    }
    return document;
}

Result<JournalSegment> parseJournalSegment(std::string_view text)
{
    auto parsed = parseJson<JournalSegment>(text);
    if (!parsed)
        return parsed.error();
    const JournalSegment &segment = parsed.value();
    if (segment.format != 1)
        return invalid("journal segment: unsupported format version");
    if (!isValidJournalId(segment.journal) || !segment.journal.isStarted())
        return invalid("journal segment: invalid journal id");
    if (segment.oldestSegment > segment.number || segment.writeNumber == 0)
        return invalid("journal segment: invalid segment or write number");
    if (segment.keys.size() + segment.finishedKeys.size() > JournalSegment::MaxEntries)
        return invalid("journal segment: too many keys");
    if (!areValidKeys(segment.keys) || !areValidKeys(segment.finishedKeys))
        return invalid("journal segment: invalid idempotency key");
    return parsed;
}

Result<SlotDocument> parseSlotDocument(std::string_view text)
{
    auto parsed = parseJson<SlotDocument>(text);
    if (!parsed)
        return parsed.error();
    const SlotDocument &document = parsed.value();
    if (document.format != 1)
        return invalid("slot document: unsupported format version");
    if (document.slots.empty() || document.slots.size() > SlotDocument::MaxSlots)
        return invalid("slot document: invalid number of slots");
    for (const SlotEntry &slot : document.slots) {
        if (!isValidSlot(slot, document.epoch))
            return invalid("slot document: invalid slot entry");
    }
    return parsed;
}

} // namespace godwit
