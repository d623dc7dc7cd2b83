#pragma once

#include <godwit/base/json.h>
#include <godwit/ports/modelpin.h>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace godwit {

enum class CacheEventKind {
    Stored,
    Evicted,
    Cleared, ///< All blocks were removed, for example by a load.
};

template <>
struct JsonNames<CacheEventKind>
{
    static constexpr std::array<std::pair<CacheEventKind, std::string_view>, 3> table{
            {{CacheEventKind::Stored, "stored"},
             {CacheEventKind::Evicted, "evicted"},
             {CacheEventKind::Cleared, "cleared"}}};
};

/// One change of the prefix cache of an engine.
struct CacheEvent
{
    std::uint64_t sequence = 0; ///< Starts at 1. A gap means that events were lost.
    CacheEventKind kind = CacheEventKind::Stored;
    ModelPin pin;      ///< Weights that the block was computed with.
    std::string block; ///< Hash of the block, see cacheblocks.h.

    friend auto operator<=>(const CacheEvent &, const CacheEvent &) = default;
};

template <>
struct JsonFields<CacheEvent>
{
    static constexpr auto table =
            std::tuple{field("sequence", &CacheEvent::sequence), field("kind", &CacheEvent::kind),
                       field("pin", &CacheEvent::pin), field("block", &CacheEvent::block)};
};

/// Cache events in ascending order of sequence numbers.
struct CacheEvents
{
    /// Start count of the engine. Sequence numbers begin again with each start.
    std::uint64_t boots = 0;
    std::uint64_t next = 1; ///< Sequence number to request next.
    std::vector<CacheEvent> events;

    friend auto operator<=>(const CacheEvents &, const CacheEvents &) = default;
};

template <>
struct JsonFields<CacheEvents>
{
    static constexpr auto table =
            std::tuple{field("boots", &CacheEvents::boots), field("next", &CacheEvents::next),
                       field("events", &CacheEvents::events)};
};

} // namespace godwit
