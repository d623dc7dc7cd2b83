#pragma once

#include <godwit/base/ids.h>

#include <string>

namespace godwit {

/// Entry of the platform's host list. The list may be out of date.
struct HostListing
{
    HostId host;
    std::string address;
    ZoneId zone;
    bool leaving = false;

    friend bool operator==(const HostListing &, const HostListing &) = default;
};

} // namespace godwit
