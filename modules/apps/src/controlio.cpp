#include "controlio.h"

#include <boost/asio/ip/address.hpp>

#include <future>

namespace godwit {

namespace {

using boost::asio::ip::udp;

// Fits into one packet on links with the usual MTU.
constexpr std::size_t MaxDatagramBytes = 1400;
constexpr Duration OneWayTimeout = std::chrono::seconds(2);
constexpr Duration IdleCheckInterval = std::chrono::seconds(5);

ServiceOptions serviceAt(const Endpoint &endpoint, Duration timeout)
{
    return {{endpoint.address, endpoint.port}, std::chrono::seconds(1), timeout};
}

} // namespace

ControlIo::ControlIo(const DaemonSettings &settings, MetricsRegistry &metrics)
    : m_self(settings.host)
    , m_sentBytes(metrics.counter("godwit_control_sent_bytes_total",
                                  "Bytes of control messages sent to other processes."))
    , m_receivedBytes(metrics.counter("godwit_control_received_bytes_total",
                                      "Bytes of control messages received by datagram."))
    , m_sentMessages(metrics.counter("godwit_control_sent_messages_total",
                                     "Control messages sent to other processes."))
    , m_address(settings.listen.address)
{
    const Duration timeout = settings.platform.callTimeout;
    const PlatformSettings &platform = settings.platform;
    m_http = std::make_unique<HttpClient>(m_thread.io());
    m_keyValue = std::make_unique<EtcdKeyValue>(*m_http, serviceAt(platform.keyValue, timeout));
    m_hostList = std::make_unique<HttpHostList>(*m_http, serviceAt(platform.hostList, timeout));
    m_weightStore =
            std::make_unique<HttpWeightStore>(*m_http, serviceAt(platform.weightStore, timeout));
    m_origin = std::make_unique<HttpOrigin>(*m_http, serviceAt(platform.origin, timeout));
    m_peers = std::make_unique<PeerPool>(m_thread.io());
}

ControlIo::~ControlIo()
{
    // Sockets must be closed on the io thread, before it is stopped.
    std::promise<void> closed;
    post([&] {
        m_timer.reset();
        m_datagrams.reset();
        m_peers.reset();
        m_origin.reset();
        m_weightStore.reset();
        m_hostList.reset();
        m_keyValue.reset();
        m_http.reset();
        closed.set_value();
    });
    closed.get_future().wait();
}

void ControlIo::listenDatagrams(DatagramHandler handler, std::uint16_t port)
{
    post([this, handler = std::move(handler), port] {
        m_datagramHandler = handler;
        const udp::endpoint local(boost::asio::ip::make_address(m_address), port);
        m_datagrams = std::make_unique<udp::socket>(m_thread.io(), local);
        receiveDatagram();
    });
}

void ControlIo::receiveDatagram()
{
    m_datagrams->async_receive_from(boost::asio::buffer(m_buffer), m_sender,
                                    [this](boost::system::error_code ec, std::size_t n) {
                                        if (ec == boost::asio::error::operation_aborted
                                            || !m_datagrams)
                                            return;
                                        if (!ec) {
                                            m_receivedBytes.add(n);
                                            m_datagramHandler(std::string(m_buffer.data(), n));
                                        }
                                        receiveDatagram();
                                    });
}

void ControlIo::startTimer(Duration interval, std::function<void()> tick)
{
    post([this, interval, tick = std::move(tick)] {
        m_timer = std::make_unique<boost::asio::steady_timer>(m_thread.io());
        auto nextIdleCheck = std::make_shared<TimePoint>(MonotonicClock::now());
        m_tick = [this, interval, tick, nextIdleCheck] {
            tick();
            if (MonotonicClock::now() >= *nextIdleCheck) {
                *nextIdleCheck = MonotonicClock::now() + IdleCheckInterval;
                m_peers->closeIdle();
            }
            m_timer->expires_after(interval);
            m_timer->async_wait([this](boost::system::error_code ec) {
                if (!ec && m_timer)
                    m_tick();
            });
        };
        m_tick();
    });
}

void ControlIo::send(const Endpoint &endpoint, const std::string &path, std::string text)
{
    if (text.size() > MaxDatagramBytes) {
        callOneWay(endpoint, path, std::move(text));
        return;
    }
    m_sentMessages.add();
    m_sentBytes.add(text.size());
    post([this, endpoint, text = std::move(text)] {
        boost::system::error_code ec;
        const auto address = boost::asio::ip::make_address(endpoint.address, ec);
        if (!ec && m_datagrams)
            m_datagrams->send_to(boost::asio::buffer(text), udp::endpoint(address, endpoint.port),
                                 0, ec);
    });
}

void ControlIo::callOneWay(const Endpoint &endpoint, const std::string &path, std::string text)
{
    m_sentMessages.add();
    m_sentBytes.add(text.size());
    post([this, endpoint, path, text = std::move(text)] {
        m_peers->client(endpoint).call(path, text, OneWayTimeout, [](Outcome<std::string>) {},
                                       {{"x-godwit-host", m_self.value()}});
    });
}

} // namespace godwit
