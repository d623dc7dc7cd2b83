#include "../tests/slotfixture.h"

#include <godwit/base/random.h>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr double RequestsPerSecond = 18'000.0;
constexpr Duration RunTime = 6s;
constexpr Duration Step = 4ms;
constexpr Duration ReplyTime = 4ms;

struct Owner
{
    std::unique_ptr<SlotOwner> owner;
    std::vector<std::pair<Duration, SlotStorageCall>> pending;
};

struct Cost
{
    std::uint64_t calls = 0;
    std::uint64_t bytes = 0;
    std::vector<Duration> waitTimes;
};

Instant at(Duration t)
{
    return {TimePoint(1000s) + t, WallTime(1'800'000'000s) + t};
}

/// Simulates non-idempotent requests that are spread evenly over \a count owners.
class JournalCost
{
public:
    explicit JournalCost(std::size_t count)
        : m_owners(count)
    {
        SlotSettings settings;
        settings.commitInterval = commitInterval(count);
        for (std::size_t i = 0; i < count; ++i) {
            const JournalId journal{HostId("h" + std::to_string(i)), Incarnation{1}, 1};
            m_owners[i].owner = std::make_unique<SlotOwner>(DeploymentId("d"), journal, settings);
            m_owners[i].owner->applyClaim({journal, 1, {{0, {{HostId("s")}, {}}}}, {}}, at(0s));
        }
    }

    Cost run()
    {
        double due = 0.0;
        for (Duration t = 0s; t < RunTime; t += Step) {
            for (due += RequestsPerSecond * toSeconds(Step); due >= 1.0; due -= 1.0)
                submit(t);
            for (std::size_t i = 0; i < m_owners.size(); ++i) {
                deliverReplies(i, t);
                execute(i, m_owners[i].owner->tick(at(t)), t);
            }
        }
        return std::move(m_cost);
    }

private:
    void submit(Duration t)
    {
        // Keys have the length of a UUID.
        char key[40];
        std::snprintf(key, sizeof key, "key-%032llu",
                      static_cast<unsigned long long>(m_sent.size()));
        const std::size_t i = m_random.below(m_owners.size());
        const SlotRequest request{{RequestId(std::to_string(m_sent.size())), AttemptId{1}},
                                  IdempotencyKey(key),
                                  Digest(),
                                  TimePoint::max()};
        m_sent.push_back(t);
        execute(i, m_owners[i].owner->submit(request, at(t)), t);
    }

    void deliverReplies(std::size_t i, Duration t)
    {
        auto due = std::exchange(m_owners[i].pending, {});
        for (auto &[dueAt, call] : due) {
            if (dueAt > t)
                m_owners[i].pending.emplace_back(dueAt, std::move(call));
            else
                execute(i, m_owners[i].owner->handleStorageReply(m_storage.execute(call), at(t)),
                        t);
        }
    }

    void execute(std::size_t i, SlotActions actions, Duration t)
    {
        for (SlotStorageCall &call : actions.storage) {
            ++m_cost.calls;
            m_cost.bytes += call.value.size();
            m_owners[i].pending.emplace_back(t + ReplyTime, std::move(call));
        }
        for (const SlotDispatch &dispatch : actions.dispatches) {
            m_cost.waitTimes.push_back(t - m_sent[std::stoul(dispatch.attempt.request.value())]);
            SlotActions refused;
            if (m_owners[i].owner->confirmDispatch(dispatch.key, at(t), refused))
                m_owners[i].owner->handleCompletion(dispatch.key, RunState::Ran, {}, at(t));
        }
    }

    Random m_random{1};
    test::FakeStorage m_storage;
    std::vector<Owner> m_owners;
    std::vector<Duration> m_sent;
    Cost m_cost;
};

} // namespace

/// Prints the cost of journaling if all requests at the target load were non-idempotent.
int main()
{
    std::printf(
            "| owners | interval ms | key-value calls/s | KB/s | median wait ms | p99 wait ms |\n"
            "| --- | --- | --- | --- | --- | --- |\n");
    for (const std::size_t count : {1, 3, 12, 30, 60, 120}) {
        Cost cost = JournalCost(count).run();
        std::sort(cost.waitTimes.begin(), cost.waitTimes.end());
        const auto wait = [&](std::size_t percent) {
            return cost.waitTimes.empty()
                           ? 0.0
                           : toSeconds(cost.waitTimes[cost.waitTimes.size() * percent / 100]) * 1e3;
        };
        std::printf("| %zu | %.0f | %.1f | %.0f | %.0f | %.0f |\n", count,
                    toSeconds(commitInterval(count)) * 1e3,
                    static_cast<double>(cost.calls) / toSeconds(RunTime),
                    static_cast<double>(cost.bytes) / toSeconds(RunTime) / 1e3, wait(50), wait(99));
    }
    return 0;
}
