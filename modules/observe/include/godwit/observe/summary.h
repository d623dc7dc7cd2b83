#pragma once

#include <godwit/observe/counter.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <vector>

namespace godwit {

/// Quantiles, count and sum of all values observed since process start. Values are buffered per
/// shard; a full buffer is merged into a quantile estimator with constant memory (P-square
/// algorithm). Thread safe.
class Summary
{
public:
    Summary();
    ~Summary();
    Summary(const Summary &) = delete;
    Summary &operator=(const Summary &) = delete;

    /// Records a value in the unit given by the name of the metric.
    void observe(double value);

    struct Quantile
    {
        double probability;
        double value;
    };

    struct Snapshot
    {
        std::vector<Quantile> quantiles; ///< Empty if no value has been observed.
        std::uint64_t count = 0;
        double sum = 0;
    };

    /// Merges all buffers and returns the current state.
    Snapshot snapshot() const;

private:
    /// Values buffered per shard. Larger buffers make merges rarer but hold the lock longer.
    static constexpr std::size_t BufferSize = 64;

    struct Estimator;
    struct alignas(64) Shard
    {
        std::mutex mutex;
        std::size_t count = 0;
        std::array<double, BufferSize> values;
    };

    void merge(Shard &shard) const;

    mutable std::array<Shard, Counter::ShardCount> m_shards;
    mutable std::mutex m_mutex;
    std::unique_ptr<Estimator> m_estimator;
};

} // namespace godwit
