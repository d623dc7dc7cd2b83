#include "fleetprobe.h"

#include <algorithm>
#include <charconv>

namespace godwit {

Duration monotonicNow()
{
    return MonotonicClock::now().time_since_epoch();
}

std::vector<std::uint64_t> FleetProbe::revisions()
{
    constexpr std::string_view Name = "\ngodwit_configuration_revision ";
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < m_fleet.options().entries; ++i)
        texts.push_back(m_fleet.entryMetrics(i));
    for (std::size_t i = 0; i < m_fleet.options().hosts; ++i)
        texts.push_back(m_fleet.hostMetrics(i));
    std::vector<std::uint64_t> found;
    for (const auto &text : texts) {
        const auto at = text.find(Name);
        std::uint64_t revision = 0;
        if (at != std::string::npos)
            std::from_chars(text.data() + at + Name.size(), text.data() + text.size(), revision);
        found.push_back(revision);
    }
    return found;
}

std::size_t FleetProbe::servingEngines()
{
    std::size_t count = 0;
    for (const auto &state : m_fleet.engineStates())
        count += state.loaded.empty() ? 0 : 1;
    return count;
}

std::uint64_t FleetProbe::engineBoots()
{
    std::uint64_t sum = 0;
    for (const auto &state : m_fleet.engineStates())
        sum += state.boots;
    return sum;
}

SlotDocument FleetProbe::slotDocument()
{
    auto document =
            capture([&] { return parseSlotDocument(m_fleet.keyValue("/godwit/slots/booking")); });
    return succeeded(document) ? std::move(std::get<0>(document)) : SlotDocument();
}

std::size_t FleetProbe::slotsOwnedBy(std::size_t host)
{
    const HostId name(Fleet::hostName(host));
    return static_cast<std::size_t>(
            std::ranges::count_if(slotDocument().slots, [&](const SlotEntry &slot) {
                return slot.journal.host == name;
            }));
}

std::optional<Duration> FleetProbe::takeoverTime(const SlotDocument &before, std::size_t host,
                                                 Duration from)
{
    std::optional<Duration> first;
    const auto ledgers = m_fleet.bookingLedgers();
    for (std::size_t i = 0; i < ledgers.size(); ++i) {
        for (const auto &run : ledgers[i]) {
            if (i == host || run.time < from || before.slots.empty())
                continue;
            const SlotEntry &slot = before.slots[before.slotOf(IdempotencyKey(run.key))];
            if (slot.journal.host == HostId(Fleet::hostName(host)) && (!first || run.time < *first))
                first = run.time;
        }
    }
    return first;
}

std::size_t FleetProbe::hostWithMostSlots()
{
    std::vector<std::size_t> slots;
    for (std::size_t i = 0; i < m_fleet.options().bookingHosts; ++i)
        slots.push_back(slotsOwnedBy(i));
    return static_cast<std::size_t>(std::ranges::max_element(slots) - slots.begin());
}

std::vector<Duration> FleetProbe::bookingTimes(std::optional<std::size_t> host)
{
    const auto ledgers = m_fleet.bookingLedgers();
    std::vector<Duration> times;
    for (std::size_t i = 0; i < ledgers.size(); ++i) {
        if (host && i != *host)
            continue;
        for (const auto &run : ledgers[i]) {
            if (run.key.starts_with(m_bookingPrefix))
                times.push_back(run.time);
        }
    }
    std::ranges::sort(times);
    return times;
}

std::size_t FleetProbe::bookingsBetween(Duration from, Duration to, std::optional<std::size_t> host)
{
    return static_cast<std::size_t>(std::ranges::count_if(
            bookingTimes(host), [&](Duration time) { return time >= from && time < to; }));
}

std::vector<standin::EngineRun> FleetProbe::engineRuns(std::size_t host, Duration from, Duration to)
{
    auto runs = m_fleet.engineLedgers().at(host).runs;
    std::erase_if(runs, [&](const auto &run) { return run.received < from || run.received >= to; });
    return runs;
}

std::size_t FleetProbe::completionsBetween(Duration from, Duration to)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < m_fleet.options().hosts; ++i)
        count += engineRuns(i, from, to).size();
    return count;
}

} // namespace godwit
