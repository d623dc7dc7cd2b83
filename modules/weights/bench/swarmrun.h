#pragma once

#include "scenario.h"

#include <godwit/weights/transferplanner.h>

namespace godwit::bench {

/// Simulates one burst with the planners of all hosts over a Network.
class SwarmRun
{
public:
    explicit SwarmRun(const Scenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed * 7919 + 1)
        , m_weights(makeWeights(scenario))
        , m_faults(FaultPlan::draw(scenario, m_random))
        , m_network(m_simulation, scenario.layout, m_random)
    {
        for (ChunkIndex i = 0; i < scenario.chunks; ++i)
            m_indexOf[m_weights.manifest.chunks[i]] = i;
        const TransferSettings settings = makeSettings();
        for (int i = 0; i < scenario.layout.hosts; ++i)
            m_hosts.push_back(
                    Host{TransferPlanner(hostId(i), settings,
                                         scenario.seed * 1000 + static_cast<std::uint64_t>(i)),
                         true,
                         false,
                         {},
                         {}});
    }

    RunResult run()
    {
        scheduleFaults();
        for (int i = 0; i < m_scenario.layout.hosts; ++i) {
            const auto spread = static_cast<std::uint64_t>(m_scenario.startSpread.count());
            const Duration skew(m_random.below(spread));
            m_simulation.after(skew,
                               [this, i] { apply(i, host(i).planner.start(now(), order())); });
        }
        const double limit = 40 * lowerBound(m_scenario) + 60;
        m_simulation.run(TimePoint(fromSeconds(limit)), [this] { return m_unfinishedHosts == 0; });
        RunResult result =
                makeResult(m_scenario, m_network, m_unfinishedHosts == 0, m_simulation.now());
        for (const Host &host : m_hosts)
            result.mostPeers = std::max(result.mostPeers, host.peers.size());
        return result;
    }

    std::uint64_t sum(std::uint64_t TransferCounters::*counter) const
    {
        std::uint64_t total = 0;
        for (const Host &host : m_hosts)
            total += host.planner.counters().*counter;
        return total;
    }

private:
    struct Host
    {
        TransferPlanner planner;
        bool alive;
        bool servable;
        std::map<ChunkRequestId, FlowPtr> incoming;
        std::optional<TimePoint> tickAt;
        std::set<int> peers = {}; ///< Hosts that it exchanged messages with.
    };

    static HostId hostId(int host) { return HostId("host" + std::to_string(host)); }
    static int indexOf(const HostId &host) { return std::stoi(host.value().substr(4)); }
    Host &host(int i) { return m_hosts[static_cast<std::size_t>(i)]; }
    TimePoint now() const { return m_simulation.now(); }

    TransferSettings makeSettings() const
    {
        if (m_scenario.settings)
            return *m_scenario.settings;
        TransferSettings settings;
        settings.hostRate = m_scenario.layout.hostRate;
        settings.originRate = m_scenario.layout.originRate;
        settings.regionLinkRate = m_scenario.layout.regionRate;
        return settings;
    }

    TransferOrder order() const
    {
        TransferOrder order{m_weights.manifest, RegionId("region0"), m_scenario.policy, 1, {}};
        for (int i = 0; i < m_scenario.layout.hosts; ++i)
            order.participants.push_back(
                    {hostId(i), ZoneId("zone" + std::to_string(m_scenario.layout.zoneOf(i))),
                     RegionId("region" + std::to_string(m_scenario.layout.regionOf(i)))});
        return order;
    }

    void scheduleFaults()
    {
        for (const auto &[victim, time] : m_faults.kills)
            m_simulation.after(time, [this, victim = victim] { kill(victim); });
        if (m_faults.stalledHost >= 0)
            m_simulation.after(m_faults.stalledAt,
                               [this] { m_network.stallUplink(m_faults.stalledHost); });
    }

    void kill(int victim)
    {
        if (!host(victim).servable)
            --m_unfinishedHosts;
        host(victim).alive = false;
        for (auto &[request, flow] : host(victim).incoming)
            flow->cancelled = true;
        for (auto &[key, flow] : m_uploads) {
            if (key.first == victim)
                flow->cancelled = true;
        }
        m_simulation.after(DetectionDelay, [this, victim] {
            for (int i = 0; i < m_scenario.layout.hosts; ++i) {
                if (host(i).alive)
                    apply(i, host(i).planner.peerLeft(now(), hostId(victim)));
            }
        });
    }

    void apply(int i, TransferActions actions)
    {
        for (const TransferAction &action : actions)
            std::visit([&](const auto &value) { execute(i, value); }, action);
        const auto next = host(i).planner.nextTick();
        if (!next || (host(i).tickAt && *host(i).tickAt <= *next))
            return;
        host(i).tickAt = std::max(*next, now() + std::chrono::microseconds(100));
        m_simulation.at(*host(i).tickAt, [this, i, time = *host(i).tickAt] {
            if (host(i).tickAt != time)
                return;
            host(i).tickAt.reset();
            if (host(i).alive)
                apply(i, host(i).planner.tick(now()));
        });
    }

    void sendMessage(int from, int to, std::function<TransferActions(TransferPlanner &)> event)
    {
        host(from).peers.insert(to);
        host(to).peers.insert(from);
        m_network.message(from, to, [this, to, event = std::move(event)] {
            if (host(to).alive)
                apply(to, event(host(to).planner));
        });
    }

    void transmit(int from, int to, ChunkRequestId request, ChunkBytes bytes, UploadId upload)
    {
        if (m_random.chance(m_faults.corruption)) {
            auto corrupt = std::make_shared<std::string>(*bytes);
            (*corrupt)[m_random.below(corrupt->size())] ^= 1;
            bytes = corrupt;
        }
        auto flow = std::make_shared<Flow>();
        flow->onProgress = [this, to, request] { host(to).planner.chunkProgress(now(), request); };
        const auto finish = [this, from, upload] { finishUpload(from, upload); };
        flow->onDelivered = [this, to, request, bytes, finish] {
            finish();
            host(to).incoming.erase(request);
            if (host(to).alive)
                apply(to, host(to).planner.chunkArrived(now(), request, bytes));
        };
        if (from != Network::Origin) {
            m_uploads[{from, upload}] = flow;
            if (m_network.region(from) == m_network.region(to))
                flow->onSent = finish;
        }
        host(to).incoming[request] = flow;
        m_network.send(from, to, ChunkBytesScaled, flow);
    }

    void finishUpload(int from, UploadId upload)
    {
        if (from != Network::Origin && m_uploads.erase({from, upload}) && host(from).alive)
            apply(from, host(from).planner.uploadFinished(now(), upload));
    }

    void execute(int i, const RequestChunk &action)
    {
        const ChunkRequestId request = action.request;
        if (!action.source) {
            m_network.message(i, Network::Origin, [this, i, request, chunk = action.chunk] {
                if (host(i).alive && !m_cancelled.contains({i, request}))
                    transmit(Network::Origin, i, request, m_weights.bytes[chunk], 0);
            });
            return;
        }
        const int peer = indexOf(*action.source);
        const UploadId upload = m_nextUpload++;
        m_requestOfUpload[upload] = {i, request};
        m_uploadOfRequest[{i, request}] = {peer, upload};
        sendMessage(i, peer, [this, i, upload, digest = action.digest](TransferPlanner &planner) {
            return planner.chunkRequested(now(), hostId(i), digest, upload);
        });
    }

    void execute(int i, const CancelRequest &action)
    {
        m_cancelled.insert({i, action.request});
        const auto flow = host(i).incoming.find(action.request);
        if (flow != host(i).incoming.end()) {
            flow->second->cancelled = true;
            host(i).incoming.erase(flow);
        }
        const auto upload = m_uploadOfRequest.find({i, action.request});
        if (upload == m_uploadOfRequest.end())
            return;
        const auto [peer, id] = upload->second;
        m_network.message(i, peer, [this, peer = peer, id = id] {
            m_uploads.erase({peer, id});
            if (host(peer).alive)
                apply(peer, host(peer).planner.uploadFinished(now(), id, false));
        });
    }

    void execute(int i, const AnnounceHave &action)
    {
        sendMessage(i, indexOf(action.peer),
                    [this, i, update = action.update](TransferPlanner &planner) {
                        return planner.peerHave(now(), hostId(i), update);
                    });
    }

    void execute(int i, const ServeChunk &action)
    {
        const auto [to, request] = m_requestOfUpload.at(action.upload);
        if (host(to).alive && !m_cancelled.contains({to, request}))
            transmit(i, to, request, action.bytes, action.upload);
        else
            m_simulation.after(Duration(0), [this, i, upload = action.upload] {
                if (host(i).alive)
                    apply(i, host(i).planner.uploadFinished(now(), upload, false));
            });
    }

    void execute(int i, const RefuseChunk &action)
    {
        const auto [to, request] = m_requestOfUpload.at(action.upload);
        sendMessage(i, to, [this, request = request, code = action.code](TransferPlanner &planner) {
            return planner.chunkFailed(now(), request, code);
        });
    }

    void execute(int i, const DeliverToEngine &action)
    {
        m_simulation.after(Duration(0), [this, i, id = action.transfer, chunk = action.chunk] {
            if (host(i).alive)
                apply(i, host(i).planner.engineAccepted(now(), id, chunk));
        });
    }

    void execute(int i, const FinishLoad &action)
    {
        m_simulation.after(Duration(0), [this, i, id = action.transfer] {
            if (host(i).alive)
                apply(i, host(i).planner.engineLoaded(now(), id));
        });
    }

    void execute(int i, const ReportServable &)
    {
        host(i).servable = true;
        --m_unfinishedHosts;
    }

    void execute(int, const ReportFailed &) {}

    Scenario m_scenario;
    Random m_random;
    Simulation m_simulation;
    Weights m_weights;
    FaultPlan m_faults;
    Network m_network;
    std::vector<Host> m_hosts;
    std::map<Digest, ChunkIndex> m_indexOf;
    std::map<std::pair<int, UploadId>, FlowPtr> m_uploads;
    std::map<UploadId, std::pair<int, ChunkRequestId>> m_requestOfUpload;
    std::map<std::pair<int, ChunkRequestId>, std::pair<int, UploadId>> m_uploadOfRequest;
    std::set<std::pair<int, ChunkRequestId>> m_cancelled;
    UploadId m_nextUpload = 1;
    int m_unfinishedHosts = m_scenario.layout.hosts;
};

} // namespace godwit::bench
