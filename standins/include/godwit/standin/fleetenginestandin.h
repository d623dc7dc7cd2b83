#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpserver.h>
#include <godwit/standin/fleetwire.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::standin {

/// A request that an engine has started.
struct FleetRun
{
    std::string attempt;
    std::string engine;
    std::string customer;
    std::string route; ///< First segment of the path.
    std::uint64_t firstEvent = 0;
    std::uint64_t version = 0;     ///< Version of the weights.
    bool hasAuthorization = false; ///< The request contained the client's Authorization header.
    TimePoint at;
};

/// A request of a client that has reached the engine that it was meant for, whether or not it ran.
struct FleetArrival
{
    std::string attempt;
    std::string engine;
    TimePoint at;
    std::string retryAfter; ///< The retry time with which it was turned away, if any.
};

/// Requests and orders handled by all engines of a fleet, including stopped engines.
struct FleetLedger
{
    std::vector<FleetRun> runs;
    std::vector<FleetArrival> arrivals;
    std::vector<std::string> invalidLoads; ///< Load orders without all pieces of one version.
    std::size_t orders = 0;
};

/// Simulates one backend server process of the external platform. A server of the model service
/// also accepts pieces of weights and orders to load them.
class FleetEngineStandin
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        HttpEndpoint listen;  ///< Port 0 lets the kernel choose.
        HttpEndpoint address; ///< Advertised address.
        std::uint64_t startTimeMs = 0;
        std::uint64_t version = 0; ///< Version of the served weights; 0 for none.
        std::map<std::uint32_t, std::string> stagedPieces;
    };

    /// Calls \a onChanged when the result of recordJson() has changed. \a io must be run by a
    /// single thread.
    FleetEngineStandin(boost::asio::io_context &io, Options options, FleetLedger &ledger,
                       std::function<void()> onChanged);
    ~FleetEngineStandin();

    Result<void> start();

    const Options &options() const { return m_options; }
    HttpEndpoint endpoint() const { return m_server->endpoint(); }

    /// Returns the record that announces this engine in the metadata store.
    std::string recordJson(bool draining) const;
    std::string recordKey() const { return "servers/" + m_options.id; }

    /// States in all further responses that the engine leaves. It still runs what it receives, so
    /// that requests that should not have been sent can be counted.
    void setLeaving() { m_isLeaving = true; }

    /// Turns requests away with 503 and \a retryAfter as the value of Retry-After until it is
    /// reset.
    void setRetryAfter(std::optional<std::string> retryAfter)
    {
        m_retryAfter = std::move(retryAfter);
    }

    /// Number of requests of clients received so far, including those turned away.
    std::size_t receivedRequests() const { return m_receivedRequests; }

private:
    struct Run
    {
        std::shared_ptr<HttpReply> reply;
        std::string attempt;
        std::uint64_t nextEvent = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    };
    using Reply = std::shared_ptr<HttpReply>;

    void handle(const HttpRequest &request, const Reply &reply);
    void sendReport(HttpReply &reply) const;
    void storePiece(const HttpRequest &request, HttpReply &reply);
    void sendStagedPieces(const HttpRequest &request, HttpReply &reply) const;
    void handleOrder(const HttpRequest &request, HttpReply &reply);
    void waitForLoad();
    void serve(const HttpRequest &request, const Reply &reply);
    bool rejectIfUnavailable(const HttpRequest &request, HttpReply &reply);
    void sendNextEvent(std::list<Run>::iterator run);
    void sendReply(std::list<Run>::iterator run);
    void schedule(std::list<Run>::iterator run, Duration delay,
                  void (FleetEngineStandin::*step)(std::list<Run>::iterator));
    void removeRun(std::list<Run>::iterator run);

    boost::asio::io_context &m_io;
    Options m_options;
    FleetLedger &m_ledger;
    std::function<void()> m_onChanged;
    std::unique_ptr<HttpServer> m_server;
    std::list<Run> m_runs;
    std::uint64_t m_orders = 0;
    std::size_t m_receivedRequests = 0;
    bool m_isLeaving = false;
    std::optional<std::string> m_retryAfter;
    std::map<std::uint32_t, std::string> m_loading;
    std::unique_ptr<boost::asio::steady_timer>
            m_loadTimer; ///< Set while a load order is in progress.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace godwit::standin
