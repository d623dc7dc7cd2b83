#pragma once

#include <godwit/base/time.h>
#include <godwit/ports/httpserver.h>
#include <godwit/standin/fleetwire.h>

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::standin {

/// A piece of weights in the staging area of an engine.
struct FleetStagedPiece
{
    std::string bytes;                     ///< As staged.
    std::optional<TimePoint> corruptSince; ///< Time at which a byte of it changed, if any.

    /// Returns the bytes that the engine reads: those staged, or corrupt ones.
    std::string content() const;
};

using FleetStagedPieces = std::map<std::uint32_t, FleetStagedPiece>;

/// Changes a byte of each of \a pieces that is staged and not corrupt yet.
void corruptPieces(FleetStagedPieces &staged, const std::vector<std::uint32_t> &pieces);

/// A wrong piece that an engine took for a layer when it accepted a load order.
struct FleetWrongPiece
{
    enum class Fault { Missing, OtherVersion, Corrupt };

    std::uint32_t layer = 0;
    std::uint32_t piece = 0;
    Fault fault = Fault::Missing;
    TimePoint takenAt;
    TimePoint corruptSince; ///< Set for Fault::Corrupt.
};

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
    std::vector<FleetWrongPiece> wrongPieces; ///< Of the layers that it runs on.
    std::optional<TimePoint> begunAt = {};    ///< Time of its first event, if it is a stream.
};

/// A request of a client that has reached the engine that it was meant for, whether or not it ran.
struct FleetArrival
{
    std::string attempt;
    std::string engine;
    TimePoint at;
    std::string retryAfter; ///< The retry time with which it was turned away, if any.
    /// Later than the arrival if the engine was silent in between.
    TimePoint answeredAt = at;
};

/// Requests and orders handled by all engines of a fleet, including stopped engines.
struct FleetLedger
{
    std::vector<FleetRun> runs;
    std::vector<FleetArrival> arrivals;
    /// Load orders without all pieces of one version that they need. Corrupt pieces do not count.
    std::vector<std::string> invalidLoads;
    std::size_t orders = 0;
};

/// Simulates one backend server process of the external platform. A server of the model service
/// also accepts pieces of weights and orders to load them. It serves requests while it holds all
/// layers.
class FleetEngineStandin
{
public:
    /// The engine falls silent when a load order arrives, before it accepts the order, and some of
    /// its staged pieces turn corrupt at the same time.
    struct OrderFault
    {
        Duration silence{0};
        std::vector<std::uint32_t> corruptPieces;
    };

    struct Options
    {
        std::string id;
        std::string service;
        std::string zone;
        HttpEndpoint listen;  ///< Port 0 lets the kernel choose.
        HttpEndpoint address; ///< Advertised address.
        std::uint64_t startTimeMs = 0;
        std::uint64_t version = 0; ///< Of the layers that it holds at its start; 0 for none.
        FleetStagedPieces stagedPieces;
        std::optional<OrderFault> orderFault; ///< Applies to the next load order.
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

    /// Turns requests away with 503 until \a end, with the time until then as Retry-After.
    void pauseUntil(TimePoint end) { m_pauseEnd = end; }

    /// Turns each \a interval-th request away as not executed, as a full engine does; 0: none.
    void setRejectInterval(std::size_t interval) { m_rejectInterval = interval; }

    /// The engine answers and accepts nothing for \a length, then handles what has arrived
    /// meanwhile. Does not shorten a silence in progress.
    void fallSilent(Duration length);
    void endSilence();

    /// The engine falls silent for \a length as soon as it has started the next request, before the
    /// first event of the response.
    void silenceAtNextRun(Duration length) { m_silenceAtNextRun = length; }

    void corrupt(const std::vector<std::uint32_t> &pieces)
    {
        corruptPieces(m_options.stagedPieces, pieces);
    }
    void setOrderFault(std::optional<OrderFault> fault) { m_options.orderFault = std::move(fault); }

    /// Returns the version of which the engine holds all layers, and 0 if there is none or while it
    /// loads.
    std::uint64_t servedVersion() const;

    /// Number of requests of clients received so far, including those turned away.
    std::size_t receivedRequests() const { return m_receivedRequests; }

private:
    struct Run
    {
        std::shared_ptr<HttpReply> reply;
        std::string attempt;
        std::uint64_t nextEvent = 0;
        std::size_t record = 0; ///< In the runs of the ledger.
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::shared_ptr<bool> alive = std::make_shared<bool>(true);
    };
    using Reply = std::shared_ptr<HttpReply>;
    /// Layers with the wrong pieces that they were taken with.
    using Layers = std::map<std::uint32_t, std::vector<FleetWrongPiece>>;

    void receive(const HttpRequest &request, const Reply &reply);
    void handle(const HttpRequest &request, const Reply &reply, TimePoint arrivedAt);
    /// Runs \a step now, or at the end of the silence in progress.
    void runWhenResponsive(std::function<void()> step);
    bool holdsAllLayers() const { return m_layers.size() == FleetLayerCount; }
    boost::json::object layersJson() const;
    std::vector<FleetWrongPiece> findWrongPieces(std::uint32_t layer, std::uint64_t version) const;
    /// Returns the layers from \a from to \a to as they will be after an order to load them.
    Layers takeLayers(std::uint32_t from, std::uint32_t to, std::uint64_t version);
    void sendReport(HttpReply &reply) const;
    void storePiece(const HttpRequest &request, HttpReply &reply);
    void sendStagedPieces(const HttpRequest &request, HttpReply &reply) const;
    void handleOrder(const HttpRequest &request, HttpReply &reply);
    /// The value of Retry-After with which a request is turned away now, if it is.
    std::optional<std::string> retryAfter() const;
    void waitForRuns();
    void load();
    void finishLoad();
    void scheduleLoadStep(Duration delay, void (FleetEngineStandin::*step)());
    void serve(const HttpRequest &request, const Reply &reply, TimePoint arrivedAt);
    bool rejectIfUnavailable(const HttpRequest &request, HttpReply &reply, TimePoint arrivedAt);
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
    TimePoint m_pauseEnd;
    std::size_t m_rejectInterval = 0;
    Layers m_layers; ///< Held now.
    std::uint64_t m_version = 0;
    Layers m_nextLayers; ///< Held after the load order in progress.
    std::uint64_t m_nextVersion = 0;
    Duration m_loadDuration{0};
    std::unique_ptr<boost::asio::steady_timer>
            m_loadTimer; ///< Set while a load order is in progress.
    std::optional<Duration> m_silenceAtNextRun;
    std::unique_ptr<boost::asio::steady_timer> m_silence; ///< Set while the engine is silent.
    std::vector<std::function<void()>> m_deferredSteps;   ///< To run after the silence.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace godwit::standin
