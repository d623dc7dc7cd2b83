#pragma once

#include <godwit/base/ids.h>
#include <godwit/base/json.h>

namespace godwit {

/// Returns a drained host to service.
struct ReturnHost
{
    HostId host;

    friend bool operator==(const ReturnHost &, const ReturnHost &) = default;
};

template <>
struct JsonFields<ReturnHost>
{
    static constexpr auto table = std::tuple{field("host", &ReturnHost::host)};
};

} // namespace godwit
