#pragma once

#include <godwit/ports/keyvalueentry.h>

#include <compare>
#include <memory>
#include <optional>

namespace godwit {

/// Era of the key-value service, which increases each time the service comes back from a copy that
/// may lack recent writes. Revisions and lease ids of different eras do not compare: the service
/// assigns them again. 0 for services that do not state an era.
using StoreEra = StrongNumber<struct StoreEraTag>;

/// The newest era that a process has seen, shared by all its clients of the service; empty if no
/// response has stated one.
using SharedStoreEra = std::shared_ptr<std::optional<StoreEra>>;

inline SharedStoreEra makeSharedStoreEra()
{
    return std::make_shared<std::optional<StoreEra>>();
}

/// Revision of the key-value service in one era. A position in a later era is greater.
struct StorePosition
{
    StoreEra era;
    StoreRevision revision;

    friend auto operator<=>(const StorePosition &, const StorePosition &) = default;
};

} // namespace godwit
