#pragma once

#include "entrycore.h"

#include <godwit/apps/peerpool.h>
#include <godwit/observe/metricsregistry.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit {

/// Subscriptions of an entry process to the `/load` streams of hosts. Used only on the io thread.
class HostLinks
{
public:
    struct Listener
    {
        std::function<void(HostReport)> onReport;
        std::function<void(const HostId &)> onEnd;
    };

    HostLinks(PeerPool &peers, MetricsRegistry &metrics, Listener listener);
    ~HostLinks();

    /// Opens streams to subscribed hosts that have none and closes streams to all other hosts.
    void update(const std::vector<HostTarget> &targets);

private:
    struct Link
    {
        Endpoint endpoint;
        std::shared_ptr<WireStream> stream;
        std::string pending;
    };

    void open(const HostTarget &target);
    void received(const HostId &host, std::string_view bytes);
    void ended(const HostId &host);

    PeerPool &m_peers;
    Listener m_listener;
    std::map<HostId, Link> m_links;
    Counter &m_received;
    Gauge &m_open;
};

} // namespace godwit
