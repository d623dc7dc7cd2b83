#pragma once

#include <godwit/base/ids.h>

namespace godwit {

/// Query: why does a backend server not serve the version assigned to it?
struct ExplainReplica
{
    BackendId backend;

    friend bool operator==(const ExplainReplica &, const ExplainReplica &) = default;
};

} // namespace godwit
