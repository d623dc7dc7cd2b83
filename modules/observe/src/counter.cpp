#include <godwit/observe/counter.h>

namespace godwit {

std::size_t Counter::threadShardIndex()
{
    static std::atomic<std::size_t> threads{0};
    thread_local const std::size_t shard =
            threads.fetch_add(1, std::memory_order_relaxed) % ShardCount;
    return shard;
}

} // namespace godwit
