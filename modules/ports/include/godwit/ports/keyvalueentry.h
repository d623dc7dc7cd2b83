#pragma once

#include <godwit/base/strongid.h>

#include <compare>
#include <string>

namespace godwit {

/// Revision of the whole key-value store; each write raises it. 0 stands for "no revision".
using StoreRevision = StrongNumber<struct StoreRevisionTag>;

/// Lease of the key-value service. 0 stands for "no lease".
using LeaseId = StrongNumber<struct LeaseIdTag>;

/// One key of the key-value service.
struct KeyValueEntry
{
    std::string key;
    std::string value;
    StoreRevision modified; ///< Store revision of the last write of this key.
    LeaseId lease;

    friend auto operator<=>(const KeyValueEntry &, const KeyValueEntry &) = default;
};

} // namespace godwit
