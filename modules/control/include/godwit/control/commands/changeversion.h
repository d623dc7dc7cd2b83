#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

#include <cstdint>

namespace godwit {

/// Changes a load order to another version, a few hosts at a time.
struct ChangeVersion
{
    OperationId order;
    VersionId version;
    std::uint32_t rollingStep = 1; ///< Number of hosts that change at the same time.
    std::uint32_t errorLimit = 0;  ///< Failed loads that are tolerated before the change stops.

    friend bool operator==(const ChangeVersion &, const ChangeVersion &) = default;
};

template <>
struct JsonFields<ChangeVersion>
{
    static constexpr auto table = std::tuple{field("order", &ChangeVersion::order),
                                             field("version", &ChangeVersion::version),
                                             field("rolling_step", &ChangeVersion::rollingStep),
                                             field("error_limit", &ChangeVersion::errorLimit)};
};

} // namespace godwit
