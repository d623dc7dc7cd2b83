#pragma once

#include <godwit/apps/peerpool.h>
#include <godwit/observe/metricsregistry.h>
#include <godwit/ports/etcdkeyvalue.h>
#include <godwit/ports/httphostlist.h>
#include <godwit/ports/httporigin.h>
#include <godwit/ports/httpweightstore.h>
#include <godwit/settings/daemonsettings.h>
#include <godwit/wire/iothread.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace godwit {

/// Network I/O for the control thread: platform services, datagrams and calls between processes.
/// The sockets belong to a separate io thread. The control thread submits work by post() and
/// receives replies through callbacks made by controlCallback().
class ControlIo
{
public:
    using PostToControl = std::function<void(std::function<void()>)>;
    using DatagramHandler = std::function<void(std::string)>;

    ControlIo(const DaemonSettings &settings, MetricsRegistry &metrics);
    ~ControlIo();
    ControlIo(const ControlIo &) = delete;
    ControlIo &operator=(const ControlIo &) = delete;

    /// Must be called before anything else; \a postToControl queues work for the control thread.
    void setPostToControl(PostToControl postToControl) { m_post = std::move(postToControl); }

    /// Receives datagrams on the peer port and calls \a handler on the io thread.
    void listenDatagrams(DatagramHandler handler, std::uint16_t port);

    /// Calls \a tick on the io thread every \a interval until destruction.
    void startTimer(Duration interval, std::function<void()> tick);

    /// Runs \a function on the io thread.
    template <typename Function>
    void post(Function function)
    {
        boost::asio::post(m_thread.io(), std::move(function));
    }

    /// Returns a callback that moves its argument to the control thread and calls \a function
    /// there.
    template <typename T, typename Function>
    std::function<void(T)> controlCallback(Function function)
    {
        return [this, function = std::move(function)](T value) {
            auto held = std::make_shared<T>(std::move(value));
            m_post([function, held] { function(std::move(*held)); });
        };
    }

    /// Sends \a text as a datagram if it is small enough, otherwise by a call to \a path.
    void send(const Endpoint &endpoint, const std::string &path, std::string text);

    /// Sends a message by HTTP/2 without waiting for its reply.
    void callOneWay(const Endpoint &endpoint, const std::string &path, std::string text);

    // The following are used on the io thread only.
    boost::asio::io_context &context() { return m_thread.io(); }
    KeyValuePort &keyValue() { return *m_keyValue; }
    HostListPort &hostList() { return *m_hostList; }
    WeightStorePort &weightStore() { return *m_weightStore; }
    OriginPort &origin() { return *m_origin; }
    HttpClient &http() { return *m_http; }
    PeerPool &peers() { return *m_peers; }

private:
    void receiveDatagram();

    HostId m_self;
    PostToControl m_post;
    Counter &m_sentBytes;
    Counter &m_receivedBytes;
    Counter &m_sentMessages;
    IoThread m_thread;
    std::unique_ptr<HttpClient> m_http;
    std::unique_ptr<EtcdKeyValue> m_keyValue;
    std::unique_ptr<HttpHostList> m_hostList;
    std::unique_ptr<HttpWeightStore> m_weightStore;
    std::unique_ptr<HttpOrigin> m_origin;
    std::unique_ptr<PeerPool> m_peers;
    std::unique_ptr<boost::asio::ip::udp::socket> m_datagrams;
    std::unique_ptr<boost::asio::steady_timer> m_timer;
    std::function<void()> m_tick;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer{};
    DatagramHandler m_datagramHandler;
    std::string m_address;
};

} // namespace godwit
