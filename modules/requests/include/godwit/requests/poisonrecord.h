#pragma once

#include <godwit/base/digest.h>
#include <godwit/base/json.h>

#include <cstdint>
#include <set>
#include <string>
#include <tuple>

namespace godwit {

/// Gossip record about request content that was running when backend servers crashed.
struct PoisonRecord
{
    Digest content;
    std::set<std::string> crashes;    ///< "BACKEND/INCARNATION" of each crash.
    std::uint64_t clearedCrashes = 0; ///< Crashes after which the content has run without a crash.
    Duration remaining{0};            ///< Until the record expires; clocks are not compared.

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
