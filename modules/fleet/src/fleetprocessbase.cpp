#include "fleetprocessbase.h"

#include <godwit/base/rendezvous.h>
#include <godwit/observe/log.h>
#include <godwit/settings/settingsparser.h>

#include <chrono>
#include <csignal>
#include <exception>

#include <unistd.h>

namespace godwit {

namespace {

std::uint64_t randomSeed(const FleetSettings &settings)
{
    const auto wallClock = std::chrono::system_clock::now().time_since_epoch().count();
    return stableHash(settings.host.value() + '/' + std::to_string(getpid()),
                      static_cast<std::uint64_t>(wallClock));
}

} // namespace

HttpEndpoint toHttpEndpoint(const Endpoint &endpoint)
{
    return {endpoint.address, endpoint.port};
}

FleetProcessBase::FleetProcessBase(FleetSettings settings, std::string settingsFile,
                                   const FleetPlatform &platform)
    : m_settings(std::move(settings))
    , m_platform(platform)
    , m_scheduler(m_io)
    , m_storeClient(m_io)
    , m_settingsFile(std::move(settingsFile))
    , m_random(randomSeed(m_settings))
    , m_signals(m_io, SIGTERM, SIGINT, SIGHUP)
{
    signal(SIGPIPE, SIG_IGN);
}

FleetProcessBase::~FleetProcessBase() = default;

std::unique_ptr<KeyValuePort> FleetProcessBase::openStore(const PollIntervals &intervals)
{
    return openStore([timeout = intervals.longPollTimeout] { return timeout; },
                     intervals.batchDelay);
}

std::unique_ptr<KeyValuePort> FleetProcessBase::openStore(std::function<Duration()> longPollTimeout,
                                                          Duration batchDelay)
{
    return m_platform.createStore(m_storeClient, m_scheduler,
                                  {toHttpEndpoint(m_settings.store), std::move(longPollTimeout),
                                   LongPollGrace, batchDelay, m_storeEra,
                                   [this](std::string_view kind) { countStoreCall(kind); }});
}

void FleetProcessBase::countStoreCall(std::string_view kind)
{
    m_metrics
            .counter("godwit_store_calls_total", "Calls to the platform's store.",
                     {{"kind", std::string(kind)}})
            .add();
}

Result<void> FleetProcessBase::open()
{
    awaitSignal();
    BOOST_LEAF_CHECK(openMetrics());
    return start();
}

int FleetProcessBase::run()
{
    // An unexpected exception ends the callback that threw it, and with it at most one request or
    // message. It must not end the others.
    for (;;) {
        try {
            m_io.run();
            return m_exitCode;
        } catch (const std::exception &error) {
            logStateChange("callback_failed", {{"problem", error.what()}}, LogLevel::Error);
        }
    }
}

void FleetProcessBase::finish(int exitCode)
{
    m_exitCode = exitCode;
    m_io.stop();
}

Result<std::unique_ptr<HttpServer>>
FleetProcessBase::serveStatus(const Endpoint &endpoint, std::string path,
                              std::function<HttpResponse()> response)
{
    if (endpoint.port == 0)
        return std::unique_ptr<HttpServer>();
    HttpServerOptions options;
    options.listen = toHttpEndpoint(endpoint);
    return HttpServer::listen(
            m_io, options,
            [path = std::move(path), response = std::move(response)](
                    const HttpRequest &request, const std::shared_ptr<HttpReply> &reply) {
                reply->send(request.path() == path ? response() : HttpResponse{404, {}, {}});
            });
}

Result<void> FleetProcessBase::openMetrics()
{
    BOOST_LEAF_ASSIGN(m_metricsServer, serveStatus(m_settings.listen.metrics, "/metrics", [this] {
                          HttpResponse response;
                          response.headers.add("Content-Type", "text/plain; version=0.0.4");
                          response.body = m_metrics.text();
                          return response;
                      }));
    return {};
}

void FleetProcessBase::awaitSignal()
{
    m_signals.async_wait([this](const boost::system::error_code &ec, int number) {
        if (ec)
            return;
        awaitSignal();
        if (number == SIGHUP) {
            reload();
        } else if (!std::exchange(m_shuttingDown, true)) {
            logStateChange("process_leaving", {{"signal", number}});
            beginShutdown();
        }
    });
}

void FleetProcessBase::reload()
{
    const auto parsed = loadFleetSettings(m_settingsFile);
    if (const auto *problems = std::get_if<1>(&parsed)) {
        for (const SettingsProblem &problem : *problems)
            logStateChange("settings_refused", {{"problem", toString(problem)}}, LogLevel::Error);
        return;
    }
    const auto &settings = std::get<0>(parsed);
    // A running process keeps its addresses and bounds; changes take effect at its next start.
    logStateChange("settings_reloaded",
                   {{"file", m_settingsFile}, {"changed", !(settings == m_settings)}});
}

} // namespace godwit
