#include "loadsubscriptions.h"

namespace godwit {

namespace {

constexpr std::size_t MaxReportBytes = 4UL * 1024 * 1024;

} // namespace

LoadSubscriptions::LoadSubscriptions(PeerPool &peers, MetricsRegistry &metrics, Listener listener)
    : m_peers(peers)
    , m_listener(std::move(listener))
    , m_received(metrics.counter("godwit_load_report_bytes_total",
                                 "Bytes of load reports received from hosts, without framing."))
    , m_open(metrics.gauge("godwit_load_streams", "Open streams of load reports."))
{}

LoadSubscriptions::~LoadSubscriptions()
{
    for (const auto &[host, subscription] : m_subscriptions) {
        if (subscription.stream)
            subscription.stream->cancel();
    }
}

void LoadSubscriptions::update(const std::vector<HostUpdate> &targets)
{
    for (const auto &target : targets) {
        const auto it = m_subscriptions.find(target.host);
        const bool isOpen = it != m_subscriptions.end() && it->second.endpoint == target.endpoint;
        const bool isNeeded = target.known && target.subscribed;
        if (isOpen && isNeeded)
            continue;
        if (it != m_subscriptions.end()) {
            it->second.stream->cancel();
            m_subscriptions.erase(it);
        }
        if (isNeeded)
            open(target);
    }
    m_open.set(static_cast<double>(m_subscriptions.size()));
}

void LoadSubscriptions::open(const HostUpdate &target)
{
    Subscription &subscription = m_subscriptions[target.host];
    subscription.endpoint = target.endpoint;
    StreamEvents events;
    events.onData = [this, host = target.host](std::string_view bytes) { received(host, bytes); };
    events.onEnd = [this, host = target.host](const WireFields &) { ended(host); };
    events.onError = [this, host = target.host](const Error &) { ended(host); };
    subscription.stream = m_peers.client(target.endpoint).open("/load", {}, std::move(events));
    subscription.stream->finish();
}

void LoadSubscriptions::received(const HostId &host, std::string_view bytes)
{
    Subscription &subscription = m_subscriptions.at(host);
    m_received.add(bytes.size());
    subscription.pending += bytes;
    std::size_t begin = 0;
    for (auto end = subscription.pending.find('\n'); end != std::string::npos;
         end = subscription.pending.find('\n', begin)) {
        auto report = capture([&] {
            return parseJson<HostReport>(
                    std::string_view(subscription.pending).substr(begin, end - begin));
        });
        begin = end + 1;
        if (succeeded(report) && std::get<0>(report).host == host)
            m_listener.onReport(std::move(std::get<0>(report)));
    }
    subscription.pending.erase(0, begin);
    if (subscription.pending.size() > MaxReportBytes) {
        subscription.stream->cancel();
        ended(host);
    }
}

void LoadSubscriptions::ended(const HostId &host)
{
    m_subscriptions.erase(host);
    m_listener.onEnd(host);
}

} // namespace godwit
