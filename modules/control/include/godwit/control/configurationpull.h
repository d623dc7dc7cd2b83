#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Request on `/config` for the changes since a revision.
struct ConfigurationPull
{
    Revision applied; ///< Revision in effect at the sender; 0 requests the whole document.

    friend bool operator==(const ConfigurationPull &, const ConfigurationPull &) = default;
};

template <>
struct JsonFields<ConfigurationPull>
{
    static constexpr auto table = std::tuple{field("applied", &ConfigurationPull::applied)};
};

} // namespace godwit
