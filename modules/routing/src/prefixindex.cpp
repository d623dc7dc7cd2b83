#include <godwit/routing/prefixindex.h>

#include <algorithm>
#include <bit>

namespace godwit {

namespace {

/// Weight of a block whose eviction event may have been lost.
constexpr float UnconfirmedWeight = 0.5F;

std::uint64_t serverBit(std::size_t server)
{
    return std::uint64_t{1} << server;
}

} // namespace

PrefixIndex::PrefixIndex(std::size_t capacity)
    : m_capacity(std::max<std::size_t>(1, capacity))
{
    m_entryIndices.reserve(m_capacity);
}

void PrefixIndex::apply(std::size_t server, const PrefixEvent &event)
{
    const std::uint64_t bit = serverBit(server);
    auto &last = m_lastSequence[server];
    const bool outOfOrder = last && event.sequence <= *last;
    if (event.kind == PrefixEvent::Kind::Cleared) {
        // Sequence numbers start again after a restart, so a Cleared event is never out of order.
        removeServer(server);
        last = event.sequence;
        return;
    }
    if (!outOfOrder) {
        if (last && event.sequence != *last + 1)
            markUnconfirmed(bit);
        last = event.sequence;
    }
    for (const std::uint64_t block : event.blocks) {
        if (event.kind == PrefixEvent::Kind::Stored && !outOfOrder) {
            Entry &entry = findOrAdd(block);
            entry.holders |= bit;
            entry.unconfirmed &= ~bit;
        } else if (event.kind == PrefixEvent::Kind::Evicted) {
            if (Entry *entry = find(block))
                entry->holders &= ~bit;
        }
    }
}

void PrefixIndex::recordSent(std::size_t server, std::span<const std::uint64_t> prefix)
{
    const std::uint64_t bit = serverBit(server);
    for (const std::uint64_t block : prefix) {
        Entry &entry = findOrAdd(block);
        entry.holders |= bit;
        entry.unconfirmed &= ~bit;
    }
}

void PrefixIndex::removeServer(std::size_t server)
{
    const std::uint64_t bit = serverBit(server);
    for (Entry &entry : m_entries) {
        entry.holders &= ~bit;
        entry.unconfirmed &= ~bit;
    }
    m_lastSequence[server].reset();
}

std::array<float, PrefixIndex::MaxServers> PrefixIndex::match(std::span<const std::uint64_t> prefix)
{
    std::array<float, MaxServers> blocks{};
    std::uint64_t holders = ~std::uint64_t{0};
    for (const std::uint64_t block : prefix) {
        Entry *entry = find(block);
        if (!entry)
            break;
        entry->referenced = true;
        holders &= entry->holders;
        if (holders == 0)
            break;
        for (std::uint64_t remaining = holders; remaining != 0; remaining &= remaining - 1) {
            const int server = std::countr_zero(remaining);
            const bool unconfirmed = (entry->unconfirmed >> server & 1) != 0;
            blocks[static_cast<std::size_t>(server)] += unconfirmed ? UnconfirmedWeight : 1;
        }
    }
    return blocks;
}

PrefixIndex::Entry &PrefixIndex::findOrAdd(std::uint64_t block)
{
    if (Entry *entry = find(block)) {
        entry->referenced = true;
        return *entry;
    }
    std::size_t position = m_entries.size();
    if (position < m_capacity)
        m_entries.emplace_back();
    else
        position = evictEntry();
    m_entries[position] = {block, 0, 0, true};
    m_entryIndices[block] = static_cast<std::uint32_t>(position);
    return m_entries[position];
}

PrefixIndex::Entry *PrefixIndex::find(std::uint64_t block)
{
    const auto it = m_entryIndices.find(block);
    return it == m_entryIndices.end() ? nullptr : &m_entries[it->second];
}

std::size_t PrefixIndex::evictEntry()
{
    while (m_entries[m_clockHand].referenced) {
        m_entries[m_clockHand].referenced = false;
        m_clockHand = (m_clockHand + 1) % m_capacity;
    }
    const std::size_t position = m_clockHand;
    m_clockHand = (m_clockHand + 1) % m_capacity;
    m_entryIndices.erase(m_entries[position].block);
    return position;
}

void PrefixIndex::markUnconfirmed(std::uint64_t bit)
{
    for (Entry &entry : m_entries)
        entry.unconfirmed |= entry.holders & bit;
}

} // namespace godwit
