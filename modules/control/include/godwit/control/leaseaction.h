#pragma once

#include <cstdint>
#include <string>
#include <variant>

namespace godwit {

/// Read the author record and pass the reply to AuthorLease::onRead().
struct ReadAuthor
{
    std::uint64_t call;
};

/// Write the author record by compare-and-swap and pass the reply to AuthorLease::onWrite().
struct WriteAuthor
{
    std::uint64_t call;
    std::uint64_t expected; ///< Expected store revision; 0 if the key must not exist.
    std::string value;
};

using LeaseAction = std::variant<ReadAuthor, WriteAuthor>;

} // namespace godwit
