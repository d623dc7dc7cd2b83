#pragma once

#include <godwit/base/ids.h>
#include <godwit/requests/instant.h>

#include <cstddef>
#include <optional>

namespace godwit {

/// Maximum length of an idempotency key in bytes. Keeps a journal segment well below the 1 MB limit
/// for a value in the key-value service.
constexpr std::size_t MaxIdempotencyKeyLength = 128;

/// Returns true if \a key is not empty, at most MaxIdempotencyKeyLength bytes long and consists of
/// printable ASCII characters without spaces.
bool isValidIdempotencyKey(const IdempotencyKey &key);

/// Returns the time at which the caller created \a key if it is a UUIDv7, otherwise nothing.
std::optional<WallTime> keyCreationTime(const IdempotencyKey &key);

} // namespace godwit
