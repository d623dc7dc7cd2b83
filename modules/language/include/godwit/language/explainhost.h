#pragma once

#include <godwit/base/ids.h>

namespace godwit {

/// Query: why does a host not serve?
struct ExplainHost
{
    HostId host;

    friend bool operator==(const ExplainHost &, const ExplainHost &) = default;
};

} // namespace godwit
