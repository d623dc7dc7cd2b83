#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>
#include <godwit/base/time.h>

#include <optional>

namespace godwit {

/// State of the sender's configuration, carried by every gossip message.
struct ConfigurationGossip
{
    Revision applied;   ///< Revision in effect at the sender.
    Revision confirmed; ///< Highest revision that the sender knows to be stored.
    /// Time since the key-value service last confirmed to any process that the confirmed revision
    /// is the newest. The transit time of each hop is not included; it is small compared to
    /// staleAfter.
    std::optional<Duration> age;

    friend bool operator==(const ConfigurationGossip &, const ConfigurationGossip &) = default;
};

template <>
struct JsonFields<ConfigurationGossip>
{
    static constexpr auto table = std::tuple{field("applied", &ConfigurationGossip::applied),
                                             field("confirmed", &ConfigurationGossip::confirmed),
                                             field("age_us", &ConfigurationGossip::age)};
};

} // namespace godwit
