#pragma once

#include <godwit/base/ids.h>
#include <godwit/requests/instant.h>

#include <cstddef>
#include <optional>

namespace godwit {

/// Longest accepted idempotency key in bytes; bounds a journal segment well below the 1 MB of a
/// value.
constexpr std::size_t MaxIdempotencyKeyLength = 128;

/// True if \a key is not empty, not too long and consists of printable ASCII without spaces.
bool isValidIdempotencyKey(const IdempotencyKey &key);

/// The time at which the caller made \a key, if it is a UUID of version 7.
std::optional<WallTime> keyCreationTime(const IdempotencyKey &key);

} // namespace godwit
