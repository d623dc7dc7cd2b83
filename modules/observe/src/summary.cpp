#include <godwit/observe/summary.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <algorithm>

namespace godwit {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 4> Probabilities{0.5, 0.9, 0.95, 0.99};

/// Number of values after which the markers of the P-square algorithm are valid.
constexpr std::size_t MarkerCount = 2 * Probabilities.size() + 3;

} // namespace

struct Summary::Estimator
{
    using AccumulatorSet = acc::accumulator_set<
            double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square>>;

    AccumulatorSet accumulators{acc::tag::extended_p_square::probabilities = Probabilities};
    std::vector<double> initialValues; ///< For exact quantiles until the markers are valid.

    void add(double value)
    {
        accumulators(value);
        if (initialValues.size() < MarkerCount)
            initialValues.push_back(value);
    }

    double quantile(std::size_t i) const
    {
        if (acc::count(accumulators) > MarkerCount)
            return acc::extended_p_square(accumulators)[i];
        auto sorted = initialValues;
        std::ranges::sort(sorted);
        const auto rank =
                static_cast<std::size_t>(Probabilities[i] * static_cast<double>(sorted.size()));
        return sorted[std::min(rank, sorted.size() - 1)];
    }
};

Summary::Summary()
    : m_estimator(std::make_unique<Estimator>())
{}

Summary::~Summary() = default;

void Summary::observe(double value)
{
    Shard &shard = m_shards[Counter::threadShardIndex()];
    const std::lock_guard lock(shard.mutex);
    shard.values[shard.count++] = value;
    if (shard.count == BufferSize)
        merge(shard);
}

void Summary::merge(Shard &shard) const
{
    const std::lock_guard lock(m_mutex);
    for (std::size_t i = 0; i < shard.count; ++i)
        m_estimator->add(shard.values[i]);
    shard.count = 0;
}

Summary::Snapshot Summary::snapshot() const
{
    for (Shard &shard : m_shards) {
        const std::lock_guard lock(shard.mutex);
        merge(shard);
    }
    const std::lock_guard lock(m_mutex);
    Snapshot snapshot;
    snapshot.count = acc::count(m_estimator->accumulators);
    if (snapshot.count == 0)
        return snapshot;
    snapshot.sum = acc::sum(m_estimator->accumulators);
    for (std::size_t i = 0; i < Probabilities.size(); ++i)
        snapshot.quantiles.push_back({Probabilities[i], m_estimator->quantile(i)});
    return snapshot;
}

} // namespace godwit
