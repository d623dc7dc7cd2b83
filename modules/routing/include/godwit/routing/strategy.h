#pragma once

#include <godwit/base/random.h>
#include <godwit/base/result.h>
#include <godwit/base/time.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

namespace godwit {

/// Properties of an eligible server that a strategy bases its selection on.
struct Candidate
{
    std::size_t index = 0;      ///< Identifies the server to the caller; not used by strategies.
    double loadPerSlot = 0;     ///< Running and waiting requests per slot.
    Duration queueing{0};       ///< Estimated time until the server starts to process the prompt.
    Duration prefill{0};        ///< Estimated time to process the prompt.
    Duration penalty{0};        ///< Network delay and traffic cost, see ZoneCosts::penalty().
    std::uint64_t affinity = 0; ///< Rendezvous hash of the server and the first prompt block.
    float cachedBlocks = 0;     ///< Prompt blocks in the server's prefix cache.

    /// Estimated time to first token, including the penalty.
    Duration predictedTtft() const { return queueing + prefill + penalty; }
};

/// Algorithm that selects one of the eligible servers. It has no state; randomness is passed in.
class Strategy
{
public:
    virtual ~Strategy() = default;

    /// Returns the position of the selected server in \a candidates, which must not be empty.
    virtual std::size_t choose(std::span<const Candidate> candidates, Random &random) const = 0;
};

/// Creates the strategy `random`, `least_loaded`, `power_of_two` or `predicted_ttft`. Fails with
/// StrategyUnknown.
Result<std::unique_ptr<Strategy>> makeStrategy(std::string_view name);

/// Returns the names that makeStrategy() accepts.
std::span<const std::string_view> strategyNames();

} // namespace godwit
