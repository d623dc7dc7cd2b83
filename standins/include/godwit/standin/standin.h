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

/// Base class of the simulated platform services: one HTTP server with fault injection and call
/// counters. Must be used only on the thread that runs the io_context.
///
/// | request | meaning |
/// | --- | --- |
/// | GET /_standin/counts | returns calls by kind and other counters as an object of numbers |
/// | GET /_standin/faults | returns all faults that have been set (array of Fault) |
/// | POST /_standin/faults | replaces the given faults (array of Fault) |
/// | GET /_standin/ledger | returns the handled requests; the format depends on the stand-in |
///
/// These requests are not counted and not subject to faults, but they fail while a stand-in is down
/// after a crash.
class Standin
{
public:
    Standin(boost::asio::io_context &io, StandinConfig config);
    virtual ~Standin();
    Standin(const Standin &) = delete;
    Standin &operator=(const Standin &) = delete;

    /// Starts to listen. Fails with ListenFailed, AddressInvalid or, for an unknown fault,
    /// SettingsInvalid.
    Result<void> start();

    const std::string &name() const { return m_config.name; }
    HttpEndpoint endpoint() const { return m_endpoint; }
    bool isListening() const { return m_server != nullptr; }

    Result<void> setFault(Fault fault);
    std::uint64_t counterValue(std::string_view what) const;

    virtual boost::json::value ledger() const { return boost::json::array(); }

protected:
    using ReplyPointer = std::shared_ptr<HttpReply>;

    /// Serves a request unless an injected fault has already ended it.
    virtual void handle(HttpRequest request, const ReplyPointer &reply) = 0;

    /// Serves a control request below /_standin/ that is specific to the derived class. Returns
    /// false if the request is unknown.
    virtual bool handleControl(const HttpRequest &request, const ReplyPointer &reply);

    /// Returns the name of the counter for \a request.
    virtual std::string requestKind(const HttpRequest &request) const;

    virtual void onFaultChanged(const Fault &) {}

    FaultTable &faults() { return m_faults; }
    const FaultTable &faults() const { return m_faults; }
    void incrementCounter(const std::string &what, std::uint64_t n = 1) { m_counts[what] += n; }
    boost::asio::io_context &context() { return m_io; }

    /// Calls \a function after \a delay, unless the stand-in has been destroyed by then.
    void runAfter(Duration delay, std::function<void()> function);

    /// Closes the listening socket and all connections after the current callback has returned.
    void stopServer();

    /// Listens on the previous port again. Retries while the port is in use.
    void restartServer();

    static void sendJson(const ReplyPointer &reply, int status, const boost::json::value &body);
    static HttpResponse errorResponse(int status, std::string_view code, std::string_view message);
    static void sendError(const ReplyPointer &reply, int status, std::string_view code,
                          std::string_view message);

private:
    void dispatch(HttpRequest request, ReplyPointer reply);
    bool dispatchControl(const HttpRequest &request, const ReplyPointer &reply);
    void updateFaults(const HttpRequest &request, const ReplyPointer &reply);
    void serve(HttpRequest request, const ReplyPointer &reply);
    HttpServer::Handler handler();

    boost::asio::io_context &m_io;
    StandinConfig m_config;
    FaultTable m_faults;
    std::map<std::string, std::uint64_t, std::less<>> m_counts;
    TokenBucket m_callLimiter;
    HttpEndpoint m_endpoint;
    std::unique_ptr<HttpServer> m_server;
    std::set<std::shared_ptr<boost::asio::steady_timer>> m_timers;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace godwit::standin
