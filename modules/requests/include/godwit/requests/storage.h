#pragma once

#include <godwit/base/ids.h>

#include <cstdint>
#include <string>

namespace godwit {

/// Call to the key-value service that a SlotOwner or SlotSuccessor requests from its caller.
struct SlotStorageCall
{
    enum class Kind { Read, CompareAndSwap, Delete };

    std::uint64_t id = 0; ///< Repeated in the reply; unique within the requesting object.
    Kind kind = Kind::Read;
    std::string key;
    /// Expected revision of the key, for CompareAndSwap; 0 means that the key must not exist.
    Revision expected;
    std::string value;
};

/// Reply to a SlotStorageCall. Replies may arrive in any order, late or more than once.
struct SlotStorageReply
{
    enum class Status {
        Ok,
        NotFound,      ///< Reply to Read: the key does not exist.
        CompareFailed, ///< Reply to CompareAndSwap: the key has another revision.
        Timeout,       ///< The call may have taken effect or may still take effect.
        Unreachable,   ///< No effect.
        RateLimited,   ///< No effect.
    };

    std::uint64_t id = 0;
    Status status = Status::Ok;
    Revision revision; ///< Revision of the key after a successful call.
    std::string value; ///< Value of the key, after Read.
};

} // namespace godwit
