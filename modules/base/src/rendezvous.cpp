#include <godwit/base/rendezvous.h>

#include <algorithm>
#include <utility>

namespace godwit {

namespace {

constexpr std::uint64_t FnvOffset = 0xCBF29CE484222325ULL;
constexpr std::uint64_t FnvPrime = 0x100000001B3ULL;

// SplitMix64 finalizer.
std::uint64_t mix64(std::uint64_t z)
{
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27)) * 0x94D049BB133111EBULL;
    return z ^ (z >> 31);
}

} // namespace

std::uint64_t stableHash(std::string_view text, std::uint64_t seed)
{
    std::uint64_t hash = FnvOffset ^ mix64(seed);
    for (const char c : text) {
        hash ^= static_cast<unsigned char>(c);
        hash *= FnvPrime;
    }
    return mix64(hash);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view member)
{
    return stableHash(member, stableHash(key));
}

std::vector<std::string> rendezvousTop(std::string_view key,
                                       const std::vector<std::string> &members, std::size_t count)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, const std::string *>> ranked;
    ranked.reserve(members.size());
    for (const std::string &member : members)
        ranked.emplace_back(stableHash(member, keyHash), &member);
    const std::size_t n = std::min(count, ranked.size());
    // Ties are broken by name, so that every process computes the same order.
    const auto better = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(n), ranked.end(),
                      better);
    std::vector<std::string> top;
    top.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
        top.push_back(*ranked[i].second);
    return top;
}

} // namespace godwit
