#pragma once

#include <cstdint>
#include <string>

namespace godwit {

/// Outcome of a call to the key-value service.
enum class StorageStatus {
    Success,
    CompareFailed, ///< The expected revision did not match; no effect.
    Timeout,       ///< No reply; a write may have taken effect or may still take effect.
    Unreachable,   ///< No connection; no effect.
    Refused,       ///< Rejected by the rate limit; no effect.
};

/// Reply to a read, a watch or a compare-and-swap.
struct StorageReply
{
    StorageStatus status = StorageStatus::Success;
    std::uint64_t storedRevision = 0; ///< Store revision of the key; 0 if the key does not exist.
    std::string value;                ///< Value of the key, for reads and watches.
};

} // namespace godwit
