#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/time.h>

#include <cstdint>
#include <string>

namespace godwit {

/// Value of the key `/godwit/author/HOST`. Names the only process that may send orders to the
/// engines of the host.
struct AuthorRecord
{
    FencingNumber fencing;      ///< Increases whenever another process takes over the record.
    std::string holder;         ///< Id of the process, unique per process start.
    std::uint64_t renewals = 0; ///< Distinguishes a renewed record from an older one.
    Duration lease{0};          ///< 0 if the holder has released the lease and sends no orders.

    friend bool operator==(const AuthorRecord &, const AuthorRecord &) = default;
};

template <>
struct JsonFields<AuthorRecord>
{
    static constexpr auto table = std::tuple{
            field("fencing", &AuthorRecord::fencing), field("holder", &AuthorRecord::holder),
            field("renewals", &AuthorRecord::renewals), field("lease_us", &AuthorRecord::lease)};
};

} // namespace godwit
