#pragma once

#include "simulation.h"

#include <godwit/base/random.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit::bench {

class Link;

/// Transmission of one chunk, split into segments so that links are shared fairly.
struct Flow
{
    static constexpr int Segments = 8;

    std::vector<Link *> route;
    double segmentBytes = 0;
    Duration delay{}; ///< Propagation delay, added once after the last link.
    std::vector<int> pending;
    int sent = 0;
    int delivered = 0;
    bool cancelled = false;
    std::function<void()> onSent; ///< The first link has sent the last segment.
    std::function<void()> onProgress;
    std::function<void()> onDelivered;
};

using FlowPtr = std::shared_ptr<Flow>;

/// Link with a fixed rate that serves its flows round-robin by segment.
class Link
{
public:
    Link(Simulation &simulation, double rate, double loss, Random &random)
        : m_simulation(simulation)
        , m_rate(rate)
        , m_loss(loss)
        , m_random(random)
    {}

    void enqueue(const FlowPtr &flow, std::size_t hop)
    {
        if (flow->pending[hop]++ == 0)
            m_queue.emplace_back(flow, hop);
        serve();
    }

    void stall() { m_stalled = true; }
    double bytesCarried() const { return m_bytesCarried; }

private:
    void serve()
    {
        while (!m_busy && !m_stalled && !m_queue.empty()) {
            const auto [flow, hop] = m_queue.front();
            m_queue.pop_front();
            if (flow->cancelled)
                continue;
            m_busy = true;
            m_bytesCarried += flow->segmentBytes;
            m_simulation.after(fromSeconds(flow->segmentBytes / m_rate),
                               [this, flow = flow, hop = hop] { sent(flow, hop); });
        }
    }

    void sent(const FlowPtr &flow, std::size_t hop)
    {
        m_busy = false;
        // The sender retransmits a lost segment, which then uses the link again.
        const bool lost = m_loss > 0 && m_random.chance(m_loss);
        flow->pending[hop] -= lost ? 0 : 1;
        if (flow->pending[hop] > 0)
            m_queue.emplace_back(flow, hop);
        if (!lost && !flow->cancelled)
            forward(flow, hop);
        serve();
    }

    void forward(const FlowPtr &flow, std::size_t hop)
    {
        if (hop == 0 && ++flow->sent == Flow::Segments && flow->onSent)
            flow->onSent();
        if (hop + 1 < flow->route.size()) {
            flow->route[hop + 1]->enqueue(flow, hop + 1);
            return;
        }
        m_simulation.after(flow->delay, [flow] {
            if (flow->cancelled)
                return;
            if (++flow->delivered == Flow::Segments)
                flow->onDelivered();
            else
                flow->onProgress();
        });
    }

    Simulation &m_simulation;
    double m_rate;
    double m_loss;
    Random &m_random;
    bool m_busy = false;
    bool m_stalled = false;
    double m_bytesCarried = 0;
    std::deque<std::pair<FlowPtr, std::size_t>> m_queue;
};

/// Topology of a cluster and its link rates in bytes per second.
struct Layout
{
    int hosts = 16;
    int regions = 1; ///< Three zones in one region, or one zone in each of three regions.
    double hostRate = 0;
    double originRate = 0;
    double regionRate = 0;
    double regionLoss = 0.005;

    int regionOf(int host) const { return regions == 1 ? 0 : host % regions; }
    int zoneOf(int host) const { return host % 3; }
};

/// Links of all hosts, of the origin (in region 0) and between regions.
class Network
{
public:
    static constexpr int Origin = -1;

    Network(Simulation &simulation, const Layout &layout, Random &random)
        : m_simulation(simulation)
        , m_layout(layout)
        , m_origin(simulation, layout.originRate, 0, random)
    {
        for (int host = 0; host < layout.hosts; ++host) {
            m_uplinks.push_back(std::make_unique<Link>(simulation, layout.hostRate, 0, random));
            m_downlinks.push_back(std::make_unique<Link>(simulation, layout.hostRate, 0, random));
        }
        for (int a = 0; a < layout.regions; ++a) {
            for (int b = 0; b < layout.regions; ++b)
                m_regionLinks[{a, b}] = std::make_unique<Link>(simulation, layout.regionRate,
                                                               layout.regionLoss, random);
        }
    }

    int region(int node) const { return node == Origin ? 0 : m_layout.regionOf(node); }

    Duration delay(int from, int to) const
    {
        using namespace std::chrono_literals;
        if (region(from) != region(to))
            return 7ms;
        return from == Origin || m_layout.zoneOf(from) == m_layout.zoneOf(to) ? Duration(300us)
                                                                              : Duration(5ms);
    }

    /// Sends \a bytes as \a flow, whose callbacks must be set before.
    void send(int from, int to, double bytes, const FlowPtr &flow)
    {
        flow->route.push_back(from == Origin ? &m_origin
                                             : m_uplinks[static_cast<std::size_t>(from)].get());
        if (region(from) != region(to))
            flow->route.push_back(m_regionLinks[{region(from), region(to)}].get());
        flow->route.push_back(m_downlinks[static_cast<std::size_t>(to)].get());
        flow->pending.assign(flow->route.size(), 0);
        flow->segmentBytes = bytes / Flow::Segments;
        flow->delay = delay(from, to);
        for (int i = 0; i < Flow::Segments; ++i)
            flow->route[0]->enqueue(flow, 0);
    }

    /// Delivers a small message by calling \a run after the propagation delay.
    void message(int from, int to, std::function<void()> run)
    {
        ++m_messages;
        m_simulation.after(delay(from, to), std::move(run));
    }

    void stallUplink(int host) { m_uplinks[static_cast<std::size_t>(host)]->stall(); }
    double originBytes() const { return m_origin.bytesCarried(); }
    double busiestRegionLink() const
    {
        double most = 0;
        for (const auto &[ends, link] : m_regionLinks)
            most = std::max(most, link->bytesCarried());
        return most;
    }
    std::uint64_t messages() const { return m_messages; }

private:
    Simulation &m_simulation;
    Layout m_layout;
    Link m_origin;
    std::vector<std::unique_ptr<Link>> m_uplinks;
    std::vector<std::unique_ptr<Link>> m_downlinks;
    std::map<std::pair<int, int>, std::unique_ptr<Link>> m_regionLinks;
    std::uint64_t m_messages = 0;
};

} // namespace godwit::bench
