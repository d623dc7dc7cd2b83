#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpserver.h>
#include <godwit/standin/faulttable.h>
#include <godwit/standin/standinconfig.h>
#include <godwit/standin/tokenbucket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace godwit::standin {

/// Base of all stand-ins: one HTTP server on one io_context, a table of faults and call counts.
/// Used on the thread of the io_context only.
///
/// | request | meaning |
/// | --- | --- |
/// | GET /_standin/counts | calls by kind and other totals, as an object of numbers |
/// | GET /_standin/faults | rows of the table of faults |
/// | POST /_standin/faults | replaces the given rows (array of Fault) |
/// | GET /_standin/ledger | what the stand-in did, by kind of stand-in |
///
/// These requests are not counted and not subject to faults, but while a stand-in is down after a
/// crash nothing answers.
class Standin
{
public:
    Standin(boost::asio::io_context &io, StandinConfig config);
    virtual ~Standin();
    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    /// Listens. Fails with ListenFailed, AddressInvalid or, for an unknown fault, SettingsInvalid.
    Result<void> start();

    const std::string &name() const { return m_config.name; }
    HttpEndpoint endpoint() const { return m_endpoint; }
    bool isUp() const { return m_server != nullptr; }

    Result<void> setFault(Fault fault);
    std::uint64_t counted(std::string_view what) const;

    virtual boost::json::value ledger() const { return boost::json::array(); }

protected:
    using ReplyPointer = std::shared_ptr<HttpReply>;

    /// Serves a request that no general fault has caught.
    virtual void handle(HttpRequest request, const ReplyPointer &reply) = 0;

    /// Serves a request below /_standin/ that all stand-ins do not share; false if there is none.
    virtual bool handleControl(const HttpRequest &request, const ReplyPointer &reply);

    /// Name under which \a request is counted.
    virtual std::string kindOf(const HttpRequest &request) const;

    virtual void onFaultChanged(const Fault &) {}

    FaultTable &faults() { return m_faults; }
    const FaultTable &faults() const { return m_faults; }
    void count(const std::string &what, std::uint64_t n = 1) { m_counts[what] += n; }
    boost::asio::io_context &context() { return m_io; }

    /// Calls \a function \a delay from now unless the stand-in has been destroyed.
    void after(Duration delay, std::function<void()> function);

    /// Closes the listening socket and all connections once the current callback has returned.
    void goDown();

    /// Listens again on the same port; tries again later if the port is taken.
    void comeUp();

    static void sendJson(const ReplyPointer &reply, int status, const boost::json::value &body);
    static void sendError(const ReplyPointer &reply, int status, std::string_view code,
                          std::string_view message);

private:
    void receive(HttpRequest request, ReplyPointer reply);
    bool receiveControl(const HttpRequest &request, const ReplyPointer &reply);
    void receiveFaults(const HttpRequest &request, const ReplyPointer &reply);
    void serve(HttpRequest request, const ReplyPointer &reply);
    HttpServer::Handler handler();

    boost::asio::io_context &m_io;
    StandinConfig m_config;
    FaultTable m_faults;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
    TokenBucket m_callBudget;
    HttpEndpoint m_endpoint;
    std::unique_ptr<HttpServer> m_server;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace godwit::standin
