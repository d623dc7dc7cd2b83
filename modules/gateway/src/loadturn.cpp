#include <godwit/gateway/loadturn.h>

#include <godwit/base/rendezvous.h>

#include <set>

namespace godwit {

namespace {

/// Few hosts have the weights before.
constexpr Duration FirstOrder = std::chrono::milliseconds(3400);
/// Leaves 2.5 s for the longest requests within 8 s.
constexpr Duration LastOrder = std::chrono::milliseconds(5400);

} // namespace

std::map<std::string, Duration> loadTurns(std::uint64_t version,
                                          const std::vector<std::string> &addresses)
{
    const std::string key = std::to_string(version);
    // Ordered by hash, so that the order changes with each version.
    std::set<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string &it : addresses)
        ranked.emplace(rendezvousWeight(key, it), it);
    std::map<std::string, Duration> turns;
    std::int64_t rank = 0;
    for (const auto &[weight, address] : ranked) {
        const Duration offset =
                (LastOrder - FirstOrder) * rank++ / static_cast<std::int64_t>(ranked.size());
        turns.emplace(address, FirstOrder + offset);
    }
    return turns;
}

} // namespace godwit
