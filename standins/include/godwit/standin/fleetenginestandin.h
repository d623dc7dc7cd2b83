#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpserver.h>
#include <godwit/standin/fleetwire.h>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace godwit::standin {

/// A request that an engine began to run.
struct FleetRun
{
    std::string attempt;
    std::string customer;
    std::string route; ///< First part of the path.
    std::uint64_t firstEvent = 0;
    std::uint64_t version = 0; ///< Of the weights.
    bool showsKey = false;     ///< The key of the client was passed on.
    TimePoint at;
};

/// What all engines of a fleet have done, also those that are gone.
struct FleetLedger
{
    std::vector<FleetRun> runs;
    std::vector<std::string> wrongLoads; ///< Loads of pieces that are not of one version.
    std::size_t orders = 0;
};

/// Small stand-in of a backend server on the users' platform: one process of it, with an id of its
/// own. One of the model service accepts pieces of weights and orders to load them.
class FleetEngineStandin
{
public:
    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        HttpEndpoint listen;  ///< Port 0 lets the kernel choose.
        HttpEndpoint address; ///< At which others reach it.
        std::uint64_t bornMs = 0;
        std::uint64_t version = 0; ///< Of the weights that it serves; 0 for none.
        std::map<std::uint32_t, std::string> staged;
    };

    /// \a onChanged is called when the record has changed. The io_context is run by one thread.
    FleetEngineStandin(boost::asio::io_context &io, Options options, FleetLedger &ledger,
                       std::function<void()> onChanged);
    ~FleetEngineStandin();

    Result<void> start();

    const Options &options() const { return m_options; }
    HttpEndpoint endpoint() const { return m_server->endpoint(); }

    /// The record of this engine in the store.
    std::string recordText(bool draining) const;
    std::string recordKey() const { return "servers/" + m_options.id; }

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
    void report(HttpReply &reply) const;
    void stage(const HttpRequest &request, HttpReply &reply);
    void readStaged(const HttpRequest &request, HttpReply &reply) const;
    void order(const HttpRequest &request, HttpReply &reply);
    void load();
    void serve(const HttpRequest &request, const Reply &reply);
    bool refuses(const HttpRequest &request, HttpReply &reply) const;
    void nextEvent(std::list<Run>::iterator run);
    void answer(std::list<Run>::iterator run);
    void later(std::list<Run>::iterator run, Duration delay,
               void (FleetEngineStandin::*step)(std::list<Run>::iterator));
    void end(std::list<Run>::iterator run);

    boost::asio::io_context &m_io;
    Options m_options;
    FleetLedger &m_ledger;
    std::function<void()> m_onChanged;
    std::unique_ptr<HttpServer> m_server;
    std::list<Run> m_runs;
    std::uint64_t m_orders = 0;
    std::map<std::uint32_t, std::string> m_loading;
    std::unique_ptr<boost::asio::steady_timer> m_load; ///< While an order is in progress.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace godwit::standin
