#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace godwit {

/// Returns a 64-bit hash of \a text (FNV-1a with a SplitMix64 finalizer) that is the same on every
/// platform.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

/// Returns the rendezvous (highest random weight) hash of \a member for \a key. The member with the
/// highest weight is preferred; removing a member remaps only the keys assigned to it.
std::uint64_t rendezvousWeight(std::string_view key, std::string_view member);

/// Returns the \a count members with the highest rendezvous weights for \a key in descending order,
/// or all members if there are fewer.
std::vector<std::string> rendezvousTop(std::string_view key,
                                       const std::vector<std::string> &members, std::size_t count);

} // namespace godwit
