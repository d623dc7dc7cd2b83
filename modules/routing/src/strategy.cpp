#include <godwit/routing/strategy.h>

#include <algorithm>
#include <array>
#include <string>

namespace godwit {

namespace {

class RandomStrategy : public Strategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, Random &random) const override
    {
        return random.below(candidates.size());
    }
};

/// Returns the position of the candidate with the lowest \a cost. Ties are broken at random, so
/// that processes with the same load reports do not all select the same server.
template <typename Cost>
std::size_t chooseLeast(std::span<const Candidate> candidates, Random &random, Cost cost)
{
    std::size_t best = 0;
    std::size_t ties = 1;
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const auto a = cost(candidates[i]);
        const auto b = cost(candidates[best]);
        if (a < b) {
            best = i;
            ties = 1;
        } else if (a == b && random.below(++ties) == 0) {
            best = i;
        }
    }
    return best;
}

class LeastLoadedStrategy : public Strategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, Random &random) const override
    {
        return chooseLeast(candidates, random, [](const Candidate &it) { return it.loadPerSlot; });
    }
};

class PowerOfTwoStrategy : public Strategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, Random &random) const override
    {
        const std::size_t n = candidates.size();
        const std::size_t a = random.below(n);
        if (n == 1)
            return a;
        const std::size_t b = (a + 1 + random.below(n - 1)) % n;
        return candidates[b].loadPerSlot < candidates[a].loadPerSlot ? b : a;
    }
};

class PredictedTtftStrategy : public Strategy
{
public:
    std::size_t choose(std::span<const Candidate> candidates, Random &random) const override
    {
        const std::size_t best = chooseLeast(
                candidates, random, [](const Candidate &it) { return it.predictedTtft(); });
        const auto hasCachedBlocks = [](const Candidate &it) { return it.cachedBlocks > 0; };
        if (std::ranges::any_of(candidates, hasCachedBlocks))
            return best;
        return chooseByAffinity(candidates, best);
    }

private:
    /// Selects a server for a prompt that no server has cached: the one with the highest affinity
    /// among those whose predicted time to first token exceeds the best one by at most the prefill
    /// time. All entry processes then tend to select the same server, so that the prompt is not
    /// processed and cached on a different server for each entry process.
    static std::size_t chooseByAffinity(std::span<const Candidate> candidates, std::size_t best)
    {
        const Duration limit = candidates[best].predictedTtft() + candidates[best].prefill;
        std::size_t chosen = best;
        for (std::size_t i = 0; i < candidates.size(); ++i) {
            if (candidates[i].predictedTtft() <= limit
                && candidates[i].affinity > candidates[chosen].affinity)
                chosen = i;
        }
        return chosen;
    }
};

template <typename T>
std::unique_ptr<Strategy> createStrategy()
{
    return std::make_unique<T>();
}

constexpr std::array<std::string_view, 4> StrategyNames{"random", "least_loaded", "power_of_two",
                                                        "predicted_ttft"};
constexpr std::array<std::unique_ptr<Strategy> (*)(), 4> StrategyFactories{
        createStrategy<RandomStrategy>, createStrategy<LeastLoadedStrategy>,
        createStrategy<PowerOfTwoStrategy>, createStrategy<PredictedTtftStrategy>};

} // namespace

Result<std::unique_ptr<Strategy>> makeStrategy(std::string_view name)
{
    const auto it = std::ranges::find(StrategyNames, name);
    if (it == StrategyNames.end())
        return fail(ResultCode::StrategyUnknown, "unknown strategy '" + std::string(name) + '\'');
    return StrategyFactories[static_cast<std::size_t>(it - StrategyNames.begin())]();
}

std::span<const std::string_view> strategyNames()
{
    return StrategyNames;
}

} // namespace godwit
