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
class LoadSubscriptions
{
public:
    struct Listener
    {
        std::function<void(HostReport)> onReport;
        std::function<void(const HostId &)> onEnd;
    };

    LoadSubscriptions(PeerPool &peers, MetricsRegistry &metrics, Listener listener);
    ~LoadSubscriptions();

    /// Opens streams to subscribed hosts that have none and closes streams to all other hosts.
    void update(const std::vector<HostUpdate> &targets);

private:
    struct Subscription
    {
        Endpoint endpoint;
        std::shared_ptr<WireStream> stream;
        std::string pending;
    };

    void open(const HostUpdate &target);
    void received(const HostId &host, std::string_view bytes);
    void ended(const HostId &host);

    PeerPool &m_peers;
    Listener m_listener;
    std::map<HostId, Subscription> m_subscriptions;
    Counter &m_received;
    Gauge &m_open;
};

} // namespace godwit
