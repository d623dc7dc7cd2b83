#pragma once

#include <godwit/base/ids.h>

namespace godwit {

/// Query: why was a request refused?
struct ExplainRequest
{
    RequestId request;

    friend bool operator==(const ExplainRequest &, const ExplainRequest &) = default;
};

} // namespace godwit
