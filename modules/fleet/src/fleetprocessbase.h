#pragma once

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

namespace godwit {

/// What both roles of a fleet process have: one thread with its event loop, the store, metrics and
/// signals. One thread, because a host has a fraction of one core: handing work over between
/// threads would cost more than it gains.
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

    /// A graceful shutdown begins; finish() must follow.
    virtual void leave() = 0;

    void finish(int exitCode);

    /// True from the signal that asks for the shutdown.
    bool isLeaving() const { return m_leaving; }

    /// Serves \a response under \a path and 404 elsewhere; null if the port of \a endpoint is 0.
    /// Fails with ListenFailed.
    Result<std::unique_ptr<HttpServer>> serveStatus(const Endpoint &endpoint, std::string path,
                                                    std::function<HttpResponse()> response);

    /// The platform's store; a process may use several ports with other options.
    std::unique_ptr<KeyValuePort> openStore(Duration watchWait, Duration watchPause);

    /// Random numbers that differ between processes and starts.
    Random newRandom() { return Random(m_random()); }

    FleetSettings m_settings;
    const FleetPlatform &m_platform;
    boost::asio::io_context m_io{1};
    AsioScheduler m_scheduler;
    MetricsRegistry m_metrics;
    HttpClient m_storeClient;

private:
    Result<void> openMetrics();
    void awaitSignal();
    void reload();

    std::string m_settingsFile;
    Random m_random;
    boost::asio::signal_set m_signals;
    std::unique_ptr<HttpServer> m_metricsServer;
    bool m_leaving = false;
    int m_exitCode = 0;
};

HttpEndpoint toHttpEndpoint(const Endpoint &endpoint);

} // namespace godwit
