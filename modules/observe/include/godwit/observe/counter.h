#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace godwit {

/// Monotonically increasing counter. It is sharded over cache lines by thread, so that an increment
/// on a hot path is usually one uncontended atomic addition. Thread safe.
class Counter
{
public:
    void add(std::uint64_t n = 1)
    {
        m_shards[threadShardIndex()].value.fetch_add(n, std::memory_order_relaxed);
    }

    /// Returns the sum of all shards.
    std::uint64_t value() const
    {
        std::uint64_t sum = 0;
        for (const Shard &shard : m_shards)
            sum += shard.value.load(std::memory_order_relaxed);
        return sum;
    }

    /// Number of shards, each on its own cache line. If there are more threads, they share shards.
    static constexpr std::size_t ShardCount = 8;

    /// Returns the index of the shard of the calling thread, in [0, ShardCount).
    static std::size_t threadShardIndex();

private:
    struct alignas(64) Shard
    {
        std::atomic<std::uint64_t> value{0};
    };
    std::array<Shard, ShardCount> m_shards;
};

} // namespace godwit
