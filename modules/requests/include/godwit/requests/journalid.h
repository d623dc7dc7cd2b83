#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/requests/instant.h>

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>

namespace godwit {

/// Identifies the journal of one slot owner. A process whose journal was closed starts a new
/// journal with the next term, and a restarted process has a new incarnation, so an id is never
/// reused.
struct JournalId
{
    HostId host;
    /// Incarnation of the owner process; 0 if the host is designated as owner but has not claimed
    /// the slot yet.
    Incarnation process;
    std::uint64_t term = 0;

    bool isStarted() const { return process.value != 0; }

    /// Returns the key of segment \a number in the key-value service.
    std::string segmentKey(const DeploymentId &deployment, std::uint64_t number) const;

    friend auto operator<=>(const JournalId &, const JournalId &) = default;
};

template <>
struct JsonFields<JournalId>
{
    static constexpr auto table =
            std::tuple{field("host", &JournalId::host), field("process", &JournalId::process),
                       field("term", &JournalId::term)};
};

/// Encodes wall-clock times as microseconds since 1970 UTC.
template <>
struct JsonCodec<WallTime>
{
    static boost::json::value encode(WallTime time) { return time.time_since_epoch().count(); }
    static Result<WallTime> decode(const boost::json::value &json, const std::string &path)
    {
        BOOST_LEAF_AUTO(count, fromJson<std::int64_t>(json, path));
        return WallTime(Duration(count));
    }
};

} // namespace godwit
