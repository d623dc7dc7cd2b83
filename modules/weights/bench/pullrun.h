#pragma once

#include "scenario.h"

#include <godwit/weights/chunkset.h>

#include <numeric>

namespace godwit::bench {

/// Fixed distribution trees for comparison: each host pulls all chunks in order from one parent,
/// which serves a chunk as soon as it has it. A host whose parent dies or stalls switches to the
/// origin.
class PullRun
{
public:
    /// \a fanOut is the number of children per host: 1 for a chain, 2 for a binary tree; with 0,
    /// all hosts pull from the origin.
    PullRun(const Scenario &scenario, int fanOut)
        : m_scenario(scenario)
        , m_random(scenario.seed * 7919 + 1)
        , m_faults(FaultPlan::draw(scenario, m_random))
        , m_network(m_simulation, scenario.layout, m_random)
    {
        // Hosts of one region are adjacent in the tree, so that few edges cross regions.
        std::vector<int> sequence(static_cast<std::size_t>(scenario.layout.hosts));
        std::iota(sequence.begin(), sequence.end(), 0);
        std::ranges::stable_sort(sequence, {}, [&](int i) { return scenario.layout.regionOf(i); });
        m_hosts.resize(sequence.size());
        for (std::size_t i = 0; i < sequence.size(); ++i) {
            Host &host = at(sequence[i]);
            host.have = ChunkSet(scenario.chunks);
            host.waiters.resize(scenario.chunks);
            if (fanOut > 0 && i > 0)
                host.parent = sequence[(i - 1) / static_cast<std::size_t>(fanOut)];
        }
    }

    RunResult run()
    {
        for (const auto &[victim, time] : m_faults.kills)
            m_simulation.after(time, [this, victim = victim] { kill(victim); });
        if (m_faults.stalledHost >= 0)
            m_simulation.after(m_faults.stalledAt,
                               [this] { m_network.stallUplink(m_faults.stalledHost); });
        for (int i = 0; i < m_scenario.layout.hosts; ++i) {
            fill(i);
            checkStall(i);
        }
        const double limit = 400 * lowerBound(m_scenario);
        m_simulation.run(TimePoint(fromSeconds(limit)), [this] { return m_unfinishedHosts == 0; });
        return makeResult(m_scenario, m_network, m_unfinishedHosts == 0, m_simulation.now());
    }

private:
    static constexpr std::uint32_t Outstanding = 4;
    static constexpr Duration StallTimeout = std::chrono::seconds(30);

    struct Host
    {
        int parent = Network::Origin;
        bool alive = true;
        ChunkSet have;
        ChunkIndex next = 0;
        std::map<ChunkIndex, FlowPtr> requested; ///< Null until the parent sends.
        std::vector<std::vector<int>> waiters;
        TimePoint lastProgress{};
    };

    Host &at(int i) { return m_hosts[static_cast<std::size_t>(i)]; }

    void fill(int i)
    {
        Host &host = at(i);
        while (host.alive && host.requested.size() < Outstanding && host.next < m_scenario.chunks) {
            if (!host.have.contains(host.next))
                request(i, host.next);
            ++host.next;
        }
    }

    void request(int i, ChunkIndex chunk)
    {
        at(i).requested[chunk] = nullptr;
        const int parent = at(i).parent;
        m_network.message(i, parent, [this, i, parent, chunk] {
            if (parent != Network::Origin && !at(parent).have.contains(chunk))
                at(parent).waiters[chunk].push_back(i);
            else
                transmit(parent, i, chunk);
        });
    }

    void transmit(int from, int to, ChunkIndex chunk)
    {
        if (!at(to).alive || at(to).parent != from || !at(to).requested.contains(chunk)
            || (from != Network::Origin && !at(from).alive))
            return;
        const bool corrupt = m_random.chance(m_faults.corruption);
        auto flow = std::make_shared<Flow>();
        flow->onProgress = [this, to] { at(to).lastProgress = m_simulation.now(); };
        flow->onDelivered = [this, to, chunk, corrupt] { arrived(to, chunk, corrupt); };
        at(to).requested[chunk] = flow;
        m_network.send(from, to, ChunkBytesScaled, flow);
    }

    void arrived(int i, ChunkIndex chunk, bool corrupt)
    {
        Host &host = at(i);
        host.requested.erase(chunk);
        host.lastProgress = m_simulation.now();
        if (corrupt) {
            request(i, chunk);
            return;
        }
        host.have.insert(chunk);
        for (const int waiter : std::exchange(host.waiters[chunk], {}))
            transmit(i, waiter, chunk);
        if (host.have.full())
            --m_unfinishedHosts;
        fill(i);
    }

    void kill(int victim)
    {
        if (!at(victim).have.full())
            --m_unfinishedHosts;
        at(victim).alive = false;
        for (int i = 0; i < m_scenario.layout.hosts; ++i) {
            for (auto &[chunk, flow] : at(i).requested) {
                if (flow && (i == victim || at(i).parent == victim))
                    flow->cancelled = true;
            }
        }
        m_simulation.after(DetectionDelay, [this, victim] {
            for (int i = 0; i < m_scenario.layout.hosts; ++i) {
                if (at(i).parent == victim)
                    useOrigin(i);
            }
        });
    }

    void useOrigin(int i)
    {
        Host &host = at(i);
        host.parent = Network::Origin;
        for (auto &[chunk, flow] : std::exchange(host.requested, {})) {
            if (flow)
                flow->cancelled = true;
        }
        host.next = 0;
        fill(i);
    }

    void checkStall(int i)
    {
        m_simulation.after(StallTimeout / 4, [this, i] {
            Host &host = at(i);
            if (!host.alive || host.have.full())
                return;
            if (host.parent != Network::Origin
                && m_simulation.now() > host.lastProgress + StallTimeout) {
                host.lastProgress = m_simulation.now();
                useOrigin(i);
            }
            checkStall(i);
        });
    }

    Scenario m_scenario;
    Random m_random;
    Simulation m_simulation;
    FaultPlan m_faults;
    Network m_network;
    std::vector<Host> m_hosts;
    int m_unfinishedHosts = m_scenario.layout.hosts;
};

} // namespace godwit::bench
