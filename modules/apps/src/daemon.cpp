#include <godwit/apps/daemon.h>

#include "entrydaemon.h"
#include "hostdaemon.h"

#include <godwit/observe/log.h>

#include <csignal>
#include <thread>

namespace godwit {

namespace {

constexpr int ExitIncomplete = 3;
constexpr int ExitPortUnavailable = 4;
constexpr Duration PollInterval = std::chrono::milliseconds(50);
// Time for callers and routers to learn of the shutdown before the ports close.
constexpr Duration LeaveAnnouncementTime = std::chrono::milliseconds(500);

std::unique_ptr<DaemonBase> makeDaemon(const DaemonSettings &settings)
{
    if (settings.role == DaemonRole::Entry)
        return std::make_unique<EntryDaemon>(settings);
    return std::make_unique<HostDaemon>(settings);
}

sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN);
    return signals;
}

int drain(DaemonBase &daemon)
{
    daemon.beginShutdown();
    const TimePoint start = MonotonicClock::now();
    const TimePoint limit = start + daemon.settings().shutdownLimit;
    auto left = daemon.inProgress();
    while (MonotonicClock::now() < start + LeaveAnnouncementTime
           || (!left.empty() && MonotonicClock::now() < limit)) {
        std::this_thread::sleep_for(PollInterval);
        left = daemon.inProgress();
    }
    logStateChange("daemon_stopped", {{"left_requests", boost::json::value_from(left)}},
                   left.empty() ? LogLevel::Info : LogLevel::Warning);
    return left.empty() ? 0 : ExitIncomplete;
}

} // namespace

int runDaemon(const DaemonSettings &settings)
{
    // Signals are blocked before any thread is created, so that all threads inherit the mask.
    const sigset_t signals = blockSignals();
    const auto daemon = makeDaemon(settings);
    const auto started = capture([&]() -> Result<int> {
        BOOST_LEAF_CHECK(daemon->start());
        return 0;
    });
    if (!succeeded(started)) {
        logStateChange("daemon_failed", {{"problem", toString(std::get<1>(started))}},
                       LogLevel::Error);
        return ExitPortUnavailable;
    }
    logStateChange("daemon_started",
                   {{"host", settings.host.value()}, {"zone", settings.zone.value()}});
    int signal = 0;
    sigwait(&signals, &signal);
    logStateChange("daemon_stopping", {{"signal", signal}});
    return drain(*daemon);
}

} // namespace godwit
