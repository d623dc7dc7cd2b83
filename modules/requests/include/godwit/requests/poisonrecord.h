#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/json.h>

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace godwit {

/// Gossip record of request content that was running when backend servers crashed.
struct PoisonRecord
{
    Digest content;
    std::set<std::string> crashes; ///< One entry "BACKEND/INCARNATION" per crash.
    /// Number of crashes that were followed by a run without a crash.
    std::uint64_t clearedCrashes = 0;
    /// Time until the record expires. Relative, so that clocks of different machines are not
    /// compared.
    Duration remaining{0};

    friend bool operator==(const PoisonRecord &, const PoisonRecord &) = default;
};

template <>
struct JsonFields<PoisonRecord>
{
    static constexpr auto table = std::tuple{field("content", &PoisonRecord::content),
                                             field("crashes", &PoisonRecord::crashes),
                                             field("cleared", &PoisonRecord::clearedCrashes),
                                             field("remaining_us", &PoisonRecord::remaining)};
};

} // namespace godwit
