#pragma once

#include "storepolling.h"

#include <godwit/base/random.h>
#include <godwit/fleet/fleetplatform.h>
#include <godwit/observe/metricsregistry.h>
#include <godwit/ports/asioscheduler.h>
#include <godwit/ports/httpserver.h>
#include <godwit/settings/fleetsettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace godwit {

/// Base of both roles of a fleet process: a single-threaded event loop, the store, metrics and
/// signal handling. It uses one thread because a host has only a fraction of a core, so that
/// handing work over between threads would cost more than it gains.
class FleetProcessBase
{
public:
    FleetProcessBase(FleetSettings settings, std::string settingsFile,
                     const FleetPlatform &platform);
    virtual ~FleetProcessBase();
    FleetProcessBase(const FleetProcessBase &) = delete;
    FleetProcessBase &operator=(const FleetProcessBase &) = delete;

    /// Opens the ports. Fails with ListenFailed.
    Result<void> open();

    /// Runs until the shutdown is complete. Returns the exit code.
    int run();

protected:
    virtual Result<void> start() = 0;

    /// Begins a graceful shutdown, which must end with finish().
    virtual void beginShutdown() = 0;

    /// Makes run() return \a exitCode.
    void finish(int exitCode);

    /// True once a signal has requested the shutdown.
    bool isShuttingDown() const { return m_shuttingDown; }

    /// Creates a server that responds with \a response under \a path and with 404 elsewhere; null
    /// if the port of \a endpoint is 0. Fails with ListenFailed.
    Result<std::unique_ptr<HttpServer>> serveStatus(const Endpoint &endpoint, std::string path,
                                                    std::function<HttpResponse()> response);

    /// Creates a client of the platform's store; a process may use several with different options.
    std::unique_ptr<KeyValuePort> openStore(const PollIntervals &intervals);
    /// As above, with a long-poll timeout that may differ between calls.
    std::unique_ptr<KeyValuePort> openStore(std::function<Duration()> longPollTimeout,
                                            Duration batchDelay);

    /// Returns a generator whose seed differs between processes and restarts.
    Random newRandom() { return Random(m_random()); }

    FleetSettings m_settings;
    const FleetPlatform &m_platform;
    boost::asio::io_context m_io{1};
    AsioScheduler m_scheduler;
    MetricsRegistry m_metrics;
    HttpClient m_storeClient;

private:
    Result<void> openMetrics();
    void countStoreCall(std::string_view kind);
    void awaitSignal();
    void reload();

    std::string m_settingsFile;
    /// The newest era that the store has stated to any of its clients.
    SharedStoreEra m_storeEra = makeSharedStoreEra();
    Random m_random;
    boost::asio::signal_set m_signals;
    std::unique_ptr<HttpServer> m_metricsServer;
    bool m_shuttingDown = false;
    int m_exitCode = 0;
};

HttpEndpoint toHttpEndpoint(const Endpoint &endpoint);

} // namespace godwit
