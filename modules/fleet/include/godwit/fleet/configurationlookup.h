#pragma once

#include <godwit/base/random.h>
#include <godwit/fleet/fleetplatform.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/scheduler.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

namespace godwit {

/// Reads the operator's configuration from the platform's store on demand. Host processes do not
/// watch it, because they need only a small part of it, which rarely changes: sending a large
/// configuration to all of them after each change would saturate the links between regions and
/// delay it for the entry processes.
class ConfigurationLookup
{
public:
    using Handler = std::function<void(const GatewayConfiguration &)>;

    ConfigurationLookup(const FleetPlatform &platform, KeyValuePort &store, Scheduler &scheduler,
                        Random random, Handler handler);

    /// Reads the configuration, and retries until there is one. Does nothing while a read is in
    /// progress or if the last one completed recently. A configuration that is older than the last
    /// one is not reported: the store may have come back from a copy.
    void lookUp();

    /// Reads the configuration at a random time within \a period, so that many processes do not
    /// read it at once, but not before the time at which lookUp() would. Does nothing if an earlier
    /// such read is already scheduled.
    void lookUpWithin(Duration period);

private:
    bool isRecent() const;
    void lookUpScheduled();
    void read();
    void scheduleRetry();
    void onRead(const Outcome<std::optional<KeyValueEntry>> &outcome);

    const FleetPlatform &m_platform;
    KeyValuePort &m_store;
    Scheduler &m_scheduler;
    Random m_random;
    Handler m_handler;
    bool m_isReading = false;
    std::optional<TimePoint> m_lastReadAt; ///< Time of the last successful read.
    std::uint64_t m_newestVersion = 0;     ///< Of the configurations that were reported.
    std::unique_ptr<Timer> m_retryTimer;
    std::optional<TimePoint> m_scheduledAt; ///< Time of the read of lookUpWithin().
    std::unique_ptr<Timer> m_scheduleTimer;
    std::shared_ptr<int> m_alive = std::make_shared<int>(0);
};

} // namespace godwit
