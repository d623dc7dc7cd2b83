#pragma once

#include <godwit/base/strongid.h>

#include <compare>
#include <string>

namespace godwit {

/// Revision of the whole key-value store, which increases with each write. 0 means "no revision".
using StoreRevision = StrongNumber<struct StoreRevisionTag>;

/// Lease of the key-value service. 0 means "no lease".
using LeaseId = StrongNumber<struct LeaseIdTag>;

/// One key of the key-value service with its value.
struct KeyValueEntry
{
    std::string key;
    std::string value;
    StoreRevision modified; ///< Store revision of the last write of this key.
    LeaseId lease;

    friend auto operator<=>(const KeyValueEntry &, const KeyValueEntry &) = default;
};

} // namespace godwit
