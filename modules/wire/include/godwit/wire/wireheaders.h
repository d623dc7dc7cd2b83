#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace godwit {

/// Header or trailer fields in order of transmission. Names are lower case.
using WireFields = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field called \a name, or an empty view if there is none.
std::string_view fieldValue(const WireFields &fields, std::string_view name);

/// Headers of a request (method and path) or of a response (status).
struct WireHeaders
{
    std::string method;
    std::string path;
    int status = 0;
    WireFields fields;

    friend bool operator==(const WireHeaders &, const WireHeaders &) = default;
};

} // namespace godwit
