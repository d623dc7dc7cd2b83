#pragma once

#include "simulation.h"

#include <godwit/weights/linkpacer.h>

#include <godwit/base/random.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

namespace godwit::bench {

/// Live messages and weight uploads of several hosts that share one link.
struct LiveScenario
{
    double rate = 0;      ///< Rate of the link in bytes per second.
    double liveLoad = 0;  ///< Fraction of the rate that live messages use.
    double liveBytes = 0; ///< Size of one live message.
    Duration propagation{};
    int hosts = 1; ///< Number of senders, each with its own pacer.
    std::uint32_t quantum = 0;
    bool burst = false;
    bool paced = true;
    std::uint64_t seed = 1;
};

struct LiveResult
{
    double p99 = 0;          ///< 99th percentile of the one-way delay of live messages, in seconds.
    double weightsShare = 0; ///< Fraction of the link rate that weights used.
    double ratio = 0;        ///< Bytes of the transfer of weight 3 per byte of that of weight 1.
};

/// Simulates one LiveScenario for 60 s of virtual time.
class LiveRun
{
public:
    explicit LiveRun(const LiveScenario &scenario)
        : m_scenario(scenario)
        , m_random(scenario.seed)
    {
        LinkPacerSettings settings;
        settings.bytesPerSecond = scenario.rate;
        settings.quantum = scenario.quantum;
        if (scenario.hosts == 1)
            settings.maxUtilization = 0.95; // UploadLinks::hostShare
        settings.initialRateFactor = scenario.hosts == 1 ? 1 : 0.05;
        m_pacers.assign(static_cast<std::size_t>(scenario.hosts), LinkPacer(settings));
        for (LinkPacer &pacer : m_pacers) {
            pacer.setWeight(m_transfers[0], 3);
            pacer.setWeight(m_transfers[1], 1);
        }
    }

    LiveResult run()
    {
        scheduleLiveMessage();
        for (std::size_t host = 0; m_scenario.burst && host < m_pacers.size(); ++host) {
            sendWeights(host, 0);
            sendWeights(host, 1);
        }
        const Duration span = std::chrono::seconds(60);
        m_simulation.run(TimePoint(span), [] { return false; });
        std::ranges::sort(m_latencies);
        LiveResult result;
        result.p99 = m_latencies[m_latencies.size() * 99 / 100];
        result.weightsShare = (m_sent[0] + m_sent[1]) / (m_scenario.rate * toSeconds(span));
        result.ratio = m_sent[1] > 0 ? m_sent[0] / m_sent[1] : 0;
        return result;
    }

private:
    struct Packet
    {
        double bytes;
        TimePoint sent;
        int transfer; ///< -1: live.
        std::size_t host;
    };

    void scheduleLiveMessage()
    {
        const double perSecond = m_scenario.rate * m_scenario.liveLoad / m_scenario.liveBytes;
        const double wait = -std::log(1 - m_random.uniform()) / perSecond;
        m_simulation.after(fromSeconds(wait), [this] {
            const auto host = m_random.below(m_pacers.size());
            m_pacers[host].recordLiveTraffic(m_simulation.now(),
                                             static_cast<std::uint64_t>(m_scenario.liveBytes));
            push({m_scenario.liveBytes, m_simulation.now(), -1, host});
            scheduleLiveMessage();
        });
    }

    void sendWeights(std::size_t host, int transfer)
    {
        const TimePoint now = m_simulation.now();
        std::uint32_t granted = m_scenario.quantum;
        TimePoint next = now;
        if (m_scenario.paced) {
            granted = m_pacers[host].acquire(now, m_transfers[transfer], m_scenario.quantum);
            next = m_pacers[host].nextGrant(now);
        } else {
            // Without a pacer, each flow keeps a window of segments in the queue, like TCP.
            next = now + fromSeconds(m_scenario.quantum / m_scenario.rate);
            if (m_queue.size() > 16 * m_pacers.size())
                granted = 0;
        }
        if (granted > 0)
            push({static_cast<double>(granted), now, transfer, host});
        m_simulation.at(std::max(next, now + std::chrono::microseconds(20)),
                        [this, host, transfer] { sendWeights(host, transfer); });
    }

    void push(const Packet &packet)
    {
        m_queue.push_back(packet);
        serve();
    }

    void serve()
    {
        if (m_busy || m_queue.empty())
            return;
        m_busy = true;
        const Packet packet = m_queue.front();
        m_queue.pop_front();
        m_simulation.after(fromSeconds(packet.bytes / m_scenario.rate), [this, packet] {
            m_busy = false;
            delivered(packet);
            serve();
        });
    }

    void delivered(const Packet &packet)
    {
        const Duration sojourn = m_simulation.now() - packet.sent;
        if (packet.transfer < 0) {
            m_latencies.push_back(toSeconds(sojourn + m_scenario.propagation));
        } else {
            m_sent[packet.transfer] += packet.bytes;
            const Duration queueing = sojourn - fromSeconds(packet.bytes / m_scenario.rate);
            // The sender learns of the delay one round trip later.
            m_simulation.after(2 * m_scenario.propagation, [this, packet, queueing] {
                m_pacers[packet.host].recordQueueingDelay(m_simulation.now(), queueing);
            });
        }
    }

    LiveScenario m_scenario;
    Random m_random;
    Simulation m_simulation;
    std::vector<LinkPacer> m_pacers;
    const Digest m_transfers[2] = {Digest::of("a"), Digest::of("b")};
    std::deque<Packet> m_queue;
    bool m_busy = false;
    std::vector<double> m_latencies;
    double m_sent[2] = {0, 0};
};

} // namespace godwit::bench
